package wire

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Connections between the system's processes.
const (
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
	// idleTimeout is how long a connection is kept unused.
	idleTimeout = 90 * time.Second
	// idlePerProcess bounds the idle connections kept to one process.
	idlePerProcess = 64
)

// Connections to servers that are spoken to directly.
const (
	// directDialTimeout bounds the time to connect.
	directDialTimeout = 600 * time.Millisecond
	// unackedTime bounds how long bytes sent may go unacknowledged.
	unackedTime = 2 * time.Second
	// probeAfter is the idle time before the first probe, probeInterval that between two;
	// after probeCount of them without an answer the connection ends.
	probeAfter    = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// directIdlePerServer bounds the idle connections kept to one server.
	directIdlePerServer = 48
	// directBuffer is the size of a connection's read and write buffers, in bytes.
	directBuffer = 2 << 10
)

// NewDialer returns a dialer whose connections notice a silent machine in a few seconds.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: directDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// A machine that refuses the option only notices later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
			})
		},
	}
}

// NewDirectTransport returns the transport towards servers that are spoken to
// directly; connections are kept while idle for the given time.
func NewDirectTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         NewDialer().DialContext,
		MaxIdleConnsPerHost: directIdlePerServer,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
		WriteBufferSize:     directBuffer,
		ReadBufferSize:      directBuffer,
	}
}

// NewTransport returns the transport used towards other processes.
func NewTransport(t *Traffic) *http.Transport {
	return &http.Transport{
		DialContext:         t.Dial(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost: idlePerProcess,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// IsNotSent reports whether an error of an HTTP client says that no
// connection could be made, so that nothing was sent.
func IsNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// SendOnce makes a request one that the transport never sends twice by itself.
//
// The transport of net/http repeats a request on a new connection when a kept
// one breaks, if the body can be had again and the method or a header named
// Idempotency-Key in its canonical spelling says that it may. That header means
// the opposite here, so it is sent in lower case, which is the same to HTTP.
func SendOnce(r *http.Request) {
	r.GetBody = nil
	if v, ok := r.Header[HeaderIdempotencyKey]; ok {
		delete(r.Header, HeaderIdempotencyKey)
		r.Header[strings.ToLower(HeaderIdempotencyKey)] = v
	}
}
