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

type connState int

// States of a connection. After the first request it cycles through connReading, connServing and connResting.
const (
	// connFresh: no byte has been received yet.
	connFresh connState = iota
	// connReading: a request header has been received in part.
	connReading
	// connServing: a request is being answered.
	connServing
	// connResting: the connection is idle between two requests.
	connResting
	// connRefused: a 408 was sent because the header took too long.
	connRefused
)

// connEnd says whether a connection is being ended. A connection is ended by setting its read deadline to a time in
// the past, so that a pending read returns.
type connEnd int

const (
	// endNot: the connection stays open, and reads use the deadline that http.Server set.
	endNot connEnd = iota
	// endIfUnused: the connection ends unless bytes of a request have arrived.
	endIfUnused
	// endAlways: the connection ends even if bytes of a request have arrived.
	endAlways
)

// A callerConn is a caller's connection that can be closed between requests without losing one.
//
// http.Server considers a connection idle until it has read a complete header. Its Shutdown can therefore close
// a connection while a request is being read, and discard what was read. A callerConn tracks the received bytes
// instead.
type callerConn struct {
	*net.TCPConn
	clock clock.Service

	mu    sync.Mutex
	state connState
	// since is the time at which the current state was entered.
	since time.Time
	// deadline is the read deadline that http.Server set; it applies while end is endNot.
	deadline time.Time
	end      connEnd
}

func newCallerConn(conn *net.TCPConn, c clock.Service) *callerConn {
	return &callerConn{TCPConn: conn, clock: c, since: c.Now()}
}

// Read reads from the connection. It returns io.EOF if the connection was ended while it waited for a request.
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

// SetReadDeadline stores the deadline of http.Server, and applies it unless the connection is being ended.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.end != endNot {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// readVerdict says how Read continues after its deadline has passed.
type readVerdict int

const (
	// readTimedOut: http.Server's own deadline has passed.
	readTimedOut readVerdict = iota
	// readEnded: the connection was ended.
	readEnded
	// readAgain: bytes of a request have arrived on a connection that was to be ended only if unused.
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

// waits reports whether no byte of the next request has been read. The caller must hold c.mu.
func (c *callerConn) waits() bool { return c.state == connFresh || c.state == connResting }

func (c *callerConn) enter(s connState) {
	c.state = s
	c.since = c.clock.Now()
}

// received records that bytes were read.
func (c *callerConn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits() {
		c.enter(connReading)
	}
}

// begin records that a complete request header was read, and reports whether the request may be served.
func (c *callerConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connRefused {
		return false
	}
	c.enter(connServing)
	return true
}

// rest records that an answer is complete and the connection is idle. If last is set, the connection is ended.
func (c *callerConn) rest(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(connResting)
	if last {
		c.endReads(endAlways)
	}
}

// endReads makes pending and later reads return. The caller must hold c.mu. SetReadDeadline fails only on a closed
// connection, whose reads return anyway.
func (c *callerConn) endReads(how connEnd) {
	c.end = how
	_ = c.TCPConn.SetReadDeadline(past)
}

// endWaiting ends the connection if it has been idle for at least resting, or for fresh if it never carried a byte.
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

// past is a deadline that makes a read return immediately.
var past = time.Unix(1, 0)

// refuseSlow answers 408 and closes the connection if its header has been incomplete for at least limit.
func (c *callerConn) refuseSlow(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connReading || now.Sub(c.since) < limit {
		return
	}
	c.enter(connRefused)
	// Errors are ignored: the connection is closed in any case.
	answer := http.Response{StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	_ = c.SetWriteDeadline(clock.SystemDeadline(refusalTime))
	_ = answer.Write(c.TCPConn)
	_ = c.TCPConn.Close()
}

// refusalTime is the write timeout of a 408 answer.
const refusalTime = 50 * time.Millisecond

// hasUnread reports whether the socket's receive buffer holds unread bytes. It returns false if the socket cannot
// be queried, which means that it is closed.
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
