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

// quarantined sends copies until all of a number of gateways have the request in quarantine.
func (p *pacedCaller) quarantined(gateways int) {
	p.w.t.Helper()
	for range quarantine.DefaultEnds {
		assert.Equal(p.w.t, p.copy().status, http.StatusBadGateway)
	}
	p.w.waitLines("request quarantined", gateways)
}

// stopNow stops the first gateway of a world with no grace.
func stopNow(w *world) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// The gateway says that requests were cut.
	_ = w.gateway.Stop(ctx)
}

// waitLines waits until a message was logged a number of times.
func (w *world) waitLines(message string, n int) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if got := w.logs.FilterMessage(message).Len(); got < n {
			return poll.Continue("%d of %d lines %q", got, n, message)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// refused checks that the next copies are refused at each gateway and reach no server.
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

// newQuarantineFleet starts three gateways before fragile servers.
func newQuarantineFleet(t *testing.T) (*pacedCaller, *fragileServers) {
	w, servers := newFragileWorld(t, 8, answer(http.StatusOK, "fine"))
	caller := &pacedCaller{w: w, path: pathUnsafe, fronts: []string{w.front}}
	for _, m := range startFleet(t, w, 2) {
		caller.fronts = append(caller.fronts, m.front)
	}
	return caller, servers
}

// TestQuarantineIsKnownToARestartedGateway starts a gateway that had a former life while a request is in
// quarantine: it refuses the first copy that it gets once it is ready.
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

// command runs the operators' command and returns its exit code and what it prints.
func (w *world) command(args ...string) (code int, printed string) {
	var out bytes.Buffer
	code = cli.Run(w.t.Context(), args, nil, &out, &out)
	return code, out.String()
}

// awaitReady waits until a gateway calls itself ready.
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

// TestQuarantineOutlastsTheLeader stops the leader while a request is in quarantine.
func TestQuarantineOutlastsTheLeader(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.quarantined(3)
	stopNow(caller.w)
	caller.fronts = caller.fronts[1:]
	caller.w.waitLines("leadership gained", 2)
	caller.refused(servers)
}

// TestQuarantineOutlastsAllGateways stops all gateways while a request is in quarantine and starts one
// that knows nothing: it finds the request in the store.
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

// TestQuarantineWithoutTheStore takes the store away before the first end, so that nobody leads: gateways
// tell each other.
func TestQuarantineWithoutTheStore(t *testing.T) {
	caller, servers := newQuarantineFleet(t)
	caller.w.store.Fail(func(string) error { return errors.New("away") })
	caller.w.waitLines("leadership lost", 1)
	caller.quarantined(3)
	caller.refused(servers)
}

// TestQuarantineIsLifted lifts a quarantine at one gateway: all serve the request again, which is a sound
// one by now.
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

// TestCopiesAtOnce sends copies at the same moment at all gateways, again and again: those on their way
// with the third end may end servers, none that comes later does.
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
	// Two ends before the last copies went out, and one under each of those.
	most := quarantine.DefaultEnds - 1 + atOnce
	assert.Assert(t, servers.ends.Load() <= int64(most), "%d servers ended", servers.ends.Load())
	caller.refused(servers)
}

// TestCopyThatMayGoOnElsewhere sends a request that may be repeated and one whose stream may be resumed:
// neither is sent again once it is in quarantine, and the answer says that it may have run.
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

// TestCopyThatHasNotBegunIsGivenUp keeps a copy at a server, as in its queue, while three servers end
// under others: its caller gets an answer at once and the server is rid of it.
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

// TestEndsThatAreNone breaks requests off in ways that are no end of a server under a request.
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

// TestCopiesOfASuspect holds what a day of our own showed: a server ended under copies of a request, and five more copies
// that had come to one gateway meanwhile were sent to the next server at the same moment, when it had room. Each of
// them began there, so that what the first one did to that server came too late for the others. The proof was in the
// gateway's log: one digest five times under one end of a server, 0.6 to 1.6 s old.
//
// Copies of a request under which one server has ended are sent one at a time: two more servers end, and the other
// copies are refused.
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
