package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rockcleat/clock"
	"rockcleat/intake"
)

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerOf returns the connection in the context of a request, if it is a caller's.
func callerOf(ctx context.Context) (*callerConn, bool) {
	caller, ok := ctx.Value(connKey{}).(*callerConn)
	return caller, ok
}

// conns tracks callers' open connections, and ends those that are idle for too long or send a header too slowly. Unlike
// the timeouts of http.Server, its limits may change while a connection is open. It is safe for concurrent use.
type conns struct {
	clock clock.Service
	// limits returns the idle timeout and the header timeout; 0 means no limit.
	limits func() (idle, header time.Duration)
	intake *connIntake

	// draining reports whether each connection is ended after its current response.
	draining atomic.Bool

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newConns(c clock.Service, limits func() (idle, header time.Duration), i *connIntake) *conns {
	list := &conns{clock: c, limits: limits, intake: i, open: make(map[*callerConn]struct{})}
	i.makeRoom, i.makeHeadRoom = list.makeRoom, list.makeHeadRoom
	return list
}

// callerListener accepts connections and wraps each in a callerConn.
type callerListener struct {
	*net.TCPListener
	clock  clock.Service
	intake *connIntake
}

// Accept implements net.Listener. It closes the connections that the gateway should not take.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		result := l.intake.accept()
		if result == connClosed {
			// The caller sees a reset, since the connection has or will have unread data.
			_ = conn.Close()
			l.intake.closeWaiting(l.TCPListener)
			continue
		}
		// Setting it fails only on a closed connection, which the first read reports.
		_ = conn.SetKeepAlive(true)
		return newCallerConn(conn, l.clock, l.intake, result), nil
	}
}

// stateChanged is the ConnState hook of the http.Server.
func (c *conns) stateChanged(conn net.Conn, s http.ConnState) {
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
		caller.becomeIdle(c.draining.Load())
	case http.StateClosed, http.StateHijacked:
		caller.release()
		c.mu.Lock()
		delete(c.open, caller)
		c.mu.Unlock()
	}
}

// takeAdmission returns what was decided about the connection in ctx when it was accepted, if that still applies, and the
// empty result in later calls.
func (c *conns) takeAdmission(ctx context.Context) connResult {
	caller, ok := callerOf(ctx)
	if !ok {
		return ""
	}
	return caller.takeAdmission()
}

// handOn returns a function that records that the request on the connection in ctx is no longer pending.
func (c *conns) handOn(ctx context.Context) func() {
	caller, ok := callerOf(ctx)
	if !ok {
		return func() {}
	}
	return caller.handOn
}

// awaitBody records that the request on the connection in ctx waits for its body, until the returned function is called.
func (c *conns) awaitBody(ctx context.Context) (arrived func()) {
	caller, ok := callerOf(ctx)
	if !ok {
		return func() {}
	}
	return caller.awaitBody()
}

// beginRequest records that a complete request header was read on the connection in ctx.
func (c *conns) beginRequest(ctx context.Context) {
	if caller, ok := callerOf(ctx); ok {
		caller.beginRequest()
	}
}

// sweep ends the connections that exceed the idle timeout or the header timeout.
func (c *conns) sweep(now time.Time) {
	idle, header := c.limits()
	for _, caller := range c.list() {
		if header > 0 {
			caller.endSlowHeader(now, header)
		}
		if idle > 0 {
			caller.endIdle(now, idle, idle)
		}
	}
}

// makeRoom ends n connections that wait for their callers.
func (c *conns) makeRoom(n int) {
	c.evict(func(waits []intake.OpenConn, now time.Time) []int { return intake.Evict(waits, now, n) })
}

// makeHeadRoom ends connections whose incomplete requests hold memory for headers, but not except.
func (c *conns) makeHeadRoom(except *callerConn) {
	c.evict(func(waits []intake.OpenConn, now time.Time) []int {
		return intake.EvictHeads(waits, now, c.intake.heads.HeadRoom())
	}, except)
}

// evict ends those of the connections other than except whose indexes choose returns.
func (c *conns) evict(choose func(waits []intake.OpenConn, now time.Time) []int, except ...*callerConn) {
	list := slices.DeleteFunc(c.list(), func(caller *callerConn) bool { return slices.Contains(except, caller) })
	waits := make([]intake.OpenConn, len(list))
	for i, caller := range list {
		waits[i] = caller.wait()
	}
	for _, i := range choose(waits, c.clock.Now()) {
		list[i].evict()
	}
}

// unusedConnTimeout is how long, during a stop, a connection on which nothing was received stays open. The sum of
// noticeTime and unusedConnTimeout is less than the 3 s during which a stopping gateway still accepts requests.
const unusedConnTimeout = 400 * time.Millisecond

// drain ends the idle connections, makes the others end after their current response, and returns the number of open
// connections.
func (c *conns) drain(now time.Time) int {
	c.draining.Store(true)
	list := c.list()
	for _, caller := range list {
		caller.endIdle(now, unusedConnTimeout, 0)
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
