package serverconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/internal/serverconn"
	"rockcleat/internal/wire"
)

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// A scriptedServer accepts connections and passes each to a function.
type scriptedServer struct {
	addr string

	mu    sync.Mutex
	conns int
}

// newScriptedServer starts a server. serve gets the number of the connection, from 1, and a reader of it.
func newScriptedServer(t *testing.T, serve func(n int, c *net.TCPConn, r *bufio.Reader)) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &scriptedServer{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			n := s.conns
			s.mu.Unlock()
			go func() {
				defer c.Close()
				serve(n, c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads a request with its body and reports whether there was one.
func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// answerAll responds to all requests on a connection.
func answerAll(c net.Conn, r *bufio.Reader) {
	for readRequest(r) {
		fmt.Fprint(c, ok)
	}
}

func newTransport(t *testing.T) *serverconn.Transport {
	base := wire.NewDirectTransport(time.Minute)
	return serverconn.New(serverconn.Options{Base: base, Clock: clocktest.Real{}})
}

func (s *scriptedServer) request(t *testing.T, ctx context.Context) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addr+"/", nil)
	assert.NilError(t, err)
	return r
}

// send sends a request and accepts its response.
func (s *scriptedServer) send(t *testing.T, transport *serverconn.Transport) *serverconn.Exchange {
	resp, x, err := transport.Send(s.request(t, t.Context()), nil, &serverconn.History{})
	assert.NilError(t, err)
	x.Accept()
	resp.Body.Close()
	return x
}

// TestRequestWaitsForAcceptance checks that a request is not written to a connection before the response to the request
// before is accepted, and takes another connection if it is discarded.
func TestRequestWaitsForAcceptance(t *testing.T) {
	tests := map[string]struct {
		decide func(*serverconn.Exchange)
		reused bool
	}{
		"accepted":  {decide: (*serverconn.Exchange).Accept, reused: true},
		"discarded": {decide: (*serverconn.Exchange).Discard},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan int, 4)
			s := newScriptedServer(t, func(n int, c *net.TCPConn, r *bufio.Reader) {
				for readRequest(r) {
					arrived <- n
					fmt.Fprint(c, ok)
				}
			})
			transport := newTransport(t)
			resp, x, err := transport.Send(s.request(t, t.Context()), nil, &serverconn.History{})
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, <-arrived, 1)
			second := make(chan *serverconn.Exchange)
			go func() { second <- s.send(t, transport) }()
			select {
			case n := <-arrived:
				t.Fatalf("a request was written to connection %d before the decision", n)
			case <-time.After(50 * time.Millisecond):
			}
			test.decide(x)
			assert.Equal(t, (<-second).Reused(), test.reused)
		})
	}
}

// TestRequestIsWrittenOnce checks that a request is not sent again after any part of it may have been written, whatever its
// method, and that it is sent over another connection if a reused one breaks before.
func TestRequestIsWrittenOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, size := range []int{0, 100, 100_000} {
			t.Run(fmt.Sprint(method, " ", size), func(t *testing.T) {
				var requests atomic.Int32
				s := newScriptedServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
					for readRequest(r) {
						if requests.Add(1) == 2 {
							return
						}
						fmt.Fprint(c, ok)
					}
				})
				transport := newTransport(t)
				s.send(t, transport)
				r := s.request(t, t.Context())
				r.Method = method
				_, x, err := transport.Send(r, make([]byte, size), &serverconn.History{})
				assert.Assert(t, err != nil)
				assert.Assert(t, x.Reused())
				assert.Assert(t, !x.NotSent())
				assert.Equal(t, requests.Load(), int32(2))
			})
		}
	}
}

// TestRequestTakesAnotherConnectionEachTime checks that a request which is sent again does not use a connection that it has used
// before, while another request may.
func TestRequestTakesAnotherConnectionEachTime(t *testing.T) {
	for _, size := range []int{0, 100, 100_000} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			arrived := make(chan int, 8)
			s := newScriptedServer(t, func(n int, c *net.TCPConn, r *bufio.Reader) {
				for readRequest(r) {
					arrived <- n
					fmt.Fprint(c, ok)
				}
			})
			transport := newTransport(t)
			var first, second serverconn.History
			for i, step := range []struct {
				history *serverconn.History
				conn    int
			}{{&first, 1}, {&second, 1}, {&first, 2}, {&first, 3}, {&second, 3}} {
				resp, x, err := transport.Send(s.request(t, t.Context()), make([]byte, size), step.history)
				assert.NilError(t, err)
				x.Accept()
				resp.Body.Close()
				assert.Equal(t, <-arrived, step.conn, "step %d", i)
			}
		})
	}
}

// TestRefusedConnectionIsNotSent checks that a request is known not to be sent if its server refuses connections.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedServer{addr: l.Addr().String()}
	l.Close()
	_, x, err := newTransport(t).Send(s.request(t, t.Context()), nil, &serverconn.History{})
	assert.Assert(t, err != nil)
	assert.Assert(t, x.NotSent())
}

// TestUnsolicitedResponse checks that a response which arrives before the request is written is not taken for the response to
// it, on a new connection and on a reused one.
func TestUnsolicitedResponse(t *testing.T) {
	s := newScriptedServer(t, func(n int, c *net.TCPConn, r *bufio.Reader) {
		if n == 1 {
			fmt.Fprint(c, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
		answerAll(c, r)
	})
	transport := newTransport(t)
	for range 20 {
		resp, x, err := transport.Send(s.request(t, t.Context()), nil, &serverconn.History{})
		if err != nil {
			continue
		}
		x.Accept()
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("no request was answered")
}

// TestCancelledSendIsNotWrittenLater checks that a request which is cancelled before it is written is known not to be sent and
// is not written afterwards.
func TestCancelledSendIsNotWrittenLater(t *testing.T) {
	var requests atomic.Int32
	s := newScriptedServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
		for readRequest(r) {
			requests.Add(1)
			fmt.Fprint(c, ok)
		}
	})
	transport := newTransport(t)
	resp, undecided, err := transport.Send(s.request(t, t.Context()), nil, &serverconn.History{})
	assert.NilError(t, err)
	defer resp.Body.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, x, err := transport.Send(s.request(t, ctx), nil, &serverconn.History{})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, x.Reused())
	assert.Assert(t, x.NotSent())
	undecided.Accept()
	s.send(t, transport)
	assert.Equal(t, requests.Load(), int32(2))
}

// TestConcurrentSends checks that many requests at once each get a response while some responses are discarded.
func TestConcurrentSends(t *testing.T) {
	s := newScriptedServer(t, func(_ int, c *net.TCPConn, r *bufio.Reader) { answerAll(c, r) })
	transport := newTransport(t)
	var senders sync.WaitGroup
	for i := range 16 {
		senders.Go(func() {
			for j := range 100 {
				resp, x, err := transport.Send(s.request(t, t.Context()), nil, &serverconn.History{})
				if err != nil {
					t.Errorf("send %d of sender %d: %v", j, i, err)
					return
				}
				if (i+j)%7 == 0 {
					x.Discard()
				}
				x.Accept()
				resp.Body.Close()
			}
		})
	}
	senders.Wait()
}
