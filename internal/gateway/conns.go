package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// A conns closes callers' connections that have rested for too long or whose
// header takes too long. The bounds may change while they last, which the
// settings of http.Server cannot.
type conns struct {
	limits func() (idle, header time.Duration)

	mu   sync.Mutex
	idle map[net.Conn]time.Time
	// reading holds connections on which a header has begun.
	reading map[net.Conn]time.Time
}

func newConns() *conns {
	return &conns{idle: make(map[net.Conn]time.Time), reading: make(map[net.Conn]time.Time)}
}

// note follows the state of connections.
func (c *conns) note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	delete(c.reading, conn)
	switch s {
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateActive:
		c.reading[conn] = time.Now()
	}
}

// read tells that a request's header has been read whole.
func (c *conns) read(ctx context.Context) {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reading, conn)
}

// sweep closes connections that are over their bounds.
func (c *conns) sweep(now time.Time) {
	idle, header := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	closeOlder(c.idle, idle, now)
	closeOlder(c.reading, header, now)
}

func closeOlder(list map[net.Conn]time.Time, limit time.Duration, now time.Time) {
	if limit <= 0 {
		return
	}
	for conn, since := range list {
		if now.Sub(since) > limit {
			delete(list, conn)
			_ = conn.Close()
		}
	}
}

// closeRested closes the connections that rest, but for those on which a request has
// come that is not read yet, and reports whether any are left.
func (c *conns) closeRested() (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		if hasUnread(conn) {
			continue
		}
		delete(c.idle, conn)
		_ = conn.Close()
	}
	return len(c.idle) > 0
}

// hasUnread reports whether bytes have come on a connection that nobody has read.
func hasUnread(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
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
