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

// quarantined sends copies of the request until the given number of gateways have it in quarantine.
func (p *pacedCaller) quarantined(gateways int) {
	p.w.t.Helper()
	for range quarantine.DefaultEnds {
		assert.Equal(p.w.t, p.copy().status, http.StatusBadGateway)
	}
	p.w.waitLines("request quarantined", gateways)
}

// stopNow stops w's gateway without a grace period.
func stopNow(w *world) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// Stop returns an error because requests were aborted.
	_ = w.gateway.Stop(ctx)
}

// waitLines waits until at least n log lines have the given message.
func (w *world) waitLines(message string, n int) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if got := w.logs.FilterMessage(message).Len(); got < n {
			return poll.Continue("%d of %d lines %q", got, n, message)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// refused checks that one copy per gateway is refused and reaches no server.
func (p *pacedCaller) refused(servers *fragileServers) {
	p.w.t.Helper()
	before := servers.ends.Load()
	for range p.fronts {
		got := p.copy()
		assert.Equal(p.w.t, got.status, http.StatusServiceUnavailable)
		assert.Assert(p.w.t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(p.w.t, servers.ends.Load(), before)
}

// newQuarantineFleet starts three gateways with fragile servers.
func newQuarantineFleet(t *testing.T) (*pacedCaller, *fragileServers) {
	w, servers := newFragileWorld(t, 8, answer(http.StatusOK, "fine"))
	caller := &pacedCaller{w: w, path: pathUnsafe, fronts: []string{w.front}}
	for _, m := range startFleet(t, w, 2) {
		caller.fronts = append(caller.fronts, m.front)
	}
	return caller, servers
}

// TestQuarantineIsKnownToARestartedGateway checks that a restarted gateway refuses a quarantined request as soon as it is
// ready.
func TestQuarantineIsKnownToARestartedGateway(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.quarantined(3)
	s := gatewaySettings(t, "late")
	s.FirstStart, s.Seeds = false, []string{caller.w.peer}
	caller.w.startGateway(s, caller.w.store)
	awaitReady(t, s)
	caller.fronts = []string{s.Listen}
	caller.refused(servers)
}

// command runs the operators' command-line tool and returns its exit code and output.
func (w *world) command(args ...string) (code int, printed string) {
	var out bytes.Buffer
	code = cli.Run(w.t.Context(), args, nil, &out, &out)
	return code, out.String()
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
	caller.quarantined(3)
	stopNow(caller.w)
	caller.fronts = caller.fronts[1:]
	caller.w.waitLines("leadership gained", 2)
	caller.refused(servers)
}

// TestQuarantineOutlastsAllGateways checks that a gateway started after the loss of all gateways reads the quarantine from
// the store.
func TestQuarantineOutlastsAllGateways(t *testing.T) {
	w, servers := newFragileWorld(t, 8, answer(http.StatusOK, "fine"))
	caller := &pacedCaller{w: w, path: pathUnsafe, fronts: []string{w.front}}
	caller.quarantined(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		stored, err := w.store.List(t.Context(), "quarantine/")
		if err != nil || len(stored) != 1 {
			return poll.Continue("%d keys, %v", len(stored), err)
		}
		return poll.Success()
	})
	stopNow(w)
	s := gatewaySettings(t, "next")
	s.FirstStart = false
	w.startGateway(s, w.store)
	w.waitLines("request quarantined", 2)
	caller.fronts = []string{s.Listen}
	caller.refused(servers)
}

// TestQuarantineWithoutTheStore checks that gateways exchange the quarantine while the store is unreachable and there is
// no leader.
func TestQuarantineWithoutTheStore(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.w.store.Fail(func(string) error { return errors.New("away") })
	caller.w.waitLines("leadership lost", 1)
	caller.quarantined(3)
	caller.refused(servers)
}

// TestQuarantineIsLifted checks that a quarantine lifted at one gateway is lifted at all of them.
func TestQuarantineIsLifted(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.quarantined(3)
	servers.mended.Store(true)
	list := caller.w.logs.FilterMessage("request quarantined").All()
	digest := list[0].ContextMap()["digest"].(string)
	code, out := caller.w.command("quarantine", "lift", "-gateway", caller.w.peer, digest)
	assert.Equal(t, code, 0, out)
	caller.w.waitLines("quarantine ended", 3)
	for range caller.fronts {
		assert.Equal(t, caller.copy().status, http.StatusOK)
	}
	code, out = caller.w.command("quarantine", "list", "-gateway", caller.w.peer)
	assert.Equal(t, code, 0, out)
	code, _ = caller.w.command("quarantine", "lift", "-gateway", caller.w.peer, digest)
	assert.Equal(t, code, 1, "there is nothing left to lift")
}

// TestCopiesAtOnce checks that, with copies sent to all gateways concurrently, only copies already in flight at the third
// termination can terminate further servers.
func TestCopiesAtOnce(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	atOnce := 2 * len(caller.fronts)
	for servers.ends.Load() < quarantine.DefaultEnds {
		var copies sync.WaitGroup
		for i := range atOnce {
			one := &pacedCaller{w: caller.w, path: pathUnsafe, fronts: caller.fronts, sent: 10 + i}
			copies.Go(func() { one.copy() })
		}
		copies.Wait()
	}
	caller.w.waitLines("request quarantined", 3)
	// Two servers may terminate before the last batch, and one under each copy of that batch.
	most := quarantine.DefaultEnds - 1 + atOnce
	assert.Assert(t, servers.ends.Load() <= int64(most), "%d servers ended", servers.ends.Load())
	caller.refused(servers)
}

// TestCopyThatMayGoOnElsewhere checks that a request in quarantine is neither retried nor resumed, and is answered with
// the status of one that may have run.
func TestCopyThatMayGoOnElsewhere(t *testing.T) {
	for name, path := range map[string]string{"repeated": pathSafe, "resumed": pathResume} {
		t.Run(name, func(t *testing.T) {
			w, servers := newFragileWorld(t, 8, answer(http.StatusOK, "fine"))
			caller := &pacedCaller{w: w, path: path, fronts: []string{w.front}}
			for range quarantine.DefaultEnds {
				caller.copy()
			}
			w.waitLines("request quarantined", 1)
			assert.Assert(t, servers.ends.Load() <= quarantine.DefaultEnds+1, "%d servers ended", servers.ends.Load())
			caller.refused(servers)
		})
	}
}

// TestCopyThatHasNotBegunIsGivenUp checks that a copy still waiting at a server is cancelled when its request is placed in
// quarantine: its caller is answered, and the connection to the server is closed.
func TestCopyThatHasNotBegunIsGivenUp(t *testing.T) {
	w, servers := newFragileWorld(t, 8, answer(http.StatusOK, "fine"))
	servers.keepsNext.Store(true)
	caller := &pacedCaller{w: w, path: pathUnsafe, fronts: []string{w.front}}
	kept := make(chan reply)
	go func() {
		first := &pacedCaller{w: w, path: pathUnsafe, fronts: caller.fronts, sent: 10}
		kept <- first.copy()
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if servers.keepsNext.Load() {
			return poll.Continue("the first copy has not come")
		}
		return poll.Success()
	})
	caller.quarantined(1)
	got := <-kept
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, "nobody knows whether it has run")
	assert.Equal(t, got.header.Get("Retry-After"), "")
	caller.refused(servers)
}

