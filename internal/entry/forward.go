package entry

import (
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/route"
)

// Bounds of the sending of one request.
const (
	// maxTries bounds the servers that it is sent to.
	maxTries = 4
	// arrivalPoll is the time between two looks for a server that is to arrive.
	arrivalPoll = 20 * time.Millisecond
	// maxArrival bounds the wait for it.
	maxArrival = 10 * time.Second
)

// A delivery is the state of passing one call's answer to its caller.
type delivery struct {
	proxy *proxy
	c     echo.Context
	x     *call
	// out is the outcome, empty until the call is over.
	out wire.Outcome
	// begun says that the answer's header has been sent to the caller.
	begun bool
	// tokens is the number of streamed tokens that the caller has.
	tokens int
	// refusal is the best refusal so far.
	refusal *wire.Failure
	// tried holds the incarnation of each server that was tried.
	tried map[string]string
	// mayHaveRun says that a server was lost that may have run the request.
	mayHaveRun bool
	// refusedByLeaver says that a server refused because it is leaving.
	refusedByLeaver bool
	// finish is called with the outcome, before the caller has the end of the answer.
	finish func(wire.Outcome)
}

// forward answers a call that needs no claim.
func (p *proxy) forward(c echo.Context, x *call) {
	p.forwardThen(c, x, func(wire.Outcome) {})
}

// forwardThen answers a call and passes its outcome to finish before the caller has the end of the
// answer.
func (p *proxy) forwardThen(c echo.Context, x *call, finish func(wire.Outcome)) {
	d := &delivery{proxy: p, c: c, x: x, tried: make(map[string]string), finish: finish}
	x.digest = digestOf(c.Request(), x.row.Name, x.body)
	p.budget.First()
	for try := 0; try < maxTries; try++ {
		s, ok := d.next()
		if !ok {
			break
		}
		if f, held := d.quarantined(); held {
			d.refusal = &f
			break
		}
		if try > 0 && !p.budget.Allow() {
			p.log.Warn("retry budget used up", zap.String("request", x.id))
			break
		}
		if try > 0 {
			p.metrics.Retry(x.class())
		}
		d.tried[s.ID] = s.Incarnation
		if d.attempt(s) {
			return
		}
	}
	d.giveUp()
}

// next chooses the server to try. It waits for one, within the row's queue time, while one may
// arrive.
func (d *delivery) next() (fleet.Server, bool) {
	since := d.x.arrived
	if d.mayHaveRun {
		since = d.proxy.clock.Now()
	}
	deadline := since.Add(min(d.x.row.QueueTime, maxArrival))
	for {
		if s, ok := d.choose(); ok {
			return s, true
		}
		if !d.mayArrive() || !d.proxy.clock.Now().Before(deadline) {
			return fleet.Server{}, false
		}
		ctx := d.c.Request().Context()
		clock.Sleep(ctx, d.proxy.clock, arrivalPoll)
		if ctx.Err() != nil {
			return fleet.Server{}, false
		}
	}
}

// mayArrive reports whether waiting for a server is worth it: the model is being loaded and no
// server refused for lack of capacity, or a server was lost under the request, so that its model
// is loaded elsewhere.
func (d *delivery) mayArrive() bool {
	if d.mayHaveRun {
		return true
	}
	return d.proxy.arriving(d.x.row.Name) && (len(d.tried) == 0 || d.refusedByLeaver)
}

// choose returns the best server not yet tried. One that is leaving is chosen
// only when no other has the model or adapter; it decides itself whether it
// still takes the request.
func (d *delivery) choose() (fleet.Server, bool) {
	servers := slices.DeleteFunc(slices.Clone(d.proxy.view.Serving(d.x.row.Name)), func(s fleet.Server) bool {
		return d.tried[s.ID] == s.Incarnation
	})
	staying := slices.DeleteFunc(slices.Clone(servers), d.leaving)
	if len(staying) > 0 {
		servers = staying
	}
	if len(servers) == 0 {
		return fleet.Server{}, false
	}
	cands := make([]route.Candidate, len(servers))
	for i, s := range servers {
		cands[i] = route.Candidate{ID: s.ID, Hall: s.Hall}
	}
	best := d.proxy.routes.Order(cands, d.x.prefix, d.proxy.clock.Now())[0]
	i := slices.IndexFunc(servers, func(s fleet.Server) bool { return s.ID == best.ID })
	return servers[i], true
}

// leaving reports whether a server leaves, by its own word, its record or the platform's list.
func (d *delivery) leaving(s fleet.Server) bool {
	return s.Leaving || d.proxy.members.isLeaving(s.ID) || d.proxy.routes.Leaving(s.ID, s.Incarnation)
}

// arriving reports whether a server is loading the model or adapter.
func (p *proxy) arriving(name string) bool {
	return slices.ContainsFunc(p.view.Servers(), func(s fleet.Server) bool {
		return slices.ContainsFunc(s.Residents, func(r fleet.Resident) bool {
			return r.Name == name && r.State == fleet.StateLoading
		})
	})
}
