package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connState is what a caller's connection is doing.
type connState int

// The states of a connection; it goes round from connReading on with each request.
const (
	// connFresh has not carried a byte yet.
	connFresh connState = iota
	// connReading has carried a part of a request's header.
	connReading
	// connServing has a request that is being answered.
	connServing
	// connResting waits for its next request.
	connResting
	// connRefused was told that its header took too long.
	connRefused
)

// A callerConn is a caller's connection that can be ended between two requests.
//
// http.Server takes a connection for idle until a header has been read whole, so its
// own shutdown can close one whose request is being read, and it drops what it has
// read by then. A callerConn looks at the bytes themselves.
type callerConn struct {
	*net.TCPConn

	mu    sync.Mutex
	state connState
	// since is when the state began.
	since time.Time
	// deadline is the server's own bound on reads. While ending is set, one that has
	// passed stands in its place, so that a read returns.
	deadline time.Time
	ending   bool
	// over tells that no further request is read, whether or not one has come.
	over bool
}

func newCallerConn(conn *net.TCPConn) *callerConn {
	return &callerConn{TCPConn: conn, since: time.Now()}
}

// Read reads as the connection does, and returns io.EOF on one that was ended while
// it waited for a request.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.heard()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch c.afterDeadline() {
		case readEnded:
			return 0, io.EOF
		case readTimedOut:
			return n, err
		}
	}
}

// SetReadDeadline sets the server's bound on reads.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// readVerdict says what follows from a read whose deadline has passed.
type readVerdict int

const (
	// readTimedOut: the deadline was the server's own.
	readTimedOut readVerdict = iota
	// readEnded: the connection was ended and nothing has come on it.
	readEnded
	// readAgain: it was to be ended, but a request is coming.
	readAgain
)

func (c *callerConn) afterDeadline() readVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		return readTimedOut
	}
	if c.over || c.waits() && !hasUnread(c.TCPConn) {
		return readEnded
	}
	c.ending = false
	if c.TCPConn.SetReadDeadline(c.deadline) != nil {
		return readEnded
	}
	return readAgain
}

// waits reports whether no byte of a request has been read.
func (c *callerConn) waits() bool { return c.state == connFresh || c.state == connResting }

func (c *callerConn) enter(s connState) {
	c.state = s
	c.since = time.Now()
}

// heard notes that bytes were read.
func (c *callerConn) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits() {
		c.enter(connReading)
	}
}

// begin notes that a request's header has been read whole, and reports whether the
// request may be served.
func (c *callerConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connRefused {
		return false
	}
	c.enter(connServing)
	return true
}

// rest notes that an answer is over and the connection waits for a request; last tells
// that it is to take none.
func (c *callerConn) rest(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(connResting)
	if last {
		c.over = true
		c.end()
	}
}

// end makes reads return; the connection is locked.
func (c *callerConn) end() {
	c.ending = true
	_ = c.TCPConn.SetReadDeadline(past)
}

// endWaiting ends the connection if it has waited for a request for longer than it may.
func (c *callerConn) endWaiting(now time.Time, fresh, resting time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := resting
	if c.state == connFresh {
		limit = fresh
	}
	if !c.waits() || c.ending || now.Sub(c.since) < limit {
		return
	}
	c.end()
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// refuseSlow answers 408 and closes the connection if its header has taken longer
// than limit.
func (c *callerConn) refuseSlow(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connReading || now.Sub(c.since) < limit {
		return
	}
	c.enter(connRefused)
	answer := http.Response{StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	_ = c.SetWriteDeadline(now.Add(refusalTime))
	_ = answer.Write(c.TCPConn)
	_ = c.TCPConn.Close()
}

// refusalTime bounds the sending of a refusal that nobody may be reading.
const refusalTime = 50 * time.Millisecond

// hasUnread reports whether bytes have come on a connection that nobody has read.
func hasUnread(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	return err == nil && unread > 0
}
