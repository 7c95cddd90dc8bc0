package dispatch_test

import (
	"context"
	"errors"
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

// testPermits implements dispatch.Permits with limits and replies fixed by server.
type testPermits struct {
	mu     sync.Mutex
	limits map[string]float64
	// results holds the next results of Take by server; 0 grants a permit.
	results  map[string][]time.Duration
	taken    map[string]int
	released int
}

func (p *testPermits) Any() bool { return len(p.limits) > 0 }

func (p *testPermits) Limit(server string) (float64, bool) {
	l, ok := p.limits[server]
	return l, ok
}

func (p *testPermits) Take(_ context.Context, server string) (dispatch.Permit, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waits := p.results[server]
	if len(waits) == 0 {
		return nil, time.Second
	}
	p.results[server] = waits[1:]
	if waits[0] > 0 {
		return nil, waits[0]
	}
	p.taken[server]++
	return testPermit{p}, 0
}

// A testPermit is a permit that testPermits has granted.
type testPermit struct{ permits *testPermits }

// Release implements dispatch.Permit.
func (p testPermit) Release() { p.permits.released++ }

// grantResults returns n results of Take that grant a permit.
func grantResults(n int) []time.Duration { return make([]time.Duration, n) }

// limitedDispatcher returns a Dispatcher that requests permits from p.
func limitedDispatcher(c clock.Service, p dispatch.Permits, owners dispatch.Owners, servers ...backend.Server) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Options{
		ID: "g", Hall: "h", Clock: c, Utilization: 1, Permits: p, Owners: owners,
		CacheTokens: func(name string) int {
			if name != service {
				return 0
			}
			return cacheTokens
		},
	})
	d.SetServers(snapshot(servers...))
	return d
}

// TestLimitedServers checks which servers of a plain service receive requests while servers have
// rate limits.
func TestLimitedServers(t *testing.T) {
	tests := map[string]struct {
		limits map[string]float64
		waits  map[string][]time.Duration
		// want lists the servers chosen, in order; an empty string means that the request is
		// refused.
		want []string
	}{
		"one without a limit when no more are granted": {
			limits: map[string]float64{"a": 1}, waits: map[string][]time.Duration{"a": grantResults(1)}, want: []string{"a", "b", "b", "b"},
		},
		"one that denies is not asked again soon": {
			limits: map[string]float64{"a": 1}, waits: map[string][]time.Duration{"a": {time.Second, 0, 0}}, want: []string{"b", "b", "b"},
		},
		"both have limits": {
			limits: map[string]float64{"a": 1, "b": 1}, waits: map[string][]time.Duration{"a": grantResults(1), "b": grantResults(1)},
			want: []string{"a", "b", "", ""},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			permits := &testPermits{limits: test.limits, results: test.waits, taken: make(map[string]int)}
			d := limitedDispatcher(clocktest.New(time.Unix(0, 0)), permits, nil,
				backend.Server{ID: "a", Service: "app", Hall: "h"}, backend.Server{ID: "b", Service: "app", Hall: "h"})
			for i, want := range test.want {
				res, err := d.Acquire(t.Context(), &dispatch.Request{Service: "app"})
				if want == "" {
					var limited *dispatch.RateLimitError
					assert.Assert(t, errors.As(err, &limited), "request %d: %v", i, err)
					assert.Assert(t, limited.RetryAfter > 0)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, res.Server().ID, want, "request %d", i)
				res.Done(dispatch.Succeeded)
			}
		})
	}
}

// TestCanceledReservationReturnsPermit guards against permits of a server's rate limit that are lost with requests which
// were not sent.
func TestCanceledReservationReturnsPermit(t *testing.T) {
	tests := map[string]struct {
		end          func(*dispatch.Reservation)
		wantReleased int
	}{
		"canceled":         {end: (*dispatch.Reservation).Cancel, wantReleased: 1},
		"canceled twice":   {end: func(r *dispatch.Reservation) { r.Cancel(); r.Cancel() }, wantReleased: 1},
		"sent":             {end: func(r *dispatch.Reservation) { r.Done(dispatch.Canceled) }},
		"canceled at last": {end: func(r *dispatch.Reservation) { r.Done(dispatch.Succeeded); r.Cancel() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			permits := &testPermits{limits: map[string]float64{"a": 1}, results: map[string][]time.Duration{"a": grantResults(1)}, taken: make(map[string]int)}
			d := limitedDispatcher(clocktest.New(time.Unix(0, 0)), permits, nil, backend.Server{ID: "a", Service: "app", Hall: "h"})
			res, err := d.Acquire(t.Context(), &dispatch.Request{Service: "app"})
			assert.NilError(t, err)
			test.end(res)
			assert.Equal(t, permits.released, test.wantReleased)
		})
	}
}

