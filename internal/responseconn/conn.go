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
	// writing reports whether a request is being written. written is signalled when it or closed changes.
	writing, closed bool
	written         *sync.Cond
	// writeErr is the error that ended the request; nil if there is none.
	writeErr error
}

// New returns a Conn that uses c, or c itself if it is a Conn. The first bytes that it reads begin a response.
func New(c net.Conn) *Conn {
	if conn, ok := c.(*Conn); ok {
		return conn
	}
	conn := &Conn{Conn: c}
	conn.written = sync.NewCond(&conn.mu)
	return conn
}

// BeginRequest tells that the next bytes that are written begin a request, and the next ones that are read its response.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head.begin()
	c.writing, c.writeErr = true, nil
}

// EndRequest tells that the request has been written, or that err has ended it.
func (c *Conn) EndRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if err != nil {
		c.writeErr = err
	}
	c.written.Broadcast()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.written.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its data, and otherwise an error that matches
// syscall.ECONNRESET. If the peer has ended its data behind a head while the request is still being written, Read waits for the
// end of the request, since the peer may still reset the connection.
//
// It returns a *HeadError and no data if the head of a response is malformed, and again for each further read:
// bufio.Reader.ReadLine drops an error that follows a part of a line.
func (c *Conn) Read(p []byte) (int, error) {
	if headErr := c.scan(nil); headErr != nil {
		return 0, headErr
	}
	n, err := c.Conn.Read(p)
	if headErr := c.scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	if err == io.EOF && (wasReset(c.Conn) || !c.awaitRequest() || wasReset(c.Conn)) {
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

// awaitRequest waits until the request whose response has begun is written, and reports whether it was written whole.
func (c *Conn) awaitRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.state != inBody {
		// There is no response that could look whole.
		return true
	}
	for c.writing && !c.closed {
		c.written.Wait()
	}
	return !c.writing && c.writeErr == nil
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
