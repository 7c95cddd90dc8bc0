package responseconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// errReset is returned by Conn.Read instead of io.EOF if the connection has ended without the end of the peer's data.
var errReset = fmt.Errorf("responseconn: the connection ended before the response: %w", syscall.ECONNRESET)

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

// A Conn is a client's connection to an HTTP server. Its methods are safe for concurrent use.
//
// It embeds the interface, so that all reads pass Read.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
}

// New returns a Conn that uses c, or c itself if it is a Conn. The first bytes that it reads begin a response.
func New(c net.Conn) *Conn {
	if conn, ok := c.(*Conn); ok {
		return conn
	}
	return &Conn{Conn: c}
}

// BeginResponse tells that the next bytes begin a response. It must be called before each request but the first.
func (c *Conn) BeginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head.begin()
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its data. If a reset was reported to a write, it
// returns an error that matches syscall.ECONNRESET. It returns a *HeadError and no data if the head of a response is malformed,
// and again for each further read: bufio.Reader.ReadLine drops an error that follows a part of a line.
func (c *Conn) Read(p []byte) (int, error) {
	if headErr := c.scan(nil); headErr != nil {
		return 0, headErr
	}
	n, err := c.Conn.Read(p)
	if headErr := c.scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	if err == io.EOF && wasReset(c.Conn) {
		err = errReset
	}
	return n, err
}

// scan checks bytes that have arrived. It also fails if the head was malformed before.
func (c *Conn) scan(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(p)
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
