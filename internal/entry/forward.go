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

// Limits of forwarding one request.
const (
	// maxAttempts is the maximum number of servers that a request is sent to.
	maxAttempts = 4
	// serverPollInterval is the interval at which a waiting request checks for an available server.
	serverPollInterval = 20 * time.Millisecond
	// maxServerWait is the maximum time that a request waits for an available server.
	maxServerWait = 10 * time.Second
)

// A forwarder forwards one call to servers, one after another, and returns the response to the
// client.
type forwarder struct {
	proxy       *proxy
	echoContext echo.Context
	call        *call
	// outcome is the outcome of the call, empty until the call is over.
	outcome wire.Outcome
	// headerSent reports whether the response header has been sent to the client.
	headerSent bool
	// tokens is the number of tokens that have been streamed to the client.
	tokens int
	// refusal is the response to return if no other server accepts the request.
	refusal *wire.ErrorResponse
	// tried maps the id of each server tried to its incarnation at the time.
	tried map[string]string
	// mayHaveRun reports whether the request may have run on a server that was then lost.
	mayHaveRun bool
	// refusedByLeavingServer reports whether a server refused the request because it is leaving.
	refusedByLeavingServer bool
	// finish is called with the outcome before the end of the response is sent to the client.
	finish func(wire.Outcome)
}

// forward serves a call that needs no claim.
func (p *proxy) forward(c echo.Context, x *call) {
	p.forwardThen(c, x, func(wire.Outcome) {})
}

// forwardThen serves a call. It calls finish with the outcome before the end of the response is
// sent to the client.
func (p *proxy) forwardThen(c echo.Context, x *call, finish func(wire.Outcome)) {
	fw := &forwarder{proxy: p, echoContext: c, call: x, tried: make(map[string]string), finish: finish}
	x.digest = digestOf(c.Request(), x.row.Name, x.body)
	p.retryBudget.RecordFirstAttempt()
	for try := 0; try < maxAttempts; try++ {
		s, ok := fw.next()
		if !ok {
			break
		}
		if errResp, quarantined := fw.quarantined(); quarantined {
			fw.refusal = &errResp
			break
		}
		if try > 0 && !p.retryBudget.Allow() {
			p.log.Warn("retry budget exhausted", zap.String("request", x.id))
			break
		}
		if try > 0 {
			p.metrics.Retry(x.class())
		}
		fw.tried[s.ID] = s.Incarnation
		if fw.attempt(s) {
			return
		}
	}
	fw.failCall()
}

// next returns the server to try next. While one may become available, it waits for up to the
// smaller of the row's queue time and maxServerWait.
func (fw *forwarder) next() (fleet.Server, bool) {
	since := fw.call.arrived
	if fw.mayHaveRun {
		since = fw.proxy.clock.Now()
	}
	deadline := since.Add(min(fw.call.row.MaxQueueTime, maxServerWait))
	for {
		if s, ok := fw.choose(); ok {
			return s, true
		}
		if !fw.shouldWait() || !fw.proxy.clock.Now().Before(deadline) {
			return fleet.Server{}, false
		}
		ctx := fw.echoContext.Request().Context()
		clock.Sleep(ctx, fw.proxy.clock, serverPollInterval)
		if ctx.Err() != nil {
			return fleet.Server{}, false
		}
	}
}

// shouldWait reports whether a server may become available soon: the model is being loaded and no
// server refused for lack of capacity, or a server was lost during the request, so that the model
// will be loaded on another.
func (fw *forwarder) shouldWait() bool {
	if fw.mayHaveRun {
		return true
	}
	return fw.proxy.isLoading(fw.call.row.Name) && (len(fw.tried) == 0 || fw.refusedByLeavingServer)
}

// choose returns the best server not yet tried. A leaving server is chosen only if no other serves
// the row. It may still refuse the request.
func (fw *forwarder) choose() (fleet.Server, bool) {
	servers := slices.DeleteFunc(slices.Clone(fw.proxy.view.ServersFor(fw.call.row.Name)), func(s fleet.Server) bool {
		return fw.tried[s.ID] == s.Incarnation
	})
	staying := slices.DeleteFunc(slices.Clone(servers), fw.isLeaving)
	if len(staying) > 0 {
		servers = staying
	}
	if len(servers) == 0 {
		return fleet.Server{}, false
	}
	candidates := make([]route.Candidate, len(servers))
	for i, s := range servers {
		candidates[i] = route.Candidate{ID: s.ID, Hall: s.Hall}
	}
	best := fw.proxy.loadTable.Order(candidates, fw.call.prefix, fw.proxy.clock.Now())[0]
	i := slices.IndexFunc(servers, func(s fleet.Server) bool { return s.ID == best.ID })
	return servers[i], true
}

// isLeaving reports whether a server is leaving according to its responses, its record or the
// platform's list of VMs.
func (fw *forwarder) isLeaving(s fleet.Server) bool {
	return s.Leaving || fw.proxy.members.isLeaving(s.ID) || fw.proxy.loadTable.IsLeaving(s.ID, s.Incarnation)
}

// isLoading reports whether a server is loading the model or adapter.
func (p *proxy) isLoading(name string) bool {
	return slices.ContainsFunc(p.view.Servers(), func(s fleet.Server) bool {
		return slices.ContainsFunc(s.Residents, func(r fleet.Resident) bool {
			return r.Name == name && r.State == fleet.StateLoading
		})
	})
}
