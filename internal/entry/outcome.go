package entry

import (
	"net/http"

	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// recordRefusal records an agent's refusal unless an earlier one has a shorter Retry-After.
func (fw *forwarder) recordRefusal(resp *http.Response) {
	errResp := &wire.ErrorResponse{
		Status: resp.StatusCode, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
		Code: resp.Header.Get(wire.HeaderReason), RetryAfter: wire.RetryAfter(resp.Header),
	}
	errResp.Message = "the request was not run: " + errResp.Code
	fw.refusedByLeavingServer = fw.refusedByLeavingServer || resp.Header.Get(wire.HeaderLeaving) != ""
	if fw.refusal == nil || errResp.RetryAfter < fw.refusal.RetryAfter {
		fw.refusal = errResp
	}
}

// attemptFailed handles an attempt that returned no complete response and reports whether the call
// is over.
func (fw *forwarder) attemptFailed(s fleet.Server, err error) bool {
	if fw.echoContext.Request().Context().Err() != nil {
		return fw.clientDisconnected()
	}
	fw.proxy.loadTable.Avoid(s.ID, fw.proxy.clock.Now())
	if wire.IsNotSent(err) {
		fw.refusal = &wire.ErrorResponse{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeServer,
			Code: "backend_unreachable", Message: "no backend server could be reached; the request was not run",
			RetryAfter: defaultRetryAfter,
		}
		return false
	}
	return fw.serverLost(s, err)
}

// serverLost handles the loss of a server that may have run the request and reports whether the
// call is over. A repeatable request continues on another server, except after part of a response
// that is not a stream has been sent.
func (fw *forwarder) serverLost(s fleet.Server, err error) bool {
	fw.proxy.log.Warn("backend server lost during a request", zap.String("request", fw.call.id), zap.String("server", s.ID),
		zap.Int("tokens", fw.tokens), zap.Error(err))
	fw.proxy.loadTable.Avoid(s.ID, fw.proxy.clock.Now())
	fw.mayHaveRun = true
	if fw.call.repeatable && (!fw.headerSent || fw.call.stream) {
		return false
	}
	fw.recordOutcome(wire.OutcomeUnknown)
	if fw.headerSent {
		panic(http.ErrAbortHandler)
	}
	fw.respond(fw.unknownOutcome())
	return true
}

// respond sends an error response to the client. A write error is ignored: the client has disconnected.
func (fw *forwarder) respond(errResp wire.ErrorResponse) { _ = errResp.Write(fw.echoContext) }

// unknownOutcome returns the error response for a request that may have run and is not sent again.
func (fw *forwarder) unknownOutcome() wire.ErrorResponse {
	return wire.ErrorResponse{
		Status: http.StatusBadGateway, Outcome: wire.OutcomeUnknown, Type: wire.TypeServer, Code: "backend_lost",
		Message: "the backend server was lost; the request may have run and is not sent again",
	}
}

// clientDisconnected ends a call whose client has disconnected. It returns true: the call is over.
func (fw *forwarder) clientDisconnected() bool {
	fw.recordOutcome(wire.OutcomeUnknown)
	return true
}

// failCall ends a call for which no server or no retry is left.
func (fw *forwarder) failCall() {
	if fw.echoContext.Request().Context().Err() != nil {
		fw.clientDisconnected()
		return
	}
	if fw.headerSent {
		fw.abortStream()
		return
	}
	if fw.mayHaveRun {
		fw.recordOutcome(wire.OutcomeUnknown)
		fw.respond(fw.unknownOutcome())
		return
	}
	if fw.refusal == nil {
		fw.refusal = &wire.ErrorResponse{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
			Code: "no_place", Message: "no backend server has it ready now; the request was not run", RetryAfter: defaultRetryAfter,
		}
	}
	fw.proxy.decisions.Record(wire.Decision{
		Time: fw.proxy.clock.Now().UnixMilli(), Kind: "refuse", Name: fw.call.row.Name, Reason: fw.refusal.Code,
	})
	fw.recordOutcome(wire.OutcomeNotRun)
	fw.respond(*fw.refusal)
}

// recordOutcome records the outcome in the metrics and passes it to finish; only the first call has
// an effect. If the outcome is answered, it also clears the crashes recorded for the request.
func (fw *forwarder) recordOutcome(o wire.Outcome) {
	if fw.outcome != "" {
		return
	}
	fw.outcome = o
	if o == wire.OutcomeAnswered {
		fw.proxy.quarantine.RecordAnswer(quarantine.ContentTrait(fw.call.digest))
	}
	fw.proxy.metrics.Request(fw.call.class(), string(o))
	fw.proxy.metrics.Duration(fw.call.class(), fw.proxy.clock.Now().Sub(fw.call.arrived).Seconds())
	fw.finish(o)
}
