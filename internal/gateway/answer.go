package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"rockcleat/dispatch"
)

// maxBufferedResponse is the number of bytes of a non-streaming response that are buffered before any are forwarded.
// While a response is buffered, the request can still be retried on another server.
const maxBufferedResponse = 256 << 10

// forwardResponse forwards a non-streaming response and reports whether the request is finished.
func (f *forwarder) forwardResponse(ctx context.Context, res *dispatch.Reservation, resp *http.Response) bool {
	res.RecordFirstByte()
	if resp.StatusCode >= http.StatusInternalServerError && f.mayRetry() && f.proxy.budgets.take(f.in) {
		res.Done(dispatch.Failed)
		f.proxy.requestLog.sendFailed(f, res, "answered "+strconv.Itoa(resp.StatusCode), nil)
		f.excludeLost(res)
		return false
	}
	limit := f.responseBuffer(resp)
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		f.reportConnFailure(res, cause(ctx, err))
		return f.handleLost(res, cause(ctx, err))
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		f.recordPartsAnswered()
	}
	f.beginResponse(resp)
	// In response to HEAD, Content-Length states the length that the body would have, and stays.
	if int64(len(body)) < limit && f.in.Method != http.MethodHead {
		f.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.w.WriteHeader(resp.StatusCode)
	_, err = f.w.Write(body)
	if err == nil && int64(len(body)) == limit {
		_, err = io.Copy(f.w, resp.Body)
	}
	if err != nil {
		res.Done(dispatch.Canceled)
		f.abort(err)
	}
	f.finish(res, resp.StatusCode)
	return true
}

// responseBuffer returns how many bytes of a response to buffer: maxBufferedResponse, or none if there is no memory for
// the response, which is then forwarded as it arrives.
func (f *forwarder) responseBuffer(resp *http.Response) int64 {
	size := int64(maxBufferedResponse)
	if resp.ContentLength >= 0 {
		size = min(size, resp.ContentLength)
	}
	if !f.buffers.Grow(size) {
		return 0
	}
	return maxBufferedResponse
}

// finish records the result of a request whose response was forwarded completely.
func (f *forwarder) finish(res *dispatch.Reservation, status int) {
	f.record.status = status
	if status >= http.StatusInternalServerError {
		res.Done(dispatch.Failed)
		f.record.outcome = outcomeFailed
		return
	}
	res.Done(dispatch.Succeeded)
	f.proxy.quarantine.RecordAnswer(f.in.content)
	f.record.outcome = outcomeAnswered
}

// beginResponse copies the header of the server's response to the caller's response.
func (f *forwarder) beginResponse(resp *http.Response) {
	f.headerSent.Store(true)
	f.record.firstByte = f.proxy.clock.Now()
	h := f.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeConnectionHeaders(h)
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			// A nil value keeps net/http from adding the header.
			h[name] = nil
		}
	}
	if f.proxy.lifecycle.isStopping() || f.proxy.conns.intake.movesCaller(f.record.firstByte) {
		h.Set("Connection", "close")
	}
}
