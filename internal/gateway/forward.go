package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/bodybuffer"
	"rockcleat/internal/serverconn"
	"rockcleat/quarantine"
)

// A forwarder sends one request to servers until it is finished.
type forwarder struct {
	proxy *proxy
	in    *inbound
	w     http.ResponseWriter
	// ctx ends with the request's deadline, the caller's connection or the gateway.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// handOn is called when the request no longer waits for work of this process: it is sent, queued or held back.
	handOn func()
	// req is in.requirements, updated with the servers to exclude and other results of earlier sends.
	req    dispatch.Request
	record record
	// history remembers the connections that have carried the request.
	history serverconn.History
	// buffers holds the memory for the request's body and for the buffered part of its response.
	buffers *bodybuffer.Reservation
	// headerSent reports whether the header of a response has been sent to the caller.
	headerSent atomic.Bool
	// retryCharged reports whether the retry after the current send is already charged to the retry budget.
	retryCharged atomic.Bool
	// version is the software version that can continue the stream; nil before the first event. It is that of req, for the
	// stall timer, which runs in another goroutine.
	version atomic.Pointer[string]
	// lost holds the IDs of the servers that may have run the request without a usable response.
	lost []string
	// lastEvent is the id of the last event forwarded to the caller.
	lastEvent string
	// traits are the traits of the request by which it may make servers crash.
	traits []quarantine.Trait
	// trial is the trial of the current send; nil if it has no suspected traits. partsAnswered reports whether the current
	// send has brought a part of a successful response.
	trial         *trial
	partsAnswered bool
	// jointTrialFrom is when several suspected parts may be tested together; zero until a server is first reserved for
	// a trial.
	jointTrialFrom time.Time
}

// run sends the request until it is finished.
func (f *forwarder) run() {
	defer f.watchQuarantine()()
	if f.isQuarantined() {
		f.refuseQuarantined()
		return
	}
	f.proxy.budgets.countFirst(f.in)
	f.proxy.dispatcher.CountArrival(&f.req)
	for {
		f.awaitTrial()
		res, err := f.proxy.dispatcher.Acquire(f.ctx, &f.req)
		if err != nil {
			f.endUnserved(err)
			return
		}
		if f.isQuarantined() {
			res.Cancel()
			f.refuseQuarantined()
			return
		}
		if !f.beginTrial(res.Server().ID) {
			f.handOn()
			res.Cancel()
			if f.ctx.Err() != nil {
				f.endUnserved(f.ctx.Err())
				return
			}
			clock.Sleep(f.ctx, f.proxy.clock, trialPollInterval)
			continue
		}
		f.record.reservation = res
		if finished := f.sendAndEndTrial(res); finished {
			return
		}
	}
}

// endUnserved ends a request for which no server could be acquired.
func (f *forwarder) endUnserved(err error) {
	var limited *dispatch.RateLimitError
	var paused *dispatch.PausedError
	var busy *dispatch.BusyError
	switch {
	case f.isCallerGone():
		f.record.outcome = outcomeCallerGone
	case f.isCancelledByQuarantine():
		f.refuseQuarantined()
	case f.headerSent.Load(), f.record.runs > 0:
		f.refuseNotRun(nil, eris.Wrap(err, "gateway: no server to send the request to again"))
	case errors.As(err, &limited):
		f.refuse(outcomeRefused, notRun("the servers take no more now", retryAfterLimit(limited.RetryAfter)))
	case errors.As(err, &paused):
		f.refuse(outcomeRefused, notRun("the servers accept no requests now", retryAfterPause(paused.RetryAfter)))
	case errors.As(err, &busy):
		f.refuse(outcomeRefused, notRun("no server is free in time", retryAfterBusy(busy.RetryAfter)))
	case errors.Is(err, dispatch.ErrNoHall):
		f.refuse(outcomeRefused, notRun("no server in an allowed region", retryAfterLoad()))
	case errors.Is(err, dispatch.ErrNoneAccepts):
		f.refuse(outcomeRefused, notRun("all servers are leaving", retryAfterReplacement()))
	case errors.Is(err, dispatch.ErrNoVersion):
		f.refuse(outcomeRefused, notRun("no server runs the version that began the stream", retryAfterReplacement()))
	case errors.Is(err, dispatch.ErrShed):
		f.refuse(outcomeRefused, notRun("more urgent requests wait", retryAfterShed(f.in)))
	case f.ctx.Err() != nil:
		f.refuse(outcomeRefused, notRun("no server in time", retryAfterLoad()))
	default:
		f.refuse(outcomeRefused, notRun("no server can take it", retryAfterLoad()))
	}
}

