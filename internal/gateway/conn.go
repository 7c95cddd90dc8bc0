package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"rockcleat/clock"
	"rockcleat/intake"
	"rockcleat/internal/server"
)

type connState int

// States of a connection. After the first request it cycles through connReadingHeader, connActive and connIdle.
const (
	// connNew: no byte has been received yet.
	connNew connState = iota
	// connReadingHeader: a request header has been received in part.
	connReadingHeader
	// connActive: a request is being served.
	connActive
	// connIdle: the connection is idle between two requests.
	connIdle
	// connHeaderRefused: a refusal was sent before the header was complete.
	connHeaderRefused
)

// A callerConn is a caller's connection that can be closed between requests without losing one.
//
// http.Server considers a connection idle until it has read a complete header. Its Shutdown can therefore close
// a connection while a request is being read, and discard what was read. A callerConn tracks the received bytes
// instead.
type callerConn struct {
	*net.TCPConn
	clock  clock.Service
	intake *connIntake

	mu    sync.Mutex
	state connState
	// since is the time at which the current state was entered.
	since time.Time
	// deadline is the read deadline that http.Server set; it applies while end is endNever.
	deadline time.Time
	end      connEnd
	// pending reports whether the connection counts as a pending request: it needs work of this process before its request
	// can be handed on.
	pending bool
	// admission is what was decided about the connection, until its first request is served or admissionTTL has passed; empty
	// afterwards.
	admission connResult
	// awaitedSince is the time at which the connection began to wait for its first byte.
	awaitedSince time.Time
	// released is set when the connection no longer counts as open.
	released bool
	// head counts what the header of the current request holds, until the request has ended.
	head intake.Head
	// awaitsBody is set while the body of the current request is read.
	awaitsBody bool
	// evicted is set while the connection is being ended to make room for others.
	evicted bool
}

// admissionTTL is how long the decision about a connection applies while its caller sends nothing: a round trip and a
// retransmission. Callers that keep connections for later open more of them than they need when responses are slow.
const admissionTTL = 500 * time.Millisecond

// newCallerConn returns a callerConn that is pending until its first read.
func newCallerConn(conn *net.TCPConn, c clock.Service, i *connIntake, admission connResult) *callerConn {
	i.limiter.Begin()
	return &callerConn{
		TCPConn: conn, clock: c, intake: i, since: c.Now(), pending: true, admission: admission, head: i.heads.NewHead(),
	}
}

// Read reads from the connection. It returns io.EOF if the connection was ended while it waited for a request, and
// os.ErrDeadlineExceeded, after which http.Server sends nothing, if it has refused the request itself.
func (c *callerConn) Read(p []byte) (int, error) {
	if !c.beforeRead() {
		return 0, os.ErrDeadlineExceeded
	}
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			if refusal, refused := c.receive(p[:n]); refused {
				c.refuse(refusal)
				return 0, os.ErrDeadlineExceeded
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch c.afterDeadline() {
		case readEnded:
			return 0, io.EOF
		case readHeaderIncomplete:
			c.refuse(headerIncomplete)
			return n, err
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
	if c.end != endNever {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// isIdle reports whether no byte of the next request has been read. The caller must hold c.mu.
func (c *callerConn) isIdle() bool { return c.state == connNew || c.state == connIdle }

func (c *callerConn) setState(s connState) {
	c.state = s
	c.since = c.clock.Now()
}

// receive records that bytes were read. It returns the refusal of a request whose header holds more than it may, also after others
// have made room, and reports whether there is one.
func (c *callerConn) receive(p []byte) (refusal server.HeadRefusal, refused bool) {
	verdict := c.received(p)
	if verdict == intake.HeadsTooMany {
		c.intake.makeHeadRoom(c)
		verdict = c.holdHead()
	}
	refusal, refused = server.RefusalOf(verdict)
	if refused {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setState(connHeaderRefused)
		c.stopPending()
	}
	return refusal, refused
}

// holdHead counts the header again, which has found no memory before.
func (c *callerConn) holdHead() intake.HeadVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Hold()
}

// received records that bytes were read, and reports whether the header may go on.
func (c *callerConn) received(p []byte) intake.HeadVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connNew && c.clock.Now().Sub(c.awaitedSince) > admissionTTL {
		c.admission = ""
	}
	if c.isIdle() {
		c.setState(connReadingHeader)
	}
	if c.state != connReadingHeader {
		return intake.HeadFits
	}
	c.beginPending()
	return c.head.Add(p, c.intake.maxHeader())
}

// beforeRead records that the connection waits for its caller, and reports whether it may be read. After a refusal it may not:
// bufio.Reader asks again after an error that came with the part of a line.
func (c *callerConn) beforeRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connHeaderRefused {
		return false
	}
	if c.state == connNew && c.awaitedSince.IsZero() {
		c.awaitedSince = c.clock.Now()
	}
	if c.isIdle() || c.state == connReadingHeader {
		c.stopPending()
	}
	return true
}

// beginPending counts the connection as a pending request. The caller must hold c.mu.
func (c *callerConn) beginPending() {
	if !c.pending {
		c.pending = true
		c.intake.limiter.Begin()
	}
}

// stopPending ends that without a request that was handed on. The caller must hold c.mu.
func (c *callerConn) stopPending() {
	if c.pending {
		c.pending = false
		c.intake.limiter.End()
	}
}

// release records that the connection is closed.
func (c *callerConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopPending()
	c.head.Release()
	c.setEvicted(false)
	if !c.released {
		c.released = true
		c.intake.release()
	}
}

// takeAdmission returns what was decided about the connection, if that still applies, and the empty result in later calls.
func (c *callerConn) takeAdmission() connResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	admission := c.admission
	c.admission = ""
	return admission
}

// handOn records that the request on the connection is no longer pending, if it was.
func (c *callerConn) handOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending {
		c.pending = false
		c.intake.limiter.HandedOn(c.clock.Now())
	}
}

// awaitBody records that the request waits for its body, until the returned function is called.
func (c *callerConn) awaitBody() (arrived func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasPending := c.pending
	c.stopPending()
	c.awaitsBody = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.awaitsBody = false
		if wasPending {
			c.beginPending()
		}
	}
}

// beginRequest records that a complete request header was read.
func (c *callerConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setState(connActive)
}

// becomeIdle records that a response is complete and the connection is idle. If last is set, the connection is ended.
func (c *callerConn) becomeIdle(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setState(connIdle)
	c.stopPending()
	c.head.Release()
	if last {
		c.endReads(endAlways)
	}
}
