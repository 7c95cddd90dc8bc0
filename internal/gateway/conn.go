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

	"rockcleat/clock"
)

// connState is the state of a caller's connection.
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
	// connRefused got an answer that its header took too long.
	connRefused
)

// connEnd is whether a connection is being ended: its read deadline is then past, so that
// a read returns.
type connEnd int

// The ways of ending a connection.
const (
	// endNot: it goes on, and reads have the server's deadline.
	endNot connEnd = iota
	// endIfUnused: it ends unless a request is coming.
	endIfUnused
	// endAlways: it ends, whether or not a request has come.
	endAlways
)

// A callerConn is a caller's connection that can be ended between two requests.
//
// http.Server takes a connection for idle until a header has been read whole, so its
// own shutdown can close one whose request is being read, and it drops what it has
// read by then. A callerConn looks at the bytes themselves.
type callerConn struct {
	*net.TCPConn
	clock clock.Service

	mu    sync.Mutex
	state connState
	// since is when the state began.
	since time.Time
	// deadline is the server's own bound on reads, in force while end is endNot.
	deadline time.Time
	end      connEnd
}

func newCallerConn(conn *net.TCPConn, c clock.Service) *callerConn {
	return &callerConn{TCPConn: conn, clock: c, since: c.Now()}
}

// Read reads as the connection does, and returns io.EOF on one that was ended while
// it waited for a request.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.received()
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
	if c.end != endNot {
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
	switch {
	case c.end == endNot:
		return readTimedOut
	case c.end == endAlways, c.waits() && !hasUnread(c.TCPConn):
		return readEnded
	}
	c.end = endNot
	if c.TCPConn.SetReadDeadline(c.deadline) != nil {
		return readEnded
	}
	return readAgain
}

// waits reports whether no byte of a request has been read.
func (c *callerConn) waits() bool { return c.state == connFresh || c.state == connResting }

func (c *callerConn) enter(s connState) {
	c.state = s
	c.since = c.clock.Now()
}

// received notes that bytes were read.
func (c *callerConn) received() {
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

// rest notes that an answer is over and the connection waits for a request; last says that
// it is to take none.
func (c *callerConn) rest(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(connResting)
	if last {
		c.endReads(endAlways)
	}
}

// endReads makes reads return; the connection is locked. One that takes no deadline is
// closed already.
func (c *callerConn) endReads(how connEnd) {
	c.end = how
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
	if !c.waits() || c.end != endNot || now.Sub(c.since) < limit {
		return
	}
	c.endReads(endIfUnused)
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
	// Errors need nothing done: the connection is closed either way.
	answer := http.Response{StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	_ = c.SetWriteDeadline(clock.SystemDeadline(refusalTime))
	_ = answer.Write(c.TCPConn)
	_ = c.TCPConn.Close()
}

// refusalTime bounds the sending of a refusal that nobody may be reading.
const refusalTime = 50 * time.Millisecond

// hasUnread reports whether bytes have come on a connection that nobody has read. One whose
// state cannot be read is closed: it has none.
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
