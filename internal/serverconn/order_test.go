package serverconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/internal/serverconn"
)

// TestSequentialSendsShareAConnection checks that requests of any method cost one connection if one follows the other. It guards
// against a request that takes another connection although the response to the one before was accepted.
func TestSequentialSendsShareAConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodOptions} {
		for _, size := range []int{0, 100, 100_000} {
			t.Run(fmt.Sprint(method, " ", size), func(t *testing.T) {
				conns := make(chan int, 200)
				s := newScriptedServer(t, func(n int, c *net.TCPConn, r *bufio.Reader) {
					for readRequest(r) {
						conns <- n
						fmt.Fprint(c, ok)
					}
				})
				transport := newTransport(t)
				for range 200 {
					r := s.request(t, t.Context())
					r.Method = method
					resp, x, err := transport.Send(r, make([]byte, size), &serverconn.History{})
					assert.NilError(t, err)
					x.Accept()
					resp.Body.Close()
					assert.Equal(t, <-conns, 1)
				}
			})
		}
	}
}

const headerID = "X-Id"

// A drawnSend is one send of a request with what the server does with it.
type drawnSend struct {
	// pause is the time before the send, late the one before the server responds.
	pause, late time.Duration
	// before and after say whether a response to another request is written before and after the own one, gap is the time
	// between the two.
	before, after bool
	gap           time.Duration
	// closes reports whether the server closes the connection instead of responding.
	closes bool
}

func drawSend(t *rapid.T) drawnSend {
	delay := func(label string) time.Duration {
		return time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 20}).Draw(t, label)) * time.Millisecond
	}
	return drawnSend{
		pause: delay("pause"), late: delay("late"), gap: delay("gap"),
		before: rapid.IntRange(0, 4).Draw(t, "before") == 0, after: rapid.IntRange(0, 4).Draw(t, "after") == 0,
		closes: rapid.IntRange(0, 9).Draw(t, "closes") == 0,
	}
}

// A drawnRequest is a request that is sent several times. The server sees its sends in that order.
type drawnRequest struct {
	id    string
	sends []drawnSend
}

// An arrival is a request that a server has read, with what it does with it.
type arrival struct {
	id   string
	conn int
	drawnSend
}

// An orderScript plays the server's part of a drawn case.
type orderScript struct {
	mu       sync.Mutex
	requests map[string]*drawnRequest
	arrivals []arrival
}

// arrive records a request and returns what the server does with it.
func (s *orderScript) arrive(conn int, id string) drawnSend {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if a.id == id {
			n++
		}
	}
	sends := s.requests[id].sends
	send := sends[min(n, len(sends)-1)]
	s.arrivals = append(s.arrivals, arrival{id, conn, send})
	return send
}

// serve serves a connection.
func (s *orderScript) serve(n int, c *net.TCPConn, r *bufio.Reader) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(headerID)
		send := s.arrive(n, id)
		time.Sleep(send.late)
		if send.closes {
			return
		}
		if send.before {
			writeNamed(c, "another")
			time.Sleep(send.gap)
		}
		writeNamed(c, id)
		if send.after {
			time.Sleep(send.gap)
			writeNamed(c, "another")
		}
	}
}

// writeNamed writes a response that names a request.
func writeNamed(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, id)
}

// play makes the sends of a request and returns how many may have been written.
func (r *drawnRequest) play(t *testing.T, transport *serverconn.Transport, s *scriptedServer) (written int) {
	var history serverconn.History
	for _, send := range r.sends {
		time.Sleep(send.pause)
		req := s.request(t, t.Context())
		req.Header.Set(headerID, r.id)
		resp, x, err := transport.Send(req, nil, &history)
		if err != nil && x.NotSent() {
			continue
		}
		written++
		if err != nil {
			continue
		}
		if resp.Header.Get(headerID) == r.id {
			x.Accept()
		}
		x.Discard()
		resp.Body.Close()
	}
	return written
}

// TestDrawnSends draws requests that are sent at once and again, and responses to others that come before and after their own
// ones. It guards against a request that is written twice, that is written although it was reported as not sent, that follows a
// discarded response, or that meets a connection again.
func TestDrawnSends(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := &orderScript{requests: make(map[string]*drawnRequest)}
		var requests []*drawnRequest
		for i := range rapid.IntRange(1, 12).Draw(rt, "requests") {
			r := &drawnRequest{id: fmt.Sprint("r", i)}
			for range rapid.IntRange(1, 4).Draw(rt, "sends") {
				r.sends = append(r.sends, drawSend(rt))
			}
			script.requests[r.id] = r
			requests = append(requests, r)
		}
		server := newScriptedServer(t, script.serve)
		transport := newTransport(t)
		var mu sync.Mutex
		written := make(map[string]int)
		var senders sync.WaitGroup
		for _, r := range requests {
			senders.Go(func() {
				n := r.play(t, transport, server)
				mu.Lock()
				defer mu.Unlock()
				written[r.id] = n
			})
		}
		senders.Wait()
		script.check(rt, written)
	})
}

// check checks the requests that the server has read, given how many sends of each may have been written.
func (s *orderScript) check(t *rapid.T, written map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrived := make(map[string]int)
	for i, a := range s.arrivals {
		arrived[a.id]++
		for _, earlier := range s.arrivals[:i] {
			if a.conn == earlier.conn && (a.id == earlier.id || earlier.before) {
				t.Fatalf("connection %d carried request %s after %s: %+v", a.conn, a.id, earlier.id, s.arrivals)
			}
		}
	}
	for id, n := range arrived {
		if n > written[id] {
			t.Fatalf("request %s was read %d times, and may have been written %d times", id, n, written[id])
		}
	}
}
