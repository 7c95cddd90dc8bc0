package gateway

import (
	"context"
	"net/http"
	"time"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
	"rockcleat/quota"
	"rockcleat/serverlimit"
)

// A proxy serves callers' requests: it reads each whole, forwards it to a server and passes
// the answer on.
type proxy struct {
	names      wire.Names
	config     *configuration
	access     *access
	limiter    *quota.Limiter
	dispatcher *dispatch.Dispatcher
	budgets    *retryBudgets
	lines      *requestLog
	lifecycle  *lifecycle
	conns      *conns
	quarantine *quarantine.Table
	ends       *endDetector
	suspects   suspects
	// serverLimits hears what each answer of a server says of its limit.
	serverLimits *serverlimit.Table
	clock        clock.Service
	transport    http.RoundTripper
	// bodyTime bounds the reading of a request's body.
	bodyTime time.Duration
}

// ServeHTTP serves one request of a caller.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.lifecycle.begin()()
	if !p.conns.begin(r.Context()) {
		// The caller has its answer already: its header took too long.
		panic(http.ErrAbortHandler)
	}
	in, refused := p.read(w, r)
	if refused == nil {
		refused = p.charge(r.Context(), in)
	}
	if refused != nil {
		p.write(w, refused)
		p.lines.refusedEarly(r, refused)
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), p.clock, in.deadline)
	defer cancel(nil)
	f := &forwarder{proxy: p, in: in, w: w, ctx: ctx, cancel: cancel, req: in.needs}
	defer p.ended(f)
	defer context.AfterFunc(p.lifecycle.lastCall, func() {
		if !f.answering.Load() {
			cancel(nil)
		}
	})()
	f.run()
}

// write sends a refusal; while the gateway stops it also ends the connection.
func (p *proxy) write(w http.ResponseWriter, f *refusal) {
	f.closeConn = f.closeConn || p.lifecycle.isStopping()
	f.write(w)
}

// ended records what became of a request.
func (p *proxy) ended(f *forwarder) {
	if f.record.outcome == outcomeRefused {
		f.record.holders = p.dispatcher.HolderCount(&f.req)
	}
	if f.record.runs == 0 {
		p.refund(f.in)
	}
	if result, ok := f.record.result(f.in); ok {
		p.dispatcher.RecordResult(&f.req, result)
	}
	p.lines.ended(f.in, &f.req, &f.record)
}
