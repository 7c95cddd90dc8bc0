package responseconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrReset is returned by Conn.Read instead of io.EOF if the connection has ended without the end of the peer's data. It
// matches syscall.ECONNRESET.
var ErrReset = fmt.Errorf("responseconn: the connection ended before the response: %w", syscall.ECONNRESET)

// A DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a DialFunc that opens connections with dial and returns each as a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// A Conn is a client's connection to an HTTP server.
//
// It embeds the interface, so that all reads pass Read.
type Conn struct{ net.Conn }

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. It returns io.EOF only if the peer has ended its data, and ErrReset otherwise.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && wasReset(c.Conn) {
		err = ErrReset
	}
	return n, err
}

// A wrapper is a connection that uses another one, which NetConn returns, as that of tls.Conn does.
type wrapper interface{ NetConn() net.Conn }

// wasReset reports whether a TCP connection that has returned io.EOF ended otherwise than by a FIN of its peer. It returns
// true if the connection was closed meanwhile, since that hides how it ended, and false for other kinds of connections.
func wasReset(c net.Conn) bool {
	for {
		w, ok := c.(wrapper)
		if !ok {
			break
		}
		c = w.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return true
	}
	// After a FIN the connection is open for writes. A reset or a time-out closes both directions.
	return info.State == unix.BPF_TCP_CLOSE
}
