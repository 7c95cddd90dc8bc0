package gateway

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rockcleat/intake"
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
