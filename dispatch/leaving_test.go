package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

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

func (p *slowPermits) Take(ctx context.Context, server string) (dispatch.Permit, time.Duration) {
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
		// needsPermit is set if server a has a rate limit, so that a permit is needed; otherwise another gateway
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

// TestRequestsAreRefusedAtOnceWhenAllServersLeave checks requests that arrive, and requests that wait, when no server
// of their service accepts requests.
func TestRequestsAreRefusedAtOnceWhenAllServersLeave(t *testing.T) {
	leaving := func(s backend.Server) backend.Server {
		s.Leaving = true
		return s
	}
	other := engine("b")
	other.Residents = nil
	tests := map[string]struct {
		servers []backend.Server
		want    error
	}{
		"all leave":                        {servers: []backend.Server{leaving(engine("a")), leaving(other)}, want: dispatch.ErrNoneAccepts},
		"the others do not hold the model": {servers: []backend.Server{leaving(engine("a")), other}, want: dispatch.ErrWaitTimeout},
		"the service has no servers yet":   {want: dispatch.ErrWaitTimeout},
	}
	request := func() *dispatch.Request {
		r := request(clocktest.Real{})
		r.WaitUntil = time.Now().Add(600 * time.Millisecond)
		return r
	}
	for name, test := range tests {
		t.Run(name+", arriving", func(t *testing.T) {
			_, err := dispatcher(clocktest.Real{}, test.servers...).Acquire(t.Context(), request())
			assert.Assert(t, errors.Is(err, test.want))
		})
		t.Run(name+", waiting", func(t *testing.T) {
			d := dispatcher(clocktest.Real{}, other)
			errs := make(chan error, 1)
			go func() {
				_, err := d.Acquire(context.Background(), request())
				errs <- err
			}()
			poll.WaitOn(t, waiting(d, 1), poll.WithDelay(5*time.Millisecond))
			d.SetServers(snapshot(test.servers...))
			assert.Assert(t, errors.Is(<-errs, test.want))
			assert.Equal(t, d.Demands()[model].Waiting, 0)
		})
	}
}
