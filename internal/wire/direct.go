package wire

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a connection to a silent machine is given up.
const (
	directDialTimeout = 600 * time.Millisecond
	// unackedTime bounds how long bytes sent may go unacknowledged.
	unackedTime   = 2 * time.Second
	probeAfter    = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// directIdlePerServer bounds the idle connections kept to one server.
const directIdlePerServer = 48

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
		WriteBufferSize:     2 << 10,
		ReadBufferSize:      2 << 10,
	}
}
