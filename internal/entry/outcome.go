package entry

import (
	"net/http"

	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
)

// recordRefusal records an agent's refusal unless an earlier one has a shorter Retry-After.
func (d *forwarder) recordRefusal(resp *http.Response) {
	f := &wire.Failure{
		Status: resp.StatusCode, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
		Code: resp.Header.Get(wire.HeaderReason), RetryAfter: wire.RetryAfter(resp.Header),
	}
	f.Message = "the request was not run: " + f.Code
	d.refusedByLeaving = d.refusedByLeaving || resp.Header.Get(wire.HeaderLeaving) != ""
	if d.refusal == nil || f.RetryAfter < d.refusal.RetryAfter {
		d.refusal = f
	}
}

// attemptFailed handles an attempt that returned no complete response and reports whether the call
// is over.
func (d *forwarder) attemptFailed(s fleet.Server, err error) bool {
	if d.echoContext.Request().Context().Err() != nil {
		return d.clientGone()
	}
	d.proxy.routes.Avoid(s.ID, d.proxy.clock.Now())
	if wire.IsNotSent(err) {
		d.refusal = &wire.Failure{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeServer,
			Code: "backend_unreachable", Message: "no backend server could be reached; the request was not run",
			RetryAfter: defaultRetryAfter,
		}
		return false
	}
	return d.serverLost(s, err)
}

// serverLost handles the loss of a server that may have run the request and reports whether the
// call is over. A repeatable request continues on another server, except after part of a response
// that is not a stream has been sent.
func (d *forwarder) serverLost(s fleet.Server, err error) bool {
	d.proxy.log.Warn("backend server lost during a request", zap.String("request", d.call.id), zap.String("server", s.ID),
		zap.Int("tokens", d.tokens), zap.Error(err))
	d.proxy.routes.Avoid(s.ID, d.proxy.clock.Now())
	d.mayHaveRun = true
	if d.call.repeatable && (!d.headerSent || d.call.stream) {
		return false
	}
	d.recordOutcome(wire.OutcomeUnknown)
	if d.headerSent {
		panic(http.ErrAbortHandler)
	}
	d.respond(d.unknownOutcome())
	return true
}

// answer responds with a failure. A write error is ignored: the client has disconnected.
func (d *forwarder) respond(f wire.Failure) { _ = f.Write(d.echoContext) }

// unknownOutcome returns the failure of a request that may have run and is not sent again.
func (d *forwarder) unknownOutcome() wire.Failure {
	return wire.Failure{
		Status: http.StatusBadGateway, Outcome: wire.OutcomeUnknown, Type: wire.TypeServer, Code: "backend_lost",
		Message: "the backend server was lost; the request may have run and is not sent again",
	}
}

// clientGone ends a call whose client has disconnected. It returns true: the call is over.
func (d *forwarder) clientGone() bool {
	d.recordOutcome(wire.OutcomeUnknown)
	return true
}

// giveUp ends a call for which no server or no retry is left.
func (d *forwarder) giveUp() {
	if d.echoContext.Request().Context().Err() != nil {
		d.clientGone()
		return
	}
	if d.headerSent {
		d.abortStream()
		return
	}
	if d.mayHaveRun {
		d.recordOutcome(wire.OutcomeUnknown)
		d.respond(d.unknownOutcome())
		return
	}
	if d.refusal == nil {
		d.refusal = &wire.Failure{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
			Code: "no_place", Message: "no backend server has it ready now; the request was not run", RetryAfter: defaultRetryAfter,
		}
	}
	d.proxy.decisions.Record(wire.Decision{
		Time: d.proxy.clock.Now().UnixMilli(), Kind: "refuse", Name: d.call.row.Name, Reason: d.refusal.Code,
	})
	d.recordOutcome(wire.OutcomeNotRun)
	d.respond(*d.refusal)
}

// recordOutcome records the outcome and passes it to finish; only the first call has an effect. An
// answered request is cleared of the crashes recorded for it.
func (d *forwarder) recordOutcome(o wire.Outcome) {
	if d.outcome != "" {
		return
	}
	d.outcome = o
	if o == wire.OutcomeAnswered {
		d.proxy.quarantine.Void(d.call.digest)
	}
	d.proxy.metrics.Request(d.call.class(), string(o))
	d.proxy.metrics.Duration(d.call.class(), d.proxy.clock.Now().Sub(d.call.arrived).Seconds())
	d.finish(o)
}