// TestEndsThatAreNone checks that broken connections and invalid answers do not count as terminations of a server.
func TestEndsThatAreNone(t *testing.T) {
	tests := map[string]script{
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
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			var list []*worker
			for i := range 6 {
				list = append(list, newWorker(t, fmt.Sprint("s", i), answer))
			}
			w := newWorld(t, list...)
			for range 6 {
				got := w.post(pathUnsafe, poison)
				assert.Assert(t, got.status != http.StatusServiceUnavailable, "it is refused: %s", got.body)
			}
			assert.Equal(t, w.logs.FilterMessage("server ended").Len(), 0)
		})
	}
}

// TestCopiesOfASuspect checks that copies of a request under which a server has terminated are sent one at a time, so that
// concurrent copies cannot terminate more servers before the quarantine begins. Two more servers terminate, and the
// other copies are refused.
func TestCopiesOfASuspect(t *testing.T) {
	const copies = 6
	w, servers := newFragileWorld(t, 8, answer(http.StatusOK, "fine"))
	caller := &pacedCaller{w: w, path: pathUnsafe, fronts: []string{w.front}}
	assert.Equal(t, caller.copy().status, http.StatusBadGateway)
	w.waitLines("server ended", 1)
	statuses := make(chan int, copies)
	for i := range copies {
		go func() {
			req := w.request(http.MethodPost, pathUnsafe, poison)
			req.Header.Set(names.RequestID, fmt.Sprint("together-", i))
			statuses <- w.do(req).status
		}()
	}
	got := make(map[int]int)
	for range copies {
		got[<-statuses]++
	}
	assert.DeepEqual(t, got, map[int]int{http.StatusBadGateway: 2, http.StatusServiceUnavailable: copies - 2})
	assert.Equal(t, servers.ends.Load(), int64(quarantine.DefaultEnds))
}