// isCallerGone reports whether the caller has disconnected.
func (f *forwarder) isCallerGone() bool { return f.in.Context().Err() != nil }

const (
	// refusalBackoff is the base of the pause before the next send after a refusal; it doubles with each send.
	refusalBackoff = 30 * time.Millisecond
	// maxRefusals is the maximum number of sends that are repeated after a refusal.
	maxRefusals = 4
)

// maxRefusalBody is the number of bytes that are read of a refusal's body.
const maxRefusalBody = 4 << 10

// maxUnsent is the number of failed connection attempts after which a request is refused.
const maxUnsent = 6

// handleNotSent handles a send that did not reach its server, and reports whether the request is finished.
func (f *forwarder) handleNotSent(res *dispatch.Reservation, err error) bool {
	res.Done(dispatch.Failed)
	f.proxy.requestLog.sendFailed(f, res, "not sent", err)
	f.exclude(res)
	if f.record.unsent < maxUnsent {
		return false
	}
	f.refuseNotRun(notRun("no server can be reached", retryAfterLoad()), err)
	return true
}

// refuseNotRun ends a request after a send that did not run. If no earlier send may have run, the caller gets r, which
// says so. If a part of a response has been sent, err is logged as the reason why it is aborted.
func (f *forwarder) refuseNotRun(r *refusal, err error) {
	if f.headerSent.Load() {
		f.abort(err)
	}
	if f.record.runs > 0 {
		f.refuse(outcomeUnknown, mayHaveRun("the request may have run"))
		return
	}
	f.refuse(outcomeRefused, r)
}

// handleRefusal handles a response in which the server says that it did not run the request. cancel ends the send. It
// reports whether the request is finished.
func (f *forwarder) handleRefusal(res *dispatch.Reservation, resp *http.Response, cancel context.CancelCauseFunc) bool {
	res.Done(refusalResult(resp))
	f.discardBody(resp, cancel)
	f.proxy.requestLog.sendRefused(f, res, resp)
	if !f.mayRepeatRefused() || !f.proxy.budgets.take(f.in) {
		f.refuseNotRun(notRun("the servers are full", f.retryAfterRefusal()), eris.New("gateway: server refused to resume the stream"))
		return true
	}
	f.excludeRefusing(res.Server().ID)
	return false
}

// refusalBodyTimeout is how long the body of a refusal may take.
const refusalBodyTimeout = 50 * time.Millisecond

// discardBody reads the body of a refusal, so that the connection can be reused. cancel ends the send, and with it the read
// of a body that does not end in time. A body that ends with the connection is not read.
func (f *forwarder) discardBody(resp *http.Response, cancel context.CancelCauseFunc) {
	if isUnframed(resp) {
		return
	}
	defer f.proxy.clock.AfterFunc(refusalBodyTimeout, func() { cancel(nil) }).Stop()
	// After an error the connection is closed.
	_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBody)
}

// isUnframed reports whether a response ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

// mayRepeatRefused reports whether a request may be sent again after a refusal. If an earlier send may have run, the
// route must allow another run.
func (f *forwarder) mayRepeatRefused() bool {
	if f.record.sends-f.record.runs > maxRefusals {
		return false
	}
	return f.record.runs == 0 || f.mayRetry()
}

