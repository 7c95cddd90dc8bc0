package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// A gatewayGroup is a set of dispatchers that request admission from each other.
type gatewayGroup struct {
	mu          sync.Mutex
	dispatchers map[string]*dispatch.Dispatcher
	// unresponsive contains the gateways that do not respond.
	unresponsive      map[string]bool
	admissionRequests int
	// reportedOwners lists the owners passed to OnOwnerUnresponsive.
	reportedOwners []string
}

// Admit implements dispatch.Owners.
func (g *gatewayGroup) Admit(_ context.Context, owner string, r dispatch.AdmissionRequest) (dispatch.AdmissionReply, error) {
	g.mu.Lock()
	g.admissionRequests++
	d, unresponsive := g.dispatchers[owner], g.unresponsive[owner]
	g.mu.Unlock()
	if unresponsive {
		return dispatch.AdmissionReply{}, errors.New("gateway did not respond")
	}
	return d.Admit(r), nil
}

func (g *gatewayGroup) admissionRequestCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admissionRequests
}

// newGatewayGroup returns a group of n dispatchers with the same servers.
func newGatewayGroup(c clock.Service, n int, servers ...backend.Server) *gatewayGroup {
	g := &gatewayGroup{dispatchers: make(map[string]*dispatch.Dispatcher), unresponsive: make(map[string]bool)}
	var list []dispatch.Gateway
	for i := range n {
		list = append(list, dispatch.Gateway{ID: fmt.Sprint("g", i), Hall: "h"})
	}
	for _, x := range list {
		d := dispatch.New(dispatch.Options{
			ID: x.ID, Hall: x.Hall, Clock: c, Utilization: 1, CacheTokens: func(string) int { return cacheTokens }, Owners: g,
			OnOwnerUnresponsive: func(owner string, _ error) { g.reportedOwners = append(g.reportedOwners, owner) },
		})
		d.SetServers(snapshot(servers...))
		d.SetGateways(list)
		g.dispatchers[x.ID] = d
	}
	return g
}

// longPromptRequest returns a request whose prompt uses almost all of the prefill time that an
// engine allows at once.
func longPromptRequest(c clock.Service) *dispatch.Request {
	r := request(c)
	r.Gap = gapForPrefill(60)
	return r
}

// TestRequestsAreAdmittedOnce checks that gateways which send at the same moment, before they learn
// of each other's requests, place one prompt on each engine.
func TestRequestsAreAdmittedOnce(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	g := newGatewayGroup(c, 6, engine("a"), engine("b"), engine("d"))
	taken := make(map[string]int)
	for _, d := range g.dispatchers {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		res, err := d.Acquire(ctx, longPromptRequest(c))
		cancel()
		if err == nil {
			taken[res.Server().ID]++
		}
	}
	assert.DeepEqual(t, taken, map[string]int{"a": 1, "b": 1, "d": 1})
}

// TestDeniedAdmissionIsAskedForAgain checks that a request that was not admitted waits and is
// admitted once the prompt ahead of it is prefilled, both at the engine's owner and at the other
// gateway.
func TestDeniedAdmissionIsAskedForAgain(t *testing.T) {
	tests := map[string]struct{ first, second string }{
		"one first":       {first: "g0", second: "g1"},
		"the other first": {first: "g1", second: "g0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(1000, 0))
			g := newGatewayGroup(c, 2, engine("a"))
			before, err := g.dispatchers[test.first].Acquire(context.Background(), longPromptRequest(c))
			assert.NilError(t, err)
			second := g.dispatchers[test.second]
			req := longPromptRequest(c)
			got := acquire(second, req)
			poll.WaitOn(t, waiting(second, 1))
			before.RecordFirstByte()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				c.Advance(10 * time.Millisecond)
				select {
				case <-got:
					return poll.Success()
				default:
					return poll.Continue("no place")
				}
			}, poll.WithDelay(time.Millisecond))
			assert.Assert(t, req.AdmissionsRequested == 0 || req.AdmissionsRequested > req.AdmissionsDenied, "asked %d, denied %d", req.AdmissionsRequested, req.AdmissionsDenied)
		})
	}
}

// TestUnresponsiveOwnerIsSuspended checks that requests are still sent when the only engine's owner
// does not respond, and that the owner is not asked for each of them.
func TestUnresponsiveOwnerIsSuspended(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	g := newGatewayGroup(c, 2, engine("a"))
	g.unresponsive["g0"], g.unresponsive["g1"] = true, true
	for range 5 {
		for _, d := range g.dispatchers {
			res, err := d.Acquire(context.Background(), longPromptRequest(c))
			assert.NilError(t, err)
			res.RecordFirstByte()
			res.Done(dispatch.Succeeded)
		}
	}
	assert.Equal(t, g.admissionRequestCount(), 1)
	assert.Equal(t, len(g.reportedOwners), 1)
	c.Advance(time.Second)
	for _, d := range g.dispatchers {
		_, err := d.Acquire(context.Background(), longPromptRequest(c))
		assert.NilError(t, err)
	}
	assert.Equal(t, g.admissionRequestCount(), 2, "asked again after a while")
}