// TestRequestsThatNoServerCanTakeInTime checks requests for a model whose only engine has a rate
// limit: those that can be granted a permit in time wait in order of priority, and the others are
// refused immediately with a RetryAfter.
func TestRequestsThatNoServerCanTakeInTime(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	permits := &testPermits{
		limits: map[string]float64{"a": 2}, taken: make(map[string]int),
		results: map[string][]time.Duration{"a": {500 * time.Millisecond, 0, 500 * time.Millisecond, 0}},
	}
	d := limitedDispatcher(c, permits, nil, engine("a"))
	relaxed, urgent := request(c), request(c)
	relaxed.WaitUntil = c.Now().Add(1200 * time.Millisecond)
	urgent.WaitUntil, urgent.Priority = c.Now().Add(900*time.Millisecond), 1
	first := acquire(d, relaxed)
	poll.WaitOn(t, waiting(d, 1))
	second := acquire(d, urgent)
	poll.WaitOn(t, waiting(d, 2))

	unservable := request(c)
	unservable.WaitUntil = c.Now().Add(600 * time.Millisecond)
	_, err := d.Acquire(t.Context(), unservable)
	var limited *dispatch.RateLimitError
	assert.Assert(t, errors.As(err, &limited), "%v", err)
	assert.Equal(t, limited.RetryAfter, 1500*time.Millisecond, "two wait before it at two a second")

	c.Advance(500 * time.Millisecond)
	res := <-second
	assert.Equal(t, res.Server().ID, "a", "the most urgent one is granted first")
	poll.WaitOn(t, waiting(d, 1))
	c.Advance(500 * time.Millisecond)
	res = <-first
	assert.Equal(t, res.Server().ID, "a")
}

// TestWaitEndsWhenPermitsComeTooLate checks that a waiting request is refused when its only engine
// can no longer take it in time.
func TestWaitEndsWhenPermitsComeTooLate(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	permits := &testPermits{
		limits: map[string]float64{"a": 2}, taken: make(map[string]int),
		results: map[string][]time.Duration{"a": {500 * time.Millisecond, 4 * time.Second}},
	}
	d := limitedDispatcher(c, permits, nil, engine("a"))
	r := request(c)
	r.WaitUntil = c.Now().Add(2 * time.Second)
	errs := make(chan error, 1)
	go func() {
		_, err := d.Acquire(context.Background(), r)
		errs <- err
	}()
	poll.WaitOn(t, waiting(d, 1))
	c.Advance(500 * time.Millisecond)
	var limited *dispatch.RateLimitError
	assert.Assert(t, errors.As(<-errs, &limited), "it would wait in vain")
	poll.WaitOn(t, waiting(d, 0))
}

// TestLimitEnds checks that waiting requests are served when a server's rate limit is removed.
func TestLimitEnds(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	permits := &testPermits{
		limits: map[string]float64{"a": 0.5}, taken: make(map[string]int), results: map[string][]time.Duration{"a": {2 * time.Second}},
	}
	d := limitedDispatcher(c, permits, nil, engine("a"))
	waits := acquire(d, request(c))
	poll.WaitOn(t, waiting(d, 1))
	delete(permits.limits, "a")
	d.RateLimitChanged("a")
	assert.Equal(t, (<-waits).Server().ID, "a")
}

// denyingOwners denies every admission.
type denyingOwners struct{}

func (denyingOwners) Admit(context.Context, string, dispatch.AdmissionRequest) (dispatch.AdmissionReply, error) {
	return dispatch.AdmissionReply{Owned: true, RetryAfterMs: 60_000}, nil
}

// TestPermitIsGivenBack checks that a permit is returned if the engine's owner denies admission.
func TestPermitIsGivenBack(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	permits := &testPermits{
		limits: map[string]float64{"a": 2}, taken: make(map[string]int), results: map[string][]time.Duration{"a": grantResults(1)},
	}
	d := limitedDispatcher(c, permits, denyingOwners{}, engine("a"))
	d.SetGateways([]dispatch.Gateway{{ID: "other", Hall: "h"}})
	r := request(c)
	r.WaitUntil = c.Now()
	_, err := d.Acquire(t.Context(), r)
	assert.Assert(t, err != nil)
	assert.Equal(t, permits.taken["a"], 1)
	assert.Equal(t, permits.released, 1)
}

// TestWaitForAnAdapter checks requests for an adapter whose only engine grants no permits: they
// wait if another engine could load the adapter and are refused immediately otherwise.
func TestWaitForAnAdapter(t *testing.T) {
	tests := map[string]struct {
		otherHolds   string
		otherLeaving bool
		waits        bool
	}{
		"another engine holds its model":  {otherHolds: model, waits: true},
		"no other engine holds its model": {otherHolds: "m2"},
		"the other engine is leaving":     {otherHolds: model, otherLeaving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(0, 0))
			permits := &testPermits{limits: map[string]float64{"a": 0}, taken: make(map[string]int)}
			permits.results = map[string][]time.Duration{"a": {time.Hour}}
			a, b := engine("a"), engine("b")
			a.Residents = []backend.Resident{{Model: model, Adapters: []string{"a1"}}}
			b.Residents, b.Leaving = []backend.Resident{{Model: test.otherHolds}}, test.otherLeaving
			d := limitedDispatcher(c, permits, nil, a, b)
			r := request(c)
			r.Adapter = "a1"
			if test.waits {
				acquire(d, r)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if d.Demands()[model+"/a1"].Waiting != 1 {
						return poll.Continue("it does not wait yet")
					}
					return poll.Success()
				})
				return
			}
			_, err := d.Acquire(t.Context(), r)
			var limited *dispatch.RateLimitError
			assert.Assert(t, errors.As(err, &limited), "%v", err)
		})
	}
}
