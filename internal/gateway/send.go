package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"rockcleat/dispatch"
	"rockcleat/internal/serverconn"
)

// errStalled cancels a send whose server has stalled.
var errStalled = eris.New("gateway: server stalled")

// send sends the request to one server and reports whether the request is finished.
func (f *forwarder) send(res *dispatch.Reservation) bool {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	f.handOn()
	f.retryCharged.Store(false)
	f.partsAnswered = false
	stall := f.startStallTimer(res, cancel)
	defer stall.stop()
	if f.record.sends == 0 {
		f.record.waited = f.proxy.clock.Now().Sub(f.in.arrived)
	}
	f.proxy.requestLog.recordSend(f, res)
	sent := f.proxy.clock.Now()
	resp, exchange, err := f.proxy.transport.Send(f.serverRequest(ctx, res), f.in.body, &f.history)
	v := verdictOf(f.proxy.names, f.in.id, exchange, resp)
	f.record.count(v)
	if err != nil {
		return f.handleNoResponse(res, v, cause(ctx, err))
	}
	defer resp.Body.Close()
	// It has no effect after Accept.
	defer exchange.Discard()
	if v == verdictForeign {
		return f.handleForeign(res, exchange, resp)
	}
	exchange.Accept()
	f.proxy.observer.observe(f.in, res, resp, sent)
	if v == verdictRefused {
		return f.handleRefusal(res, resp, cancel)
	}
	if err := f.validate(resp); err != nil {
		return f.handleLost(res, err)
	}
	f.record.unframed = nil
	if isUnframed(resp) {
		f.record.unframed = exchange
	}
	if f.in.route.Stream && resp.StatusCode == http.StatusOK {
		return f.forwardStream(ctx, res, resp, stall)
	}
	return f.forwardResponse(ctx, res, resp)
}

// cause returns the cause of ctx's cancellation if there is one, and err otherwise.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// handleNoResponse handles a send that failed before a response's header arrived. It reports whether the request is
// finished.
func (f *forwarder) handleNoResponse(res *dispatch.Reservation, v verdict, err error) bool {
	if f.isCallerGone() {
		res.Done(dispatch.Canceled)
		f.record.outcome = outcomeCallerGone
		return true
	}
	if v == verdictNotSent {
		return f.handleNotSent(res, err)
	}
	f.reportConnFailure(res, err)
	return f.handleLost(res, err)
}

// handleForeign handles a response that is not surely that of the request, and reports whether the request is finished. The
// connection is closed, since the response to this request would arrive there as that to the next one.
func (f *forwarder) handleForeign(res *dispatch.Reservation, x *serverconn.Exchange, resp *http.Response) bool {
	x.Discard()
	f.proxy.requestLog.foreignResponse(f, res, x, resp)
	return f.handleLost(res, errForeign)
}

// errForeign reports a response to another request.
var errForeign = eris.New("gateway: response to another request")

// validate returns an error if resp is not a valid response to a request that may have run, or cannot continue a response
// that has begun.
func (f *forwarder) validate(resp *http.Response) error {
	if resp.Header.Get(f.proxy.names.NotRun) != "" {
		return eris.Errorf("gateway: status %d of a request that is marked as not run", resp.StatusCode)
	}
	if resp.StatusCode < 300 && resp.Header.Get(f.proxy.names.Signature) == "" {
		return eris.New("gateway: response without a signature")
	}
	if isPromise(resp.StatusCode) {
		return eris.Errorf("gateway: status %d without the mark that the request has not run", resp.StatusCode)
	}
	if f.headerSent.Load() && resp.StatusCode != http.StatusOK {
		return eris.Errorf("gateway: status %d in response to a resumed stream", resp.StatusCode)
	}
	return nil
}

// serverRequest returns the request to the reserved server.
func (f *forwarder) serverRequest(ctx context.Context, res *dispatch.Reservation) *http.Request {
	s := res.Server()
	out := &http.Request{
		Method: f.in.Method, URL: targetURL(f.in.RequestURI, s.Addr), Host: f.in.Host, Header: f.serverRequestHeader(s.Name()),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return out.WithContext(ctx)
}

// targetURL returns a URL with which net/http sends the caller's request target unchanged, or nil if there is none.
func targetURL(target, addr string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr, Opaque: target}
	if strings.HasPrefix(target, "//") {
		// An opaque URL that begins with two slashes is sent in absolute form, with another path.
		path, query, hasQuery := strings.Cut(target, "?")
		u = &url.URL{Scheme: "http", Host: addr, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
		u.Path, _ = url.PathUnescape(path)
	}
	if u.RequestURI() != target {
		return nil
	}
	return u
}