// TestGrantCountsUntilItIsReported checks that an admission occupies slots and memory of the engine
// until the gateways' reports include the request.
func TestGrantCountsUntilItIsReported(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	g := newGatewayGroup(c, 1, engine("a"))
	d := g.dispatchers["g0"]
	req := dispatch.AdmissionRequest{Server: "a", Model: model, PromptTokens: 100, MaxOutputTokens: 100}
	for range 8 {
		assert.Assert(t, d.Admit(req).Admitted)
	}
	full := d.Admit(req)
	assert.Assert(t, full.Owned && !full.Admitted && full.RetryAfterMs > 0, "%+v", full)
	assert.Equal(t, full.Load.Running, 8)
	assert.Equal(t, full.Load.UsedTokens, 8*200)
	c.Advance(time.Second)
	assert.Assert(t, d.Admit(req).Admitted)
}

func TestAdmissionAtAnotherGatewaysEngine(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	g := newGatewayGroup(c, 2, engine("a"))
	owned := 0
	for _, d := range g.dispatchers {
		if d.Admit(dispatch.AdmissionRequest{Server: "a", Model: model}).Owned {
			owned++
		}
		assert.Assert(t, !d.Admit(dispatch.AdmissionRequest{Server: "unknown", Model: model}).Owned)
	}
	assert.Equal(t, owned, 1)
}

// TestOwnerKnowsCachedPrefixes checks that the owner tracks the prefixes of all gateways' requests:
// a second request with the same blocks needs less prefill.
func TestOwnerKnowsCachedPrefixes(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	d := newGatewayGroup(c, 1, engine("a")).dispatchers["g0"]
	req := dispatch.AdmissionRequest{
		Server: "a", Model: model, PromptTokens: 1000, MaxOutputTokens: 10, Gap: gapForPrefill(60), Prefix: []dispatch.PrefixBlock{{ID: "p", Tokens: 950}},
	}
	assert.Assert(t, d.Admit(req).Admitted)
	assert.Assert(t, d.Admit(req).Admitted, "the prefix is cached, so that both fit")
	req.Prefix = nil
	assert.Assert(t, !d.Admit(req).Admitted)
}

// TestDeniedPromptIsNotCached checks that a prompt that was not admitted, and therefore not sent,
// does not count as cached.
func TestDeniedPromptIsNotCached(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	g := newGatewayGroup(c, 2, engine("a"))
	other := g.dispatchers["g0"]
	for _, d := range g.dispatchers {
		if !d.Admit(dispatch.AdmissionRequest{Server: "a", Model: model, PromptTokens: 1000, MaxOutputTokens: 10, Gap: gapForPrefill(60)}).Owned {
			other = d
		}
	}
	req := longPromptRequest(c)
	req.Prefix = []dispatch.PrefixBlock{{ID: "p", Tokens: 1000}}
	got := acquire(other, req)
	poll.WaitOn(t, waiting(other, 1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.Advance(10 * time.Millisecond)
		select {
		case res := <-got:
			choice, _ := res.Choice()
			assert.Equal(t, choice.PrefillTokens, 1000)
			return poll.Success()
		default:
			return poll.Continue("no place")
		}
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, req.AdmissionsDenied > 0)
}

// TestNoAdmissionAtALeavingEngine checks that the owner of an engine that is leaving, or in an evacuated data hall,
// admits nothing there, even if the other gateways do not know of it yet.
func TestNoAdmissionAtALeavingEngine(t *testing.T) {
	leaving := engine("a")
	leaving.Leaving = true
	var evacuated backend.Registry
	evacuated.Replace([]backend.Server{engine("a")}, time.Unix(1000, 0))
	evacuated.SetEvacuated(map[string]bool{leaving.Hall: true}, time.Unix(1000, 0))
	tests := map[string]*backend.Snapshot{"leaving": snapshot(leaving), "evacuated": evacuated.Snapshot()}
	for name, servers := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(1000, 0))
			d := newGatewayGroup(c, 1).dispatchers["g0"]
			d.SetServers(servers)
			reply := d.Admit(dispatch.AdmissionRequest{Server: "a", Model: model})
			assert.Assert(t, reply.Owned && !reply.Admitted && reply.RetryAfterMs > 0, "%+v", reply)
		})
	}
}
