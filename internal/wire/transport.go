package wire

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rockcleat/internal/responseconn"
)

// Connections between the system's processes.
const (
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
	// maxIdlePerProcess is the maximum number of idle connections to one process.
	maxIdlePerProcess = 64
)

// Connections to servers that are called directly.
const (
	directDialTimeout = 600 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the connection is closed
	// (TCP_USER_TIMEOUT).
	unackedTimeout = 2 * time.Second
	// keepAliveIdle is the idle time before the first TCP keep-alive probe, keepAliveInterval the time between
	// probes; the connection is closed after keepAliveCount probes without an acknowledgement.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// maxDirectIdlePerServer is the maximum number of idle connections to one server.
	maxDirectIdlePerServer = 48
	// directBufferSize is the size of a connection's read buffer and of its write buffer, in bytes.
	directBufferSize = 2 << 10
)

// MaxResponseHead bounds the head of a response, with all informational responses before it, in bytes. It leaves room for a
// request's ID, which servers repeat and which may fill the header that a caller may send.
const MaxResponseHead = 64 << 10

// NewDialer returns a dialer whose connections fail within a few seconds when the peer's machine stops
// responding.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: directDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// The error is ignored: without the option, an unresponsive peer is only detected later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
		},
	}
}

// NewDirectTransport returns the transport for servers that are called directly. Idle connections are kept
// for the duration idle.
func NewDirectTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         responseconn.Dial(NewDialer().DialContext),
		MaxIdleConnsPerHost: maxDirectIdlePerServer,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
		WriteBufferSize:     directBufferSize,
		ReadBufferSize:      directBufferSize,

		MaxResponseHeaderBytes: MaxResponseHead,
	}
}

// SingleUse returns a transport with the settings of t whose connections carry one request each. A response can then be
// that of no other request, and nothing is repeated by net/http.
//
// It does not set DisableKeepAlives, which asks servers to close the connection: a server may then mark the end of a
// response by that alone, and a response that is cut short looks whole.
func SingleUse(t *http.Transport) *http.Transport {
	t = t.Clone()
	t.MaxIdleConnsPerHost = -1
	return t
}

// NewTransport returns the transport for other processes of the system. Its traffic is counted by t.
func NewTransport(t *TrafficCounter) *http.Transport {
	return &http.Transport{
		DialContext:         responseconn.Dial(t.DialContext(&net.Dialer{Timeout: dialTimeout})),
		MaxIdleConnsPerHost: maxIdlePerProcess,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxResponseHead,
	}
}

// CheckResponses returns a RoundTripper over t, which is one of this package. It checks all responses on a connection, as
// responseconn.Transport does.
func CheckResponses(t *http.Transport) http.RoundTripper { return responseconn.NewTransport(t) }

// NoRedirects is the CheckRedirect of clients that follow no redirects. A call is meant for one server: after a redirect it may
// run at two, and the response or error of the second one says nothing of the first.
func NoRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// IsNotSent reports whether an HTTP client's error means that no connection could be made, so that
// nothing was sent.
func IsNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// DisableRetry prevents the transport of net/http from retrying a request by itself.
//
// That transport resends a request when a reused connection breaks, if it has no body or one that can be read again, and it
// has an idempotent method or a header with the canonical name of an idempotency key. Here such headers mark requests that
// must not be repeated, so they are sent in lower case, which is equivalent in HTTP.
func DisableRetry(r *http.Request) {
	r.GetBody = nil
	for _, key := range []string{HeaderIdempotencyKey, "X-Idempotency-Key"} {
		if v, ok := r.Header[key]; ok {
			delete(r.Header, key)
			r.Header[strings.ToLower(key)] = v
		}
	}
	if (r.Body == nil || r.Body == http.NoBody) && isRetriedWithoutBody(r.Method) {
		// With the encoding identity, the transport sends the body as it is: as nothing.
		r.Body, r.TransferEncoding = EmptyBody{}, []string{"identity"}
	}
}

// isRetriedWithoutBody reports whether net/http retries requests that have the method and no body.
func isRetriedWithoutBody(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// An EmptyBody is the body of a request without one. net/http does not recognise it as empty, and so does not repeat the
// request by itself.
type EmptyBody struct{}

// Read implements io.Reader.
func (EmptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (EmptyBody) Close() error { return nil }
