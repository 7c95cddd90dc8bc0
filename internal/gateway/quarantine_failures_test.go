package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/internal/cli"
	"rockcleat/internal/config"
	"rockcleat/quarantine"
)

// awaitQuarantine sends copies of the request until the given number of gateways have it in quarantine.
func (p *copySender) awaitQuarantine(gateways int) {
	p.env.t.Helper()
	for range quarantine.DefaultCrashThreshold {
		assert.Equal(p.env.t, p.send().status, http.StatusBadGateway)
	}
	p.env.awaitLines("request quarantined", gateways)
}

// stopNow stops env's gateway without a grace period.
func stopNow(env *testEnv) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// Stop returns an error because requests were aborted.
	_ = env.gateway.Stop(ctx)
}

// awaitLines waits until at least n log lines have the given message.
func (env *testEnv) awaitLines(message string, n int) {
	env.t.Helper()
	poll.WaitOn(env.t, func(poll.LogT) poll.Result {
		if got := env.logs.FilterMessage(message).Len(); got < n {
			return poll.Continue("%d of %d lines %q", got, n, message)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// checkRefused checks that one copy per gateway is refused and reaches no server.
func (p *copySender) checkRefused(servers *crashingServers) {
	p.env.t.Helper()
	before := servers.crashes.Load()
	for range p.fronts {
		got := p.send()
		assert.Equal(p.env.t, got.status, http.StatusServiceUnavailable)
		assert.Assert(p.env.t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(p.env.t, servers.crashes.Load(), before)
}

// newQuarantineFleet starts three gateways with crashing servers.
func newQuarantineFleet(t *testing.T) (*copySender, *crashingServers) {
	env, servers := newCrashingEnv(t, 8, respond(http.StatusOK, "fine"))
	caller := &copySender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	for _, m := range startFleet(t, env, 2) {
		caller.fronts = append(caller.fronts, m.front)
	}
	return caller, servers
}

// TestQuarantineIsKnownToARestartedGateway checks that a restarted gateway refuses a quarantined request as soon as
// it is ready.
func TestQuarantineIsKnownToARestartedGateway(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.awaitQuarantine(3)
	s := gatewaySettings(t, "late")
	s.FirstStart, s.Seeds = false, []string{caller.env.peer}
	caller.env.startGateway(s, caller.env.store)
	awaitReady(t, s)
	caller.fronts = []string{s.Listen}
	caller.checkRefused(servers)
}

// command runs the operators' command-line tool and returns its exit code and output.
func (env *testEnv) command(args ...string) (code int, printed string) {
	var out bytes.Buffer
	code = cli.Run(env.t.Context(), args, nil, &out, &out)
	return code, out.String()
}

// replaceQuarantinedGateway stops the only gateway, which holds a quarantine, and starts another one, which knows it from
// the store. It returns the settings of the new one.
func (env *testEnv) replaceQuarantinedGateway() config.Gateway {
	env.t.Helper()
	stopNow(env)
	s := gatewaySettings(env.t, "next")
	s.FirstStart = false
	env.startGateway(s, env.store)
	env.awaitLines("request quarantined", 2)
	return s
}

// awaitReady waits until the gateway with settings s is ready.
func awaitReady(t *testing.T, s config.Gateway) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + s.ReadyListen + readyPath)
		if err != nil {
			return poll.Continue("%v", err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestQuarantineOutlastsTheLeader checks that a request stays in quarantine when the leader stops.
func TestQuarantineOutlastsTheLeader(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.awaitQuarantine(3)
	stopNow(caller.env)
	caller.fronts = caller.fronts[1:]
	caller.env.awaitLines("leadership gained", 2)
	caller.checkRefused(servers)
}

// TestQuarantineOutlastsAllGateways checks that a gateway started after the loss of all gateways reads the quarantine
// from the store.
func TestQuarantineOutlastsAllGateways(t *testing.T) {
	env, servers := newCrashingEnv(t, 8, respond(http.StatusOK, "fine"))
	caller := &copySender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	caller.awaitQuarantine(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		stored, err := env.store.List(t.Context(), "quarantine/")
		if err != nil || len(stored) != 1 {
			return poll.Continue("%d keys, %v", len(stored), err)
		}
		return poll.Success()
	})
	s := env.replaceQuarantinedGateway()
	caller.fronts = []string{s.Listen}
	caller.checkRefused(servers)
}

// TestQuarantineWithoutTheStore checks that gateways exchange the quarantine while the store is unreachable and there
// is no leader.
func TestQuarantineWithoutTheStore(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.env.store.Fail(func(string) error { return errors.New("store unreachable") })
	caller.env.awaitLines("leadership lost", 1)
	caller.awaitQuarantine(3)
	caller.checkRefused(servers)
}

// TestQuarantineIsLifted checks that a quarantine lifted at one gateway is lifted at all of them.
func TestQuarantineIsLifted(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.awaitQuarantine(3)
	servers.fixed.Store(true)
	list := caller.env.logs.FilterMessage("request quarantined").All()
	digest := list[0].ContextMap()["digest"].(string)
	code, out := caller.env.command("quarantine", "lift", "-gateway", caller.env.peer, digest)
	assert.Equal(t, code, 0, out)
	caller.env.awaitLines("quarantine ended", 3)
	for range caller.fronts {
		assert.Equal(t, caller.send().status, http.StatusOK)
	}
	code, out = caller.env.command("quarantine", "list", "-gateway", caller.env.peer)
	assert.Equal(t, code, 0, out)
	code, _ = caller.env.command("quarantine", "lift", "-gateway", caller.env.peer, digest)
	assert.Equal(t, code, 1, "there is nothing left to lift")
}

// TestConcurrentCopies checks that, with copies sent to all gateways concurrently, only copies already in flight at
// the third crash can make further servers crash.
func TestConcurrentCopies(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	atOnce := 2 * len(caller.fronts)
	for servers.crashes.Load() < quarantine.DefaultCrashThreshold {
		var copies sync.WaitGroup
		for i := range atOnce {
			one := &copySender{env: caller.env, path: pathUnsafe, fronts: caller.fronts, sent: 10 + i}
			copies.Go(func() { one.send() })
		}
		copies.Wait()
	}
	caller.env.awaitLines("request quarantined", 3)
	// Two servers may crash before the last batch, and one under each copy of that batch.
	most := quarantine.DefaultCrashThreshold - 1 + atOnce
	assert.Assert(t, servers.crashes.Load() <= int64(most), "%d servers ended", servers.crashes.Load())
	caller.checkRefused(servers)
}

// TestQuarantineStopsRetries checks that a request in quarantine is neither retried nor resumed, and gets a response
// with the status of one that may have run.
func TestQuarantineStopsRetries(t *testing.T) {
	for name, path := range map[string]string{"repeated": pathSafe, "resumed": pathResume} {
		t.Run(name, func(t *testing.T) {
			env, servers := newCrashingEnv(t, 8, respond(http.StatusOK, "fine"))
			caller := &copySender{env: env, path: path, fronts: []string{env.front}}
			for range quarantine.DefaultCrashThreshold {
				caller.send()
			}
			env.awaitLines("request quarantined", 1)
			assert.Assert(t, servers.crashes.Load() <= quarantine.DefaultCrashThreshold+1, "%d servers ended", servers.crashes.Load())
			caller.checkRefused(servers)
		})
	}
}

// TestQuarantineCancelsWaitingCopy checks that a copy still waiting at a server is cancelled when its request is
// placed in quarantine: its caller gets a response, and the connection to the server is closed.
func TestQuarantineCancelsWaitingCopy(t *testing.T) {
	env, servers := newCrashingEnv(t, 8, respond(http.StatusOK, "fine"))
	servers.holdNext.Store(true)
	caller := &copySender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	kept := make(chan reply)
	go func() {
		first := &copySender{env: env, path: pathUnsafe, fronts: caller.fronts, sent: 10}
		kept <- first.send()
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if servers.holdNext.Load() {
			return poll.Continue("the first copy has not come")
		}
		return poll.Success()
	})
	caller.awaitQuarantine(1)
	got := <-kept
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, "nobody knows whether it has run")
	assert.Equal(t, got.header.Get("Retry-After"), "")
	caller.checkRefused(servers)
}

// TestConnFailuresAreNoTerminations checks that broken connections and invalid responses do not count as crashes of a
// server.
func TestConnFailuresAreNoTerminations(t *testing.T) {
	tests := map[string]responder{
		"the connection is closed": func(*call) bool { return false },
		"the connection is reset":  func(c *call) bool { return c.reset() },
		"no answer of ours": func(c *call) bool {
			c.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		},
		"half an answer": func(c *call) bool {
			c.write(c.head(http.StatusOK, "Content-Length: 10"), "half")
			return false
		},
	}
	for name, serve := range tests {
		t.Run(name, func(t *testing.T) {
			var list []*fakeServer
			for i := range 6 {
				list = append(list, newFakeServer(t, fmt.Sprint("s", i), serve))
			}
			env := newTestEnv(t, list...)
			for range 6 {
				got := env.post(pathUnsafe, poison)
				assert.Assert(t, got.status != http.StatusServiceUnavailable, "it is refused: %s", got.body)
			}
			assert.Equal(t, env.logs.FilterMessage("server ended").Len(), 0)
		})
	}
}

// TestCopiesAreSentOneAtATime checks that copies of a request under which a server has crashed are sent one at a time,
// so that concurrent copies cannot make more servers crash before the quarantine begins. Two more servers crash, and
// the other copies are refused.
func TestCopiesAreSentOneAtATime(t *testing.T) {
	const copies = 6
	env, servers := newCrashingEnv(t, 8, respond(http.StatusOK, "fine"))
	caller := &copySender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	assert.Equal(t, caller.send().status, http.StatusBadGateway)
	env.awaitLines("server ended", 1)
	statuses := make(chan int, copies)
	for i := range copies {
		go func() {
			req := env.request(http.MethodPost, pathUnsafe, poison)
			req.Header.Set(names.RequestID, fmt.Sprint("together-", i))
			statuses <- env.do(req).status
		}()
	}
	got := make(map[int]int)
	for range copies {
		got[<-statuses]++
	}
	assert.DeepEqual(t, got, map[int]int{http.StatusBadGateway: 2, http.StatusServiceUnavailable: copies - 2})
	assert.Equal(t, servers.crashes.Load(), int64(quarantine.DefaultCrashThreshold))
}

// TestAbortedCopyLetsTheNextOneProceed checks that a copy whose response is aborted midway does not keep later copies of a
// suspected request waiting.
func TestAbortedCopyLetsTheNextOneProceed(t *testing.T) {
	brokenOff := func(c *call) bool {
		c.write(c.streamHead(), event(1), "20\r\nid: 2\n")
		return false
	}
	env, servers := newCrashingEnv(t, 4, firstThen(brokenOff, stream(3)))
	caller := &copySender{env: env, path: pathStream, fronts: []string{env.front}}
	assert.Equal(t, caller.send().status, http.StatusBadGateway)
	env.awaitLines("server ended", 1)
	servers.fixed.Store(true)
	assert.ErrorContains(t, caller.send().err, "EOF")
	began := time.Now()
	got := caller.send()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, time.Since(began) < 3*time.Second, "it waited %v", time.Since(began))
}

// TestWaitForTrialEndsWithDeadline checks that a copy which waits for the trial of another one is refused at its deadline.
func TestWaitForTrialEndsWithDeadline(t *testing.T) {
	env, servers := newCrashingEnv(t, 4, respond(http.StatusOK, "fine"))
	caller := &copySender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	assert.Equal(t, caller.send().status, http.StatusBadGateway)
	env.awaitLines("server ended", 1)
	servers.holdNext.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		req := env.request(http.MethodPost, pathUnsafe, poison, names.RequestID, "held")
		doWith(&http.Client{Transport: &http.Transport{}}, req.WithContext(ctx))
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if servers.holdNext.Load() {
			return poll.Continue("the held copy has not come")
		}
		return poll.Success()
	})
	began := time.Now()
	got := env.post(pathUnsafe, poison, names.RequestID, "waiting", names.Deadline, "600")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < 2*time.Second)
	assert.Equal(t, servers.crashes.Load(), int64(1))
}
