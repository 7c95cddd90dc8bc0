package gateway

import (
	"context"
	"net/http"
	"time"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/bodybuffer"
	"rockcleat/internal/serverconn"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
	"rockcleat/quota"
)

// A proxy is the HTTP handler for callers' requests. It reads each request completely, forwards it to a server and
// forwards the response.
type proxy struct {
	names         wire.HeaderNames
	config        *configuration
	authenticator *authenticator
	limiter       *quota.Limiter
	dispatcher    *dispatch.Dispatcher
	budgets       *retryBudgets
	requestLog    *requestLog
	lifecycle     *lifecycle
	processor     *processorGuard
	conns         *conns
	quarantine    *quarantine.Table
	detector      *crashDetector
	origins       *streamOrigins
	trials        *trials
	// observer evaluates what servers announce about themselves in responses.
	observer  *responseObserver
	clock     clock.Service
	transport *serverconn.Transport
	regions   regionMap
	buffers   *bodybuffer.Memory
	// bodyTimeout is the timeout for reading a request body.
	bodyTimeout time.Duration
}

// ServeHTTP implements http.Handler.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.lifecycle.begin()()
	p.conns.beginRequest(r.Context())
	setWriteTimeout(w, defaultTimeout)
	if p.refuseForProcessor(w, r) {
		return
	}
	buffers := p.buffers.Reserve()
	defer buffers.Release()
	in, refused := p.read(w, r, buffers)
	if refused == nil {
		refused = p.charge(r.Context(), in)
	}
	if refused != nil {
		p.write(w, refused)
		p.requestLog.requestRefused(r, refused)
		return
	}
	setWriteTimeout(w, in.deadline.Sub(p.clock.Now())+unreadMargin)
	ctx, cancel := clock.WithDeadline(r.Context(), p.clock, in.deadline)
	defer cancel(nil)
	f := &forwarder{
		proxy: p, in: in, w: w, ctx: ctx, cancel: cancel, req: in.requirements, buffers: buffers, traits: in.traits(),
		handOn: p.conns.handOn(r.Context()),
	}
	f.req.OnWait = f.handOn
	defer p.finish(f)
	defer context.AfterFunc(p.lifecycle.unansweredCtx, func() {
		if !f.headerSent.Load() {
			cancel(nil)
		}
	})()
	f.run()
}

// unreadMargin is how long after its deadline a response may wait for a caller that does not read it.
const unreadMargin = 500 * time.Millisecond

// setWriteTimeout makes writes to the caller fail after d, so that a caller that does not read its response does not
// hold the connection to the server and the buffers of the request.
func setWriteTimeout(w http.ResponseWriter, d time.Duration) {
	// It fails only on a closed connection, which the writes report.
	_ = http.NewResponseController(w).SetWriteDeadline(clock.SystemDeadline(d))
}

// write sends a refusal of a request whose body may not have been read. While the gateway is stopping, it also closes the
// connection.
func (p *proxy) write(w http.ResponseWriter, r *refusal) {
	r.closeConn = r.closeConn || p.lifecycle.isStopping()
	// Setting the deadline fails only on a closed connection, which the write reports.
	_ = http.NewResponseController(w).SetReadDeadline(clock.SystemDeadline(discardTimeout))
	setWriteTimeout(w, refusalWriteTimeout)
	r.write(w)
}

// refusalWriteTimeout bounds the writing of a refusal. It fits into the send buffer of any connection whose caller reads.
const refusalWriteTimeout = 2 * time.Second

// finish records the result of a request in the dispatcher, the log and the metrics.
func (p *proxy) finish(f *forwarder) {
	if f.record.outcome == outcomeRefused {
		f.record.holders = p.dispatcher.CountServersHolding(&f.req)
	}
	if f.record.runs == 0 {
		p.refund(f)
	}
	if result, ok := f.record.result(f.in); ok {
		p.dispatcher.RecordResult(&f.req, result)
	}
	p.requestLog.requestEnded(f.in, &f.req, &f.record)
}
