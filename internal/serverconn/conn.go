package serverconn

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"rockcleat/internal/responseconn"
)

// Errors of writes that were not made.
var (
	// errDiscarded: a response on the connection was not accepted, or the connection was closed.
	errDiscarded = errors.New("serverconn: connection discarded")
	// errAbandoned: the send has ended before its request was written.
	errAbandoned = errors.New("serverconn: send ended before the request was written")
	// errCarried: the connection has carried the request before.
	errCarried = errors.New("serverconn: connection has carried the request before")
)

// A conn is a connection to a server. It writes a request only after the response to the one before was accepted.
//
// It embeds the connection, so that all writes pass Write.
type conn struct {
	*responseconn.Conn
	openedAt time.Time

	mu sync.Mutex
	// judged is signalled when undecided or discarded changes.
	judged *sync.Cond
	// current is the exchange whose request is written next or was written last; nil before the first.
	current *Exchange
	// undecided is the exchange before current, until its response is accepted or discarded.
	undecided *Exchange
	discarded bool
	// writeErr is the error of the first write that failed.
	writeErr error
}

func newConn(c net.Conn, now time.Time) *conn {
	tracked := &conn{Conn: responseconn.New(c), openedAt: now}
	tracked.judged = sync.NewCond(&tracked.mu)
	return tracked
}

// Write implements net.Conn. It writes nothing if it returns one of the errors above.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.recordWriteError(err)
	}
	return n, err
}

func (c *conn) recordWriteError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// beginWrite waits until the exchange before the current one is decided, and records that the current request is written.
func (c *conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.undecided != nil && !c.discarded {
		c.judged.Wait()
	}
	x := c.current
	switch {
	case c.discarded:
		return errDiscarded
	case x.carried:
		return errCarried
	case x.abandoned:
		return errAbandoned
	}
	x.written = true
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.discarded = true
	c.judged.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// An Exchange is one send of a request and the response that came for it.
type Exchange struct {
	// conn is nil until the request gets a connection. reused, idle and age describe that connection at that time.
	conn   *conn
	reused bool
	idle   time.Duration
	age    time.Duration

	// The fields below are guarded by conn.mu.

	// written reports whether the request may have been written in part. abandoned reports that it will not be.
	written, abandoned bool
	// carried reports whether the connection has carried the request before.
	carried bool
	// decided reports whether the response was accepted or discarded.
	decided bool
}

// attach makes x the next exchange of a connection.
func (x *Exchange) attach(i httptrace.GotConnInfo, now time.Time, h *History) {
	c := i.Conn.(*conn)
	x.conn, x.reused, x.idle, x.age = c, i.Reused, i.IdleTime, now.Sub(c.openedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	x.carried = h.carriedBy(c)
	if c.current != nil && !c.current.decided {
		c.undecided = c.current
	}
	c.current = x
}

// Accept records that the response is that of the request. Its connection may carry further requests.
func (x *Exchange) Accept() {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	x.decide()
}

// Discard closes the connection, so that no further request is written to it. Requests that http.Transport has already
// assigned to it fail as not sent. It has no effect after Accept.
func (x *Exchange) Discard() {
	c := x.conn
	if c == nil {
		return
	}
	c.mu.Lock()
	if x.decided {
		c.mu.Unlock()
		return
	}
	c.discarded = true
	x.decide()
	c.mu.Unlock()
	// The error does not matter: the connection is not used any more.
	_ = c.Close()
}

// decide records that the response was accepted or discarded. x.conn.mu must be held.
func (x *Exchange) decide() {
	x.decided = true
	if x.conn.undecided == x {
		x.conn.undecided = nil
		x.conn.judged.Broadcast()
	}
}

// NotSent reports whether no byte of the request was written, and ensures that none will be.
func (x *Exchange) NotSent() bool {
	if x.conn == nil {
		return true
	}
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.abandoned = !x.written
	return x.abandoned
}

// WriteError returns the error of the first write on the connection that failed, and nil if none has failed yet.
func (x *Exchange) WriteError() error {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	return x.conn.writeErr
}

// Reused reports whether the connection carried other requests before.
func (x *Exchange) Reused() bool { return x.reused }

// Idle returns how long the connection was idle before the send.
func (x *Exchange) Idle() time.Duration { return x.idle }

// Age returns how long before the send the connection was opened.
func (x *Exchange) Age() time.Duration { return x.age }
