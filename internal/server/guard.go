package server

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"rockcleat/intake"
)

const (
	// maxHeader is the largest permitted header of a request, in bytes.
	maxHeader = 64 << 10
	// headerShare and connShare are the parts of the VM's memory that the headers of requests and the connections of a Guard may
	// hold.
	headerShare = 0.1
	connShare   = 0.45
	// connMemory is what a connection may hold in bytes while its client sends requests and reads no responses: buffers, stacks of
	// goroutines and a header that is not counted, with as much garbage, and data that was received and not read.
	connMemory = 64<<10 + 2*receiveBuffer
	// minConns is the number of connections that a VM of any size takes.
	minConns = 128
	// reservedFiles is the number of file descriptors that are not for connections of a Guard, filesPerConn the number that each
	// may need: its own, and one to a backend server.
	reservedFiles = 200
	filesPerConn  = 2
)

// MaxConns returns the highest number of connections for which there are file descriptors and, on a VM with the given memory in MB,
// memory; 0 if neither is known.
func MaxConns(vmMB float64) int {
	most := 0
	if vmMB > 0 {
		most = max(int(connShare*vmMB*1e6/connMemory), minConns)
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur <= reservedFiles {
		return most
	}
	const mostFiles = 1 << 20
	byFiles := int(min(limit.Cur-reservedFiles, mostFiles)) / filesPerConn
	if most == 0 {
		return byFiles
	}
	return min(byFiles, most)
}

// NewHeaderMemory returns the memory for the headers of requests on a VM with the given memory in MB; 0 for no limit.
func NewHeaderMemory(vmMB float64) *intake.HeadMemory {
	return intake.NewHeadMemory(int64(headerShare * vmMB * 1e6))
}

// A Guard bounds what the connections of HTTP servers hold: their headers, their number and the time for which a body may be
// awaited. The servers of a process share one. It is safe for concurrent use.
type Guard struct {
	headers *intake.HeadMemory
	maxOpen int

	mu   sync.Mutex
	open map[*guardedConn]struct{}
}

// NewGuard returns a Guard whose headers are counted in the given memory and that permits maxOpen connections; 0 for any number.
func NewGuard(headers *intake.HeadMemory, maxOpen int) *Guard {
	return &Guard{headers: headers, maxOpen: maxOpen, open: make(map[*guardedConn]struct{})}
}

// NewVMGuard returns a Guard for a process that has a VM with the given memory in MB; 0 if it is not known.
func NewVMGuard(vmMB float64) *Guard { return NewGuard(NewHeaderMemory(vmMB), MaxConns(vmMB)) }

// Wrap returns a listener whose connections the guard bounds, for an http.Server on which Protect was called.
func (g *Guard) Wrap(l net.Listener) net.Listener { return &guardedListener{Listener: l, guard: g} }

// Protect makes s tell the guard about its connections, and bounds how long its handler waits for a body.
func (g *Guard) Protect(s *http.Server) {
	s.ConnState = g.stateChanged
	s.Handler = boundBody(s.Handler)
}

// stateChanged is the ConnState hook of an http.Server.
func (g *Guard) stateChanged(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.setState(connActive)
	case http.StateIdle:
		c.setState(connIdle)
	case http.StateClosed, http.StateHijacked:
		c.setState(connActive)
		g.mu.Lock()
		delete(g.open, c)
		g.mu.Unlock()
	}
}

// add counts a new connection, and ends others if there is little room. It reports whether there is any for the new one.
func (g *Guard) add(c *guardedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := intake.Excess(len(g.open), g.maxOpen); n > 0 {
		g.evict(func(waits []intake.OpenConn, now time.Time) []int { return intake.Evict(waits, now, n) })
	}
	if g.maxOpen > 0 && len(g.open) >= g.maxOpen {
		return false
	}
	g.open[c] = struct{}{}
	return true
}

// makeHeadRoom closes connections whose incomplete requests hold memory for headers, but not except.
func (g *Guard) makeHeadRoom(except *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evict(func(waits []intake.OpenConn, now time.Time) []int {
		return intake.EvictHeads(waits, now, g.headers.HeadRoom())
	}, except)
}

// evict closes those of the connections other than except whose indexes choose returns. The caller must hold g.mu.
func (g *Guard) evict(choose func(waits []intake.OpenConn, now time.Time) []int, except ...*guardedConn) {
	var list []*guardedConn
	var waits []intake.OpenConn
	for c := range g.open {
		if !slices.Contains(except, c) {
			list = append(list, c)
			waits = append(waits, c.wait())
		}
	}
	for _, i := range choose(waits, time.Now()) {
		delete(g.open, list[i])
		// net/http sees the end in its next read.
		_ = list[i].Close()
	}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It closes the connections for which there is no room.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guardedConn{Conn: conn, guard: l.guard, since: time.Now(), head: l.guard.headers.NewHead()}
		if l.guard.add(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}
