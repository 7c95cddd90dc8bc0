package responseconn

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// A Transport is an http.RoundTripper over connections that a DialFunc of Dial opens. Without it, a Conn checks the head of the
// first response alone, and does not know when a request has been written. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests with base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper. Its errors are those of http.Transport and of Conn.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(r.WithContext(Trace(r.Context(), func(httptrace.GotConnInfo) {})))
}

// Trace returns a context for one request of an http.Transport over connections that a DialFunc of Dial opens. It tells the Conn
// where the request begins and ends. gotConn is called with the connection before that.
func Trace(ctx context.Context, gotConn func(httptrace.GotConnInfo)) context.Context {
	t := &requestTrace{gotConn: gotConn}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.begin, WroteRequest: t.end})
}

// A requestConn is a Conn or a connection that embeds one.
type requestConn interface {
	BeginRequest()
	EndRequest(err error)
}

// A requestTrace follows one request. http.Transport may take another connection for it while it still writes to the first.
type requestTrace struct {
	gotConn func(httptrace.GotConnInfo)

	mu sync.Mutex
	// conn is the last connection; nil before the first.
	conn requestConn
}

// begin is called when the request has a connection.
func (t *requestTrace) begin(i httptrace.GotConnInfo) {
	t.gotConn(i)
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := i.Conn.(requestConn); ok {
		t.conn = c
		c.BeginRequest()
	}
}

// end is called when the request has been written or has failed.
func (t *requestTrace) end(i httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.EndRequest(i.Err)
	}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
