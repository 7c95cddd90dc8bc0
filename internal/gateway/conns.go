package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rockcleat/clock"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// conns holds callers' open connections and ends those that have rested for too long or
// whose header takes too long. The bounds may change while connections last, which the
// settings of http.Server cannot. It is safe for concurrent use.
type conns struct {
	clock clock.Service
	// limits returns how long a connection may rest and how long a header may take; 0 is
	// no limit.
	limits func() (idle, header time.Duration)

	// draining says that no connection is to take a further request after its answer.
	draining atomic.Bool

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newConns(c clock.Service, limits func() (idle, header time.Duration)) *conns {
	return &conns{clock: c, limits: limits, open: make(map[*callerConn]struct{})}
}

// callerListener accepts callers' connections.
type callerListener struct {
	*net.TCPListener
	clock clock.Service
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return newCallerConn(conn, l.clock), nil
}

// note is called by the server with each change of a connection's state.
func (c *conns) note(conn net.Conn, s http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		c.mu.Lock()
		c.open[caller] = struct{}{}
		c.mu.Unlock()
	case http.StateIdle:
		caller.rest(c.draining.Load())
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.open, caller)
		c.mu.Unlock()
	}
}

// begin notes that a request's header has been read whole, and reports whether the
// request may be served.
func (c *conns) begin(ctx context.Context) bool {
	caller, ok := ctx.Value(connKey{}).(*callerConn)
	return !ok || caller.begin()
}

// sweep ends connections that are over their bounds.
func (c *conns) sweep(now time.Time) {
	idle, header := c.limits()
	for _, caller := range c.list() {
		if header > 0 {
			caller.refuseSlow(now, header)
		}
		if idle > 0 {
			caller.endWaiting(now, idle, idle)
		}
	}
}

// freshTime is how long a connection that has carried nothing yet is left at a stop. With
// noticeTime it stays under the three seconds within which requests are still taken
// (docs/FINDINGS.md, LOST).
const freshTime = 400 * time.Millisecond

// drain ends the connections that wait for a request, and the others with their answers,
// and returns how many are open.
func (c *conns) drain(now time.Time) int {
	c.draining.Store(true)
	list := c.list()
	for _, caller := range list {
		caller.endWaiting(now, freshTime, 0)
	}
	return len(list)
}

func (c *conns) list() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*callerConn, 0, len(c.open))
	for caller := range c.open {
		list = append(list, caller)
	}
	return list
}
