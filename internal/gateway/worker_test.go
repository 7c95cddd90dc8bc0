package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// A call is a request that a backend server received.
type call struct {
	*http.Request
	body string
	conn net.Conn
	// n is the number of the call at this server, from 1.
	n int
	// gone is closed when the gateway closes the connection.
	gone chan struct{}
}

// A responder responds to a call on the raw connection and reports whether the connection stays open.
type responder func(c *call) bool

// A fakeServer is a backend server whose responses are scripted byte by byte.
type fakeServer struct {
	t  *testing.T
	id string
	// instance is the name that successive instances of the server share; empty if it is the same as id.
	instance string
	addr     string

	listener net.Listener

	mu    sync.Mutex
	calls []*call
	conns []net.Conn
}

func newFakeServer(t *testing.T, id string, s responder) *fakeServer {
	return newFakeServerAt(t, id, "127.0.0.1:0", s)
}

func newFakeServerAt(t *testing.T, id, addr string, s responder) *fakeServer {
	l, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	server := &fakeServer{t: t, id: id, addr: l.Addr().String(), listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			server.mu.Lock()
			server.conns = append(server.conns, conn)
			server.mu.Unlock()
			go server.serve(conn, s)
		}
	}()
	return server
}

func (server *fakeServer) serve(conn net.Conn, s responder) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		server.mu.Lock()
		c := &call{Request: req, body: string(body), conn: conn, n: len(server.calls) + 1, gone: make(chan struct{})}
		server.calls = append(server.calls, c)
		server.mu.Unlock()
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := r.Peek(1); err != nil {
				close(c.gone)
			}
		}()
		if !s(c) {
			return
		}
		<-peeked
	}
}

// crash simulates a crash: it closes the listener and all connections.
func (server *fakeServer) crash() {
	server.listener.Close()
	server.mu.Lock()
	defer server.mu.Unlock()
	for _, conn := range server.conns {
		conn.Close()
	}
}

func (server *fakeServer) count() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.calls)
}

func (server *fakeServer) call(i int) *call {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.calls[i]
}

// head returns the status line and header of a response to the call.
func (c *call) head(status int, more ...string) string {
	lines := append([]string{
		fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)),
		names.RequestID + ": " + c.Header.Get(names.RequestID), names.Signature + ": seal",
	}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func (c *call) write(parts ...string) { _, _ = io.WriteString(c.conn, strings.Join(parts, "")) }

// respond returns a responder that sends a complete, valid response.
func respond(status int, body string) responder {
	return func(c *call) bool {
		c.write(c.head(status, fmt.Sprintf("Content-Length: %d", len(body)), "X-More: kept"), body)
		return true
	}
}

// firstThen returns a responder that uses first for the first call on any server and rest for all others.
func firstThen(first, rest responder) responder {
	var calls atomic.Int32
	return func(c *call) bool {
		if calls.Add(1) == 1 {
			return first(c)
		}
		return rest(c)
	}
}

// refuse responds that the request was not run.
func refuse(c *call) bool {
	c.write(c.head(503, names.NotRun+": 1", "Content-Length: 0"))
	return true
}

// stallUntilGone sends nothing until the gateway closes the connection.
func stallUntilGone(c *call) bool {
	<-c.gone
	return false
}

// reset closes the connection with a TCP reset.
func (c *call) reset() bool {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// event returns one event of a stream as an HTTP chunk.
func event(id int) string {
	text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// streamHead returns the status line and header of a stream.
func (c *call) streamHead() string {
	return c.head(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

const lastChunk = "0\r\n\r\n"

// stream returns a responder that sends the events after the caller's Last-Event-Id, up to number to.
func stream(to int) responder {
	return func(c *call) bool {
		from := 0
		_, _ = fmt.Sscan(c.Header.Get("Last-Event-Id"), &from)
		c.write(c.streamHead())
		for i := from + 1; i <= to; i++ {
			c.write(event(i))
		}
		c.write(lastChunk)
		return true
	}
}
