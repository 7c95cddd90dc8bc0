package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"rockcleat/dispatch"
)

// maxHeldAnswer bounds an answer that is read whole before any of it is passed on, in
// bytes: until then a server's loss can be made good elsewhere.
const maxHeldAnswer = 256 << 10

// passWhole passes an answer on that is no stream, and reports whether the request is over.
func (f *forwarder) passWhole(ctx context.Context, res *dispatch.Reservation, resp *http.Response) bool {
	res.FirstByte()
	if resp.StatusCode >= http.StatusInternalServerError && f.mayRetry() && f.proxy.budgets.take(f.in) {
		res.Done(dispatch.Failed)
		f.proxy.lines.sendFailed(f, res, "answered "+strconv.Itoa(resp.StatusCode), nil)
		f.exclude(res)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldAnswer))
	if err != nil {
		f.noteBreak(res, cause(ctx, err))
		return f.lost(res, cause(ctx, err))
	}
	f.begin(resp)
	if len(body) < maxHeldAnswer {
		f.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.w.WriteHeader(resp.StatusCode)
	_, err = f.w.Write(body)
	if err == nil && len(body) == maxHeldAnswer {
		_, err = io.Copy(f.w, resp.Body)
	}
	if err != nil {
		res.Done(dispatch.Abandoned)
		f.cut(err)
	}
	f.finish(res, resp.StatusCode)
	return true
}

// finish ends a request whose answer was passed on whole.
func (f *forwarder) finish(res *dispatch.Reservation, status int) {
	f.record.status = status
	if status >= http.StatusInternalServerError {
		res.Done(dispatch.Failed)
		f.record.outcome = outcomeFailed
		return
	}
	res.Done(dispatch.Answered)
	f.proxy.quarantine.Void(f.in.key)
	f.record.outcome = outcomeAnswered
}

// begin copies an answer's header to the caller.
func (f *forwarder) begin(resp *http.Response) {
	f.answering.Store(true)
	f.record.firstByte = f.proxy.clock.Now()
	h := f.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeConnectionHeaders(h)
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			// net/http would add one.
			h[name] = nil
		}
	}
	if f.proxy.lifecycle.isStopping() {
		h.Set("Connection", "close")
	}
}
