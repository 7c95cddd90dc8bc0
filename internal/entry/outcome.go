package entry

import (
	"net/http"

	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
)

// keepRefusal records an agent's refusal unless an earlier one has a shorter Retry-After.
func (d *delivery) keepRefusal(resp *http.Response) {
	f := &wire.Failure{
		Status: resp.StatusCode, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
		Code: resp.Header.Get(wire.HeaderReason), RetryAfter: wire.RetryAfter(resp.Header),
	}
	f.Message = "the request was not run: " + f.Code
	d.refusedByLeaver = d.refusedByLeaver || resp.Header.Get(wire.HeaderLeaving) != ""
	if d.refusal == nil || f.RetryAfter < d.refusal.RetryAfter {
		d.refusal = f
	}
}

// failed handles an attempt that returned no complete response and reports whether the call is
// over.
func (d *delivery) failed(s fleet.Server, err error) bool {
	if d.c.Request().Context().Err() != nil {
		return d.abandoned()
	}
	d.proxy.routes.Avoid(s.ID, d.proxy.clock.Now())
	if wire.IsNotSent(err) {
		d.refusal = &wire.Failure{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeServer,
			Code: "backend_unreachable", Message: "no backend server could be reached; the request was not run",
			RetryAfter: retrySoon,
		}
		return false
	}
	return d.lost(s, err)
}

// lost handles the loss of a server that may have run the request and reports whether the call is
// over. A repeatable request continues on another server, except after part of a response that is
// not a stream has been sent.
func (d *delivery) lost(s fleet.Server, err error) bool {
	d.proxy.log.Warn("backend server lost during a request", zap.String("request", d.x.id), zap.String("server", s.ID),
		zap.Int("tokens", d.tokens), zap.Error(err))
	d.proxy.routes.Avoid(s.ID, d.proxy.clock.Now())
	d.mayHaveRun = true
	if d.x.repeatable && (!d.begun || d.x.stream) {
		return false
	}
	d.end(wire.OutcomeUnknown)
	if d.begun {
		panic(http.ErrAbortHandler)
	}
	d.answer(d.unknown())
	return true
}

// answer responds with a failure. A write error is ignored: the client has disconnected.
func (d *delivery) answer(f wire.Failure) { _ = f.Write(d.c) }

// unknown returns the failure of a request that may have run and is not sent again.
func (d *delivery) unknown() wire.Failure {
	return wire.Failure{
		Status: http.StatusBadGateway, Outcome: wire.OutcomeUnknown, Type: wire.TypeServer, Code: "backend_lost",
		Message: "the backend server was lost; the request may have run and is not sent again",
	}
}

// abandoned ends a call whose client has disconnected. It returns true: the call is over.
func (d *delivery) abandoned() bool {
	d.end(wire.OutcomeUnknown)
	return true
}

// giveUp ends a call for which no server or no retry is left.
func (d *delivery) giveUp() {
	if d.c.Request().Context().Err() != nil {
		d.abandoned()
		return
	}
	if d.begun {
		d.cutStream()
		return
	}
	if d.mayHaveRun {
		d.end(wire.OutcomeUnknown)
		d.answer(d.unknown())
		return
	}
	if d.refusal == nil {
		d.refusal = &wire.Failure{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
			Code: "no_place", Message: "no backend server has it ready now; the request was not run", RetryAfter: retrySoon,
		}
	}
	d.proxy.decisions.Record(wire.Decision{
		Time: d.proxy.clock.Now().UnixMilli(), Kind: "refuse", Name: d.x.row.Name, Reason: d.refusal.Code,
	})
	d.end(wire.OutcomeNotRun)
	d.answer(*d.refusal)
}

// end records the outcome and passes it to finish; only the first call has an effect. An answered
// request is cleared of the crashes recorded for it.
func (d *delivery) end(o wire.Outcome) {
	if d.out != "" {
		return
	}
	d.out = o
	if o == wire.OutcomeAnswered {
		d.proxy.quarantine.Void(d.x.digest)
	}
	d.proxy.metrics.Request(d.x.class(), string(o))
	d.proxy.metrics.Duration(d.x.class(), d.proxy.clock.Now().Sub(d.x.arrived).Seconds())
	d.finish(o)
}
