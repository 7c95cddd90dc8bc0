package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"rockcleat/dispatch"
)

// maxHeldAnswer bounds an answer that is read whole before any of it is passed on.
const maxHeldAnswer = 256 << 10

// passWhole passes an answer on that is no stream.
func (x *exchange) passWhole(ctx context.Context, t *dispatch.Reservation, resp *http.Response) bool {
	t.FirstByte()
	if resp.StatusCode >= http.StatusInternalServerError && x.mayRepeat() && x.allowed() {
		t.Done(dispatch.Failed)
		x.g.logFailed(x, t, "answered "+strconv.Itoa(resp.StatusCode), nil)
		x.req.Exclude = append(x.req.Exclude, t.Server().ID)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldAnswer))
	if err != nil {
		return x.lost(t, cause(ctx, err))
	}
	x.begin(resp)
	if len(body) < maxHeldAnswer {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(resp.StatusCode)
	_, err = x.w.Write(body)
	if err == nil && len(body) == maxHeldAnswer {
		_, err = io.Copy(x.w, resp.Body)
	}
	if err != nil {
		t.Done(dispatch.Abandoned)
		x.cut(err)
	}
	x.finish(t, resp.StatusCode)
	return true
}

func (x *exchange) finish(t *dispatch.Reservation, status int) {
	x.status = status
	if status >= http.StatusInternalServerError {
		t.Done(dispatch.Failed)
		x.outcome = outcomeFailed
		return
	}
	t.Done(dispatch.Answered)
	x.outcome = outcomeAnswered
}

// begin copies an answer's header to the caller.
func (x *exchange) begin(resp *http.Response) {
	x.begun.Store(true)
	x.firstByte = x.g.clock.Now()
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, list := range resp.Header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	if _, ok := h["Content-Type"]; !ok {
		// net/http would guess one.
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if x.g.leaving.Load() {
		h.Set("Connection", "close")
	}
}
