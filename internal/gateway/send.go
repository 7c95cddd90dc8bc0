package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/dispatch"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// headerLastEvent tells where a stream is to go on.
const headerLastEvent = "Last-Event-Id"

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// maxUnsent bounds the servers that one request could not be sent to.
const maxUnsent = 6

// maxPriority is the least urgent rank that engines know.
const maxPriority = 9

// errSilent ends a send whose server says nothing for too long; its repeat is paid for.
var errSilent = eris.New("gateway: server silent")

// send sends the request to one server and reports whether it is over.
func (x *exchange) send(t *dispatch.Reservation) bool {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	silence := x.watchSilence(t, cancel)
	defer silence.stop()
	req := x.outgoing(ctx, t)
	x.g.logSend(x, t)
	resp, err := x.g.servers.RoundTrip(req)
	if err != nil {
		return x.failed(t, cause(ctx, err))
	}
	defer resp.Body.Close()
	x.sends++
	if resp.Header.Get(x.g.names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return x.notRun(t, resp)
	}
	x.runs++
	if err := x.check(resp); err != nil {
		return x.lost(t, err)
	}
	if x.begun.Load() && resp.StatusCode != http.StatusOK {
		return x.lost(t, eris.Errorf("gateway: status %d in the middle of a stream", resp.StatusCode))
	}
	if x.route.Stream && resp.StatusCode == http.StatusOK {
		return x.passStream(ctx, t, resp, silence)
	}
	return x.passWhole(ctx, t, resp)
}

// cause prefers the reason for which a send was cancelled to what the transport says.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// check reports whether an answer is one to this request.
func (x *exchange) check(resp *http.Response) error {
	if id := resp.Header.Get(x.g.names.RequestID); id != x.id {
		return eris.Errorf("gateway: answer to another request %q", id)
	}
	if resp.StatusCode < 300 && resp.Header.Get(x.g.names.Signature) == "" {
		return eris.New("gateway: answer without a signature")
	}
	return nil
}

// outgoing makes the request to a server.
func (x *exchange) outgoing(ctx context.Context, t *dispatch.Reservation) *http.Request {
	s := t.Server()
	out := &http.Request{
		Method: x.r.Method, URL: target(x.r.RequestURI, s.Addr), Host: x.r.Host, Header: x.r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(x.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(x.body))
		out.ContentLength = int64(len(x.body))
	}
	h := out.Header
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	left := x.end.Sub(x.g.clock.Now()).Milliseconds()
	h.Set(x.g.names.Deadline, strconv.FormatInt(max(left, 1), 10))
	h.Set(x.g.names.Expect, s.ID)
	if x.req.Model != "" {
		h.Set(x.g.names.Priority, strconv.Itoa(min(x.route.Priority, maxPriority)))
	}
	if x.lastEvent != "" {
		h.Set(headerLastEvent, x.lastEvent)
	}
	wire.SendOnce(out)
	return sendOnceContext(ctx, out)
}

// sendOnceContext keeps the transport from repeating a request without a body,
// which it does when a kept connection breaks under it.
func sendOnceContext(ctx context.Context, r *http.Request) *http.Request {
	if r.Body == nil {
		r.Body = emptyBody{}
	}
	return r.WithContext(ctx)
}

// emptyBody is a body that the transport does not know to be empty.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// target returns the URL that sends the request line's target as it came.
func target(requestURI, addr string) *url.URL {
	return &url.URL{Scheme: "http", Host: addr, Opaque: requestURI}
}

// failed handles a send without an answer's header and reports whether the
// request is over.
func (x *exchange) failed(t *dispatch.Reservation, err error) bool {
	if x.r.Context().Err() != nil {
		t.Done(dispatch.Abandoned)
		x.outcome = outcomeGone
		return true
	}
	if wire.IsNotSent(err) {
		t.Done(dispatch.Failed)
		x.g.logFailed(x, t, "not sent", err)
		x.unsent++
		x.req.Exclude = append(x.req.Exclude, t.Server().ID)
		if x.unsent < maxUnsent {
			return false
		}
		x.refuse(outcomeRefused, &refusal{status: http.StatusServiceUnavailable, reason: "no server can be reached; not run", after: x.g.comeBack()})
		return true
	}
	x.sends++
	x.runs++
	return x.lost(t, err)
}

// lost handles a send that may have run and brought no usable answer, and
// reports whether the request is over.
func (x *exchange) lost(t *dispatch.Reservation, err error) bool {
	t.Done(dispatch.Failed)
	x.g.logFailed(x, t, "lost", err)
	if x.ctx.Err() != nil {
		return x.expired()
	}
	if x.mayRepeat() && (errors.Is(err, errSilent) || x.allowed()) {
		x.req.Exclude = append(x.req.Exclude, t.Server().ID)
		x.req.MayHaveRun = true
		x.req.WaitUntil = x.end.Add(-holdReserve)
		return false
	}
	if x.begun.Load() {
		x.cut(err)
	}
	x.refuse(outcomeUnknown, &refusal{status: http.StatusBadGateway, reason: "the server was lost; the request may have run"})
	return true
}

// expired ends a request whose time is up after it was sent.
func (x *exchange) expired() bool {
	if x.r.Context().Err() != nil {
		x.outcome = outcomeGone
		return true
	}
	if x.begun.Load() {
		x.cut(context.DeadlineExceeded)
	}
	x.refuse(outcomeTimeout, &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"})
	return true
}

// mayRepeat reports whether the request may run at a further server.
func (x *exchange) mayRepeat() bool {
	if x.runs >= x.route.Attempts {
		return false
	}
	switch x.route.Retry {
	case table.RetryWhole:
		return !x.begun.Load()
	case table.RetryResume:
		return true
	}
	return false
}

// allowed takes a repeat from the budget.
func (x *exchange) allowed() bool {
	return x.g.budgetOf(x.service.Name).Allow(x.g.clock.Now(), x.g.ownShare())
}

// Waiting between sends that servers refuse.
const (
	refusedPause = 30 * time.Millisecond
	maxRefusals  = 4
)

// notRun handles a server's word that it has not run the request.
func (x *exchange) notRun(t *dispatch.Reservation, resp *http.Response) bool {
	t.Done(dispatch.Refused)
	_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBody)
	x.g.logFailed(x, t, "refused", eris.Errorf("status %d", resp.StatusCode))
	if x.begun.Load() {
		x.cut(eris.New("gateway: refused in the middle of a stream"))
	}
	if x.runs > 0 {
		x.refuse(outcomeUnknown, &refusal{status: http.StatusBadGateway, reason: "the request may have run"})
		return true
	}
	if x.sends > maxRefusals || !x.allowed() {
		x.refuse(outcomeRefused, &refusal{status: http.StatusServiceUnavailable, reason: "the servers are full; not run", after: x.g.comeBack()})
		return true
	}
	x.req.Exclude = []string{t.Server().ID}
	if x.sends > 1 {
		x.pause(refusedPause << x.sends)
	}
	return false
}

// maxRefusalBody bounds what is read of a refusal so that its connection is kept.
const maxRefusalBody = 4 << 10

func (x *exchange) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
}
