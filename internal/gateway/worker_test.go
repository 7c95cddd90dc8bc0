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

// A call is one request as a backend server got it.
type call struct {
	*http.Request
	body string
	conn net.Conn
	// n counts the calls of the server from 1.
	n int
	// gone is closed when the sender closes the connection.
	gone chan struct{}
}

// A script answers calls on the bare connection and reports whether the
// connection goes on.
type script func(c *call) bool

// A worker is a backend server whose answers a test writes byte by byte.
type worker struct {
	t  *testing.T
	id string
	// instance is the name that its runs share; empty if that is id.
	instance string
	addr     string

	listener net.Listener

	mu    sync.Mutex
	calls []*call
	conns []net.Conn
}

func newWorker(t *testing.T, id string, s script) *worker {
	return newWorkerAt(t, id, "127.0.0.1:0", s)
}

// newWorkerAt starts a backend server at an address.
func newWorkerAt(t *testing.T, id, addr string, s script) *worker {
	l, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	w := &worker{t: t, id: id, addr: l.Addr().String(), listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns = append(w.conns, conn)
			w.mu.Unlock()
			go w.serve(conn, s)
		}
	}()
	return w
}

func (w *worker) serve(conn net.Conn, s script) {
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
		w.mu.Lock()
		c := &call{Request: req, body: string(body), conn: conn, n: len(w.calls) + 1, gone: make(chan struct{})}
		w.calls = append(w.calls, c)
		w.mu.Unlock()
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

// end ends the server as a crash does: nobody listens at its address, and all its connections break.
func (w *worker) end() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		conn.Close()
	}
}

func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}

func (w *worker) call(i int) *call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[i]
}

// head returns the beginning of an answer to the call.
func (c *call) head(status int, more ...string) string {
	lines := append([]string{
		fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)),
		names.RequestID + ": " + c.Header.Get(names.RequestID), names.Signature + ": seal",
	}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func (c *call) write(parts ...string) { _, _ = io.WriteString(c.conn, strings.Join(parts, "")) }

// answer answers in good order.
func answer(status int, body string) script {
	return func(c *call) bool {
		c.write(c.head(status, fmt.Sprintf("Content-Length: %d", len(body)), "X-More: kept"), body)
		return true
	}
}

// inTurn plays one script for the first call of any server and another for the rest.
func inTurn(first, rest script) script {
	var calls atomic.Int32
	return func(c *call) bool {
		if calls.Add(1) == 1 {
			return first(c)
		}
		return rest(c)
	}
}

// refuse says that the request was not run.
func refuse(c *call) bool {
	c.write(c.head(503, names.NotRun+": 1", "Content-Length: 0"))
	return true
}

// reset breaks the connection off with a reset.
func (c *call) reset() bool {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// event returns an event of a stream as one chunk.
func event(id int) string {
	text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// streamHead returns the head of a stream.
func (c *call) streamHead() string {
	return c.head(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

const lastChunk = "0\r\n\r\n"

// stream answers with events from after the caller's last one up to a number.
func stream(to int) script {
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
