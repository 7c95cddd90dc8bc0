package serverconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"

	"rockcleat/clock"
	"rockcleat/internal/responseconn"
	"rockcleat/internal/wire"
)

// Options configure a Transport.
type Options struct {
	// Base has the settings of the connections, without a proxy. It is not used itself.
	Base  *http.Transport
	Clock clock.Service
	// OnUnsolicited, if not nil, is called with each response that arrives before the request that it would answer was
	// written.
	OnUnsolicited func(addr string, resp *http.Response)
}

// A Transport sends requests over connections that it tracks. It is safe for concurrent use.
type Transport struct {
	base          *http.Transport
	clock         clock.Service
	onUnsolicited func(addr string, resp *http.Response)
}

// New returns a Transport.
func New(o Options) *Transport {
	t := &Transport{base: o.Base.Clone(), clock: o.Clock, onUnsolicited: o.OnUnsolicited}
	if t.onUnsolicited == nil {
		t.onUnsolicited = func(string, *http.Response) {}
	}
	dial := t.base.DialContext
	t.base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(c, t.clock.Now()), nil
	}
	return t
}

// errUnsolicited is the error of a send on a new connection whose server responds before it has got the request.
var errUnsolicited = errors.New("serverconn: response before the request was written")

// Send writes r with the given body to one connection and returns the response. r.Body is ignored. Sends of the same request
// must pass the same History and must not overlap.
//
// Unless the error is not nil, the caller must call Accept or Discard on the Exchange. The error is one of http.Transport;
// Exchange.NotSent says whether the request may have been written. If a reused connection fails before that, Send takes another
// one.
func (t *Transport) Send(r *http.Request, body []byte, h *History) (*http.Response, *Exchange, error) {
	for {
		resp, x, err := t.sendOnce(r, body, h)
		if err == nil || !x.reused || !x.NotSent() || r.Context().Err() != nil {
			return resp, x, err
		}
	}
}

// sendOnce sends r over the connection that http.Transport chooses.
func (t *Transport) sendOnce(r *http.Request, body []byte, h *History) (*http.Response, *Exchange, error) {
	x := &Exchange{}
	attach := func(i httptrace.GotConnInfo) { x.attach(i, t.clock.Now(), h) }
	out := r.WithContext(responseconn.Trace(r.Context(), attach))
	out.GetBody, out.Body, out.ContentLength = nil, wire.EmptyBody{}, 0
	if len(body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	resp, err := t.base.RoundTrip(out)
	if err == nil && x.NotSent() {
		t.onUnsolicited(r.URL.Host, resp)
		err = errUnsolicited
		defer resp.Body.Close()
	}
	if err != nil {
		x.Discard()
		return nil, x, err
	}
	return resp, x, nil
}

// A History remembers the connections that have carried one request. The zero History is empty.
type History struct{ conns []*conn }

// carriedBy reports whether c has carried the request, and remembers c.
func (h *History) carriedBy(c *conn) bool {
	if slices.Contains(h.conns, c) {
		return true
	}
	h.conns = append(h.conns, c)
	return false
}
