package dispatch_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// slowOwners admits all requests. It calls during before each reply.
type slowOwners struct{ during func() }

func (o slowOwners) Admit(context.Context, string, dispatch.AdmissionRequest) (dispatch.AdmissionReply, error) {
	o.during()
	return dispatch.AdmissionReply{Owned: true, Admitted: true}, nil
}

// slowPermits grants all permits. It calls during before each grant.
type slowPermits struct {
	testPermits
	during func()
}

func (p *slowPermits) Take(ctx context.Context, server string) (bool, time.Duration) {
	p.during()
	return p.testPermits.Take(ctx, server)
}

// TestReservedServerLeavesBeforeTheSend checks that a request is not sent to a server that begins to leave, or
// vanishes, while the server's approvals are obtained.
func TestReservedServerLeavesBeforeTheSend(t *testing.T) {
	leaving, plainLeaving := engine("a"), backend.Server{ID: "a", Service: "plain", Hall: "h", Slots: 8, Leaving: true}
	leaving.Leaving = true
	plain := func(id string) backend.Server { return backend.Server{ID: id, Service: "plain", Hall: "h", Slots: 8} }
	tests := map[string]struct {
		before, after []backend.Server
		// needsPermit says that server a has a rate limit, so that a permit is needed; otherwise another gateway
		// admits the request.
		needsPermit bool
	}{
		"admission, it leaves":   {before: []backend.Server{engine("a")}, after: []backend.Server{leaving, engine("b")}},
		"admission, it vanishes": {before: []backend.Server{engine("a")}, after: []backend.Server{engine("b")}},
		"permit, it leaves": {
			before: []backend.Server{plain("a")}, after: []backend.Server{plainLeaving, plain("b")}, needsPermit: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(0, 0))
			var d *dispatch.Dispatcher
			change := func() { d.SetServers(snapshot(test.after...)) }
			r := request(c)
			if test.needsPermit {
				permits := &slowPermits{during: change, testPermits: testPermits{
					limits: map[string]float64{"a": 2}, taken: make(map[string]int), results: map[string][]time.Duration{"a": grantResults(1)},
				}}
				d = limitedDispatcher(c, permits, nil, test.before...)
				r = &dispatch.Request{Service: "plain"}
				defer func() { assert.Equal(t, permits.released, 1) }()
			} else {
				d = limitedDispatcher(c, nil, slowOwners{during: change}, test.before...)
				d.SetGateways([]dispatch.Gateway{{ID: "other", Hall: "h"}})
			}
			res, err := d.Acquire(t.Context(), r)
			assert.NilError(t, err)
			assert.Equal(t, res.Server().ID, "b")
		})
	}
}