// excludeRefusing excludes a server that has just refused the request from the next send. Of the others, only those that
// have lost the request stay excluded: servers that refused it before may have capacity again.
func (f *forwarder) excludeRefusing(server string) {
	if f.proxy.dispatcher.IsPaused(server) {
		// The server gets no request before the end of its pause, so the next send is to another one, or after it.
		f.req.Exclude = slices.Clone(f.lost)
		return
	}
	f.req.Exclude = append(slices.Clone(f.lost), server)
	if f.record.sends > 1 {
		clock.Sleep(f.ctx, f.proxy.clock, refusalBackoff<<(f.record.sends-f.record.runs))
	}
	if f.req.Version != nil && !f.proxy.dispatcher.CanSend(&f.req) {
		// It may be the only server that can continue the stream.
		f.req.Exclude = slices.Clone(f.lost)
	}
}

// retryAfterRefusal returns the Retry-After for a request that servers have refused: the end of the first pause if all
// servers that could take it are paused.
func (f *forwarder) retryAfterRefusal() time.Duration {
	if wait := f.proxy.dispatcher.PauseRemaining(&f.req); wait > 0 {
		return retryAfterPause(wait)
	}
	return retryAfterLoad()
}

// refusalResult returns the result of a refused send for the dispatcher.
func refusalResult(resp *http.Response) dispatch.SendResult {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return dispatch.Misdirected
	}
	return dispatch.Refused
}

// handleLost handles a send that may have run but returned no usable response. It reports whether the request is
// finished.
func (f *forwarder) handleLost(res *dispatch.Reservation, err error) bool {
	res.Done(dispatch.Failed)
	f.proxy.requestLog.sendFailed(f, res, "lost", err, f.proxy.requestLog.countBroken(err))
	if f.ctx.Err() != nil {
		f.handleExpired()
		return true
	}
	if f.mayRetry() && (f.retryCharged.Load() || f.proxy.budgets.take(f.in)) {
		f.excludeLost(res)
		f.req.MayHaveRun = true
		f.req.WaitUntil = f.in.deadline.Add(-responseReserve)
		return false
	}
	if f.headerSent.Load() {
		f.abort(err)
	}
	f.refuse(outcomeUnknown, mayHaveRun("the server was lost; the request may have run"))
	return true
}

// handleExpired ends a request whose context ended after it was sent.
func (f *forwarder) handleExpired() {
	if f.isCallerGone() {
		f.record.outcome = outcomeCallerGone
		return
	}
	if f.isCancelledByQuarantine() {
		f.refuseQuarantined()
		return
	}
	if f.headerSent.Load() {
		f.abort(context.DeadlineExceeded)
	}
	f.refuse(outcomeTimeout, &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"})
}

// serverField returns a log field with the server of the last send.
func (f *forwarder) serverField() zap.Field {
	if f.record.reservation == nil {
		return zap.Skip()
	}
	return zap.String(fieldServer, f.record.reservation.Server().ID)
}

// exclude removes a server from the candidates for further sends.
func (f *forwarder) exclude(res *dispatch.Reservation) {
	f.req.Exclude = append(f.req.Exclude, res.Server().ID)
}

// excludeLost removes a server that may have run the request from the candidates for all further sends.
func (f *forwarder) excludeLost(res *dispatch.Reservation) {
	f.lost = append(f.lost, res.Server().ID)
	f.exclude(res)
}

// refuse ends the request with a response made by the gateway.
func (f *forwarder) refuse(outcome string, r *refusal) {
	f.record.outcome, f.record.status, f.record.refusal = outcome, r.status, r
	f.proxy.write(f.w, r)
}

// abort aborts a response that cannot be completed, so that the caller sees a broken connection, not a complete
// response.
func (f *forwarder) abort(err error) {
	f.record.outcome = outcomeAborted
	f.proxy.requestLog.responseAborted(f, err)
	panic(http.ErrAbortHandler)
}
