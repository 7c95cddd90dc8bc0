package server

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"rockcleat/clock"
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
	// bodyTimeout bounds the reading of a request's body by handlers that set no deadline, and discardTimeout that of the rest
	// of a body which a handler has not read.
	bodyTimeout    = 20 * time.Second
	discardTimeout = 500 * time.Millisecond
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
		g.evict(n)
	}
	if g.maxOpen > 0 && len(g.open) >= g.maxOpen {
		return false
	}
	g.open[c] = struct{}{}
	return true
}

// evict closes n connections that wait for requests. The caller must hold g.mu.
func (g *Guard) evict(n int) {
	list := make([]*guardedConn, 0, len(g.open))
	waits := make([]intake.OpenConn, 0, len(g.open))
	for c := range g.open {
		list = append(list, c)
		waits = append(waits, c.wait())
	}
	for _, i := range intake.Evict(waits, time.Now(), n) {
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
		c := &guardedConn{Conn: conn, since: time.Now(), head: l.guard.headers.NewHead()}
		if l.guard.add(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// States of a guardedConn.
const (
	// connNew: no request has been read yet.
	connNew = iota
	// connActive: a request is being served.
	connActive
	// connIdle: the connection waits for another request, of which a part may have been read.
	connIdle
	// connRefused: a request was refused before its header was complete.
	connRefused
)

// A guardedConn counts what is read of headers.
type guardedConn struct {
	net.Conn

	mu    sync.Mutex
	state int
	// since is the time at which the state was entered.
	since time.Time
	head  intake.Head
}

// Read implements net.Conn. It refuses a request whose header holds more than it may; later reads fail too, since bufio.Reader asks
// again after an error that came with the part of a line.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.isRefused() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if refusal, ok := headRefusals[c.count(p[:n])]; ok {
		refusal.Write(c.Conn)
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *guardedConn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connRefused
}

// count counts bytes of a header.
func (c *guardedConn) count(p []byte) intake.HeadVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connActive || len(p) == 0 {
		return intake.HeadFits
	}
	verdict := c.head.Add(p, maxHeader)
	if verdict != intake.HeadFits {
		c.state = connRefused
	}
	return verdict
}

// setState sets the state. A header is counted until its request has ended.
func (c *guardedConn) setState(state int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connRefused {
		c.state = state
	}
	c.since = time.Now()
	if state == connIdle {
		c.head.Release()
	}
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.head.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// wait returns what the connection waits for its client to send.
func (c *guardedConn) wait() intake.OpenConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := intake.OpenConn{Since: c.since}
	switch c.state {
	case connNew:
		w.Wait = intake.WaitRequest
	case connIdle:
		w.Wait = intake.WaitNext
	}
	return w
}

// A HeadRefusal is the response to a request whose header is not read to its end. The request has not run.
type HeadRefusal struct {
	Status int
	// RetryAfter is the value of the Retry-After header; 0 omits it.
	RetryAfter time.Duration
}

// headRefusals holds the refusals of headers that hold too much.
var headRefusals = map[intake.HeadVerdict]HeadRefusal{
	intake.HeadTooLarge: {Status: http.StatusRequestHeaderFieldsTooLarge},
	intake.HeadsTooMany: {Status: http.StatusServiceUnavailable, RetryAfter: headRetryAfter},
}

const (
	// headRetryAfter is the Retry-After of a request that is refused since the headers of others use up the memory for them.
	headRetryAfter = 200 * time.Millisecond
	// refusalWriteTimeout bounds the writing of a HeadRefusal.
	refusalWriteTimeout = 50 * time.Millisecond
	// lingerBytes bounds, with discardTimeout, what is read of a request after its refusal. A connection that is closed with unread
	// data is reset, and a reset may overtake the response.
	lingerBytes = 256 << 10
)

// Write sends the response to the request that is being read from conn, and reads what still comes of it for a moment. The
// caller closes the connection. Errors are ignored for that reason.
func (r HeadRefusal) Write(conn net.Conn) {
	header := make(http.Header)
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64))
	}
	const notRun = "not run\n"
	response := http.Response{
		StatusCode: r.Status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		Body: io.NopCloser(strings.NewReader(notRun)), ContentLength: int64(len(notRun)),
	}
	_ = conn.SetWriteDeadline(clock.SystemDeadline(refusalWriteTimeout))
	_ = response.Write(conn)
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	_ = conn.SetReadDeadline(clock.SystemDeadline(discardTimeout))
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}

// boundBody returns a handler that gives up the body of a request after bodyTimeout, and its rest soon after h returns.
func boundBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		body := &boundedBody{ReadCloser: r.Body, controller: http.NewResponseController(w)}
		// Setting a deadline fails only on a closed connection, which reads report.
		_ = body.controller.SetReadDeadline(clock.SystemDeadline(bodyTimeout))
		defer body.leave()
		request := r.WithContext(r.Context())
		request.Body = body
		h.ServeHTTP(w, request)
	})
}

// A boundedBody ends the deadline for reading a body at its end.
type boundedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	ended      bool
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// leave bounds how long net/http reads the rest of the body around the response.
func (b *boundedBody) leave() {
	if !b.ended {
		_ = b.controller.SetReadDeadline(clock.SystemDeadline(discardTimeout))
	}
}
