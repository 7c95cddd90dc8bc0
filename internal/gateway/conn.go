package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rockcleat/clock"
	"rockcleat/intake"
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

// connEnd says whether a connection is being ended. A connection is ended by setting its read deadline to a time in
// the past, so that a pending read returns.
type connEnd int

const (
	// endNever: the connection stays open, and reads use the deadline that http.Server set.
	endNever connEnd = iota
	// endIfIdle: the connection ends unless bytes of a request have arrived.
	endIfIdle
	// endAlways: the connection ends even if bytes of a request have arrived.
	endAlways
	// endIncomplete: the connection ends with a 408 while it waits for the rest of a header or of a body.
	endIncomplete
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
			if refused := c.receive(p[:n]); refused != nil {
				c.refuse(refused)
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

// readResult says how Read continues after its deadline has passed.
type readResult int

const (
	// readTimedOut: http.Server's own deadline has passed.
	readTimedOut readResult = iota
	// readEnded: the connection was ended.
	readEnded
	// readHeaderIncomplete: the rest of a header has not come in time.
	readHeaderIncomplete
	// readRetry: the reason to end the connection is gone, since what it waited for has arrived.
	readRetry
)

func (c *callerConn) afterDeadline() readResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.end == endNever:
		return readTimedOut
	case c.end == endAlways, c.end == endIfIdle && c.isIdle() && !hasUnread(c.TCPConn):
		return readEnded
	case c.end == endIncomplete && c.state == connReadingHeader:
		c.setState(connHeaderRefused)
		return readHeaderIncomplete
	case c.end == endIncomplete && c.awaitsBody:
		return readTimedOut
	}
	c.end = endNever
	c.setEvicted(false)
	if c.TCPConn.SetReadDeadline(c.deadline) != nil {
		return readEnded
	}
	return readRetry
}

// isIdle reports whether no byte of the next request has been read. The caller must hold c.mu.
func (c *callerConn) isIdle() bool { return c.state == connNew || c.state == connIdle }

func (c *callerConn) setState(s connState) {
	c.state = s
	c.since = c.clock.Now()
}

// receive records that bytes were read. It returns the refusal of a request whose header holds more than it may, also after others
// have made room.
func (c *callerConn) receive(p []byte) *headRefusal {
	verdict := c.received(p)
	if verdict == intake.HeadsTooMany {
		c.intake.makeHeadRoom(c)
		verdict = c.holdHead()
	}
	refused := headRefusals[verdict]
	if refused != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setState(connHeaderRefused)
		c.stopPending()
	}
	return refused
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

// endReads makes pending and later reads return. The caller must hold c.mu. SetReadDeadline fails only on a closed
// connection, whose reads return anyway.
func (c *callerConn) endReads(how connEnd) {
	c.end = how
	_ = c.TCPConn.SetReadDeadline(expiredDeadline)
}

// endIdle ends the connection if it has been idle for at least idleLimit, or unusedLimit if it never carried a byte.
func (c *callerConn) endIdle(now time.Time, unusedLimit, idleLimit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := idleLimit
	if c.state == connNew {
		limit = unusedLimit
	}
	if !c.isIdle() || c.end != endNever || now.Sub(c.since) < limit {
		return
	}
	c.endReads(endIfIdle)
}

// expiredDeadline is a deadline that makes a read return immediately.
var expiredDeadline = time.Unix(1, 0)

// wait returns what the connection waits for its caller to send; nothing if it is being ended.
func (c *callerConn) wait() intake.OpenConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := intake.OpenConn{Since: c.since, Held: c.head.Held()}
	switch {
	case c.end != endNever:
	case c.state == connNew, c.state == connReadingHeader, c.awaitsBody:
		w.Wait = intake.WaitRequest
	case c.state == connIdle:
		w.Wait = intake.WaitNext
	}
	return w
}

// evict ends the connection, if it still waits for its caller, to make room for others.
func (c *callerConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.end != endNever:
		return
	case c.isIdle():
		c.endReads(endIfIdle)
	case c.state == connReadingHeader, c.awaitsBody:
		c.endReads(endIncomplete)
		c.head.Forget()
	default:
		return
	}
	c.setEvicted(true)
}

// setEvicted records whether the connection is being ended to make room for others. The caller must hold c.mu.
func (c *callerConn) setEvicted(evicted bool) {
	if evicted == c.evicted {
		return
	}
	c.evicted = evicted
	c.intake.countEvicted(evicted)
}

// endSlowHeader ends the connection with a 408 if its header has been incomplete for at least limit.
func (c *callerConn) endSlowHeader(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connReadingHeader && c.end == endNever && now.Sub(c.since) >= limit {
		c.endReads(endIncomplete)
	}
}

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
