package responseconn

import (
	"net/http"
	"net/http/httptrace"
)

// A Transport is an http.RoundTripper over connections that a DialFunc of Dial opens. It checks the heads of all responses on a
// connection. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests with base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper. Its errors are those of http.Transport and of Conn.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: beginResponse}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// beginResponse tells the connection of a request that a response begins.
func beginResponse(i httptrace.GotConnInfo) {
	if c, ok := i.Conn.(*Conn); ok {
		c.BeginResponse()
	}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
