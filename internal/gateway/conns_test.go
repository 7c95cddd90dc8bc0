package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/clock/clocktest"
	"rockcleat/intake"
	"rockcleat/internal/config"
	"rockcleat/internal/wire"
	"rockcleat/overload"
)

// newTestIntake returns a connIntake without pending requests.
func newTestIntake() *connIntake {
	var s config.Gateway
	s.Processor.MaxDelay = config.Duration(250 * time.Millisecond)
	log := newRequestLog(zap.NewNop(), noMetrics{}, clocktest.Real{}, wire.HeaderNames{})
	return newConnIntake(s, &fleetLoad{gateways: func() int { return 3 }}, overload.New(0), clocktest.Real{}, log)
}

// newConnPair returns both ends of a connection that c tracks.
func newConnPair(t *testing.T, c *conns) (server *callerConn, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	conn, err := callerListener{TCPListener: l.(*net.TCPListener), clock: clocktest.Real{}, intake: c.intake}.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = conn.Close()
	})
	c.stateChanged(conn, http.StateNew)
	return conn.(*callerConn), client
}

// send writes text at the client's end and waits until it has arrived at the server.
func send(t *testing.T, server *callerConn, client net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(client, text)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !hasUnread(server) {
			return poll.Continue("nothing has come")
		}
		return poll.Success()
	})
}

// receive reads text at the server's end.
func receive(t *testing.T, server *callerConn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	_, err := io.ReadFull(server, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), text)
}

// TestConnectionBounds checks which connections a sweep ends after a given time.
func TestConnectionBounds(t *testing.T) {
	const idle, header = 10 * time.Second, 3 * time.Second
	const half = "GET / HT"
	tests := map[string]struct {
		follow func(t *testing.T, c *conns, server *callerConn, client net.Conn)
		after  time.Duration
		// status is the status of the response to the client; 0 means that the connection ends without one. open means
		// that the connection stays open.
		status int
		open   bool
	}{
		"rests within the bound": {
			follow: func(_ *testing.T, c *conns, s *callerConn, _ net.Conn) { c.stateChanged(s, http.StateIdle) },
			after:  idle * 9 / 10, open: true,
		},
		"rests too long": {
			follow: func(_ *testing.T, c *conns, s *callerConn, _ net.Conn) { c.stateChanged(s, http.StateIdle) },
			after:  idle + time.Second,
		},
		"never used": {
			follow: func(*testing.T, *conns, *callerConn, net.Conn) {}, after: idle + time.Second,
		},
		"header takes too long": {
			follow: func(t *testing.T, _ *conns, s *callerConn, client net.Conn) {
				send(t, s, client, half)
				receive(t, s, half)
			}, after: header + time.Second, status: http.StatusRequestTimeout,
		},
		"request takes long": {
			follow: func(t *testing.T, c *conns, s *callerConn, client net.Conn) {
				send(t, s, client, half)
				receive(t, s, half)
				c.beginRequest(withConn(context.Background(), s))
			}, after: time.Hour, open: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConns(clocktest.Real{}, func() (time.Duration, time.Duration) { return idle, header }, newTestIntake())
			server, client := newConnPair(t, c)
			test.follow(t, c, server, client)
			c.sweep(time.Now().Add(test.after))
			if test.open {
				send(t, server, client, "x")
				receive(t, server, "x")
				return
			}
			_, err := server.Read(make([]byte, 1))
			assert.Assert(t, err != nil)
			_ = server.Close()
			if test.status == 0 {
				_, err := client.Read(make([]byte, 1))
				assert.Equal(t, err, io.EOF)
				return
			}
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, test.status)
			assert.Assert(t, resp.Close)
		})
	}
}

// TestRefusedConnectionServesNothing checks that a request is not served if its header is completed after it was
// refused as too slow.
func TestRefusedConnectionServesNothing(t *testing.T) {
	c := newConns(clocktest.Real{}, nil, newTestIntake())
	server, client := newConnPair(t, c)
	send(t, server, client, "GET")
	receive(t, server, "GET")
	server.endSlowHeader(time.Now().Add(time.Minute), time.Second)
	send(t, server, client, " / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err := server.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "http.Server must not get the rest")
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
}

// TestHeadersOverTheLimit checks what a caller gets whose header holds more than it may, and that no more of it reaches
// http.Server.
func TestHeadersOverTheLimit(t *testing.T) {
	const limit = 8 << 10
	tests := map[string]struct {
		memory int64
		header string
		status int
	}{
		"within the limit":     {memory: 1 << 20, header: strings.Repeat("x", limit)},
		"too long":             {memory: 1 << 20, header: strings.Repeat("x", 2*limit), status: http.StatusRequestHeaderFieldsTooLarge},
		"too many short lines": {memory: 100_000, header: strings.Repeat("a:\r\n", 1000), status: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := newTestIntake()
			i.heads, i.headerLimit = intake.NewHeadMemory(test.memory), func() int { return limit }
			server, client := newConnPair(t, newConns(clocktest.Real{}, nil, i))
			_, err := io.WriteString(client, test.header)
			assert.NilError(t, err)
			assert.NilError(t, client.(*net.TCPConn).CloseWrite())
			read, err := io.Copy(io.Discard, struct{ io.Reader }{server})
			if test.status == 0 {
				assert.NilError(t, err)
				assert.Equal(t, read, int64(len(test.header)))
				return
			}
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			_, err = server.Read(make([]byte, 1))
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "a second read must not get more")
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, test.status)
			assert.Assert(t, resp.Close)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
			server.release()
			assert.Equal(t, i.heads.Used(), int64(0))
		})
	}
}

// TestHeaderMemoryIsTakenFromOthers checks that a request with a large header is read although incomplete ones use up the memory:
// those that have held the most for the longest are refused instead.
func TestHeaderMemoryIsTakenFromOthers(t *testing.T) {
	const memory = 130_000
	i := newTestIntake()
	i.heads = intake.NewHeadMemory(memory)
	c := newConns(clocktest.Real{}, nil, i)
	large := strings.Repeat("a:\r\n", 200)
	header := func() (*callerConn, net.Conn) {
		server, client := newConnPair(t, c)
		send(t, server, client, large)
		receive(t, server, large)
		return server, client
	}
	first, firstClient := header()
	second, _ := header()
	header()
	_, err := first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	resp, err := http.ReadResponse(bufio.NewReader(firstClient), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, second.wait().Wait, intake.WaitRequest, "one was enough")
	assert.Assert(t, i.heads.Used() <= memory)
}

// TestDrain checks that draining ends only idle connections, not those on which bytes of a request have arrived, nor
// recent ones.
func TestDrain(t *testing.T) {
	const request, half = "GET / HTTP/1.1\r\n\r\n", "GET / HT"
	tests := map[string]struct {
		follow func(t *testing.T, c *conns, server *callerConn, client net.Conn)
		after  time.Duration
		// rest is the data that can still be read from the connection; ended says that there is none.
		rest  string
		ended bool
	}{
		"rests": {
			follow: func(_ *testing.T, c *conns, s *callerConn, _ net.Conn) { c.stateChanged(s, http.StateIdle) }, ended: true,
		},
		"unread request": {
			follow: func(t *testing.T, c *conns, s *callerConn, client net.Conn) {
				c.stateChanged(s, http.StateIdle)
				send(t, s, client, request)
			}, rest: request,
		},
		"request half read": {
			follow: func(t *testing.T, c *conns, s *callerConn, client net.Conn) {
				c.stateChanged(s, http.StateIdle)
				send(t, s, client, request)
				receive(t, s, half)
			}, rest: request[len(half):],
		},
		"new": {
			follow: func(t *testing.T, c *conns, s *callerConn, client net.Conn) {
				c.drain(time.Now())
				send(t, s, client, request)
			}, rest: request,
		},
		"new for long": {
			follow: func(*testing.T, *conns, *callerConn, net.Conn) {}, after: 2 * unusedConnTimeout, ended: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConns(clocktest.Real{}, nil, newTestIntake())
			server, client := newConnPair(t, c)
			test.follow(t, c, server, client)
			assert.Equal(t, c.drain(time.Now().Add(test.after)), 1)
			if test.ended {
				_, err := server.Read(make([]byte, 1))
				assert.Equal(t, err, io.EOF)
			} else {
				receive(t, server, test.rest)
			}
			c.stateChanged(server, http.StateClosed)
			assert.Equal(t, c.drain(time.Now()), 0)
		})
	}
}

// TestServerDeadlineIsRestored checks that the read deadline of http.Server is in force again after a connection that
// was to be ended stays open.
func TestServerDeadlineIsRestored(t *testing.T) {
	c := newConns(clocktest.Real{}, nil, newTestIntake())
	server, client := newConnPair(t, c)
	c.stateChanged(server, http.StateIdle)
	send(t, server, client, "GE")
	c.drain(time.Now())
	receive(t, server, "GE")
	assert.NilError(t, server.SetReadDeadline(expiredDeadline))
	_, err := server.Read(make([]byte, 1))
	assert.Assert(t, isTimeout(err))
}

// TestPendingRequests checks when a connection counts as a pending request: while it waits for the process, but not while
// it waits for its caller.
func TestPendingRequests(t *testing.T) {
	c := newConns(clocktest.Real{}, nil, newTestIntake())
	server, client := newConnPair(t, c)
	pending := func() int {
		c.intake.limiter.TakePeak()
		return c.intake.limiter.TakePeak()
	}
	assert.Equal(t, pending(), 1, "accepted and not read yet")
	server.beforeRead()
	assert.Equal(t, pending(), 0, "waits for the caller")
	send(t, server, client, "POST / HTTP/1.1\r\n")
	receive(t, server, "POST / HTTP/1.1\r\n")
	assert.Equal(t, pending(), 1, "a part of the header has come")
	server.beforeRead()
	assert.Equal(t, pending(), 0, "waits for the rest of the header")
	send(t, server, client, "\r\n")
	receive(t, server, "\r\n")
	server.beginRequest()
	assert.Equal(t, pending(), 1, "the header is complete")
	arrived := server.awaitBody()
	assert.Equal(t, pending(), 0, "waits for the body")
	arrived()
	assert.Equal(t, pending(), 1, "the body has come")
	server.handOn()
	server.handOn()
	assert.Equal(t, pending(), 0, "sent")
	assert.Assert(t, c.intake.limiter.HandedOnRate(time.Now()) > 0)
	c.stateChanged(server, http.StateIdle)
	send(t, server, client, "GET ")
	receive(t, server, "GET ")
	assert.Equal(t, pending(), 1, "the next request")
	c.stateChanged(server, http.StateClosed)
	assert.Equal(t, pending(), 0, "closed")
}

// TestFreeProcessorIsKnown guards against a gateway whose free processor does not count for the connections that it takes.
func TestFreeProcessorIsKnown(t *testing.T) {
	i := newTestIntake()
	// Other tests use the processors of this process too.
	i.cores = 64
	const requests = 10_000
	now := time.Now()
	for range requests {
		i.limiter.Begin()
		i.limiter.HandedOn(now)
	}
	i.observe(now.Add(time.Second))
	idle := now.Add(2 * time.Second)
	assert.Equal(t, i.limiter.HandedOnRate(idle), 0.0)
	assert.Assert(t, i.limiter.BearableRate(idle) > 1000, "%.0f a second", i.limiter.BearableRate(idle))
}

// TestConnectionOverTheLimit checks what becomes of a new connection while too many requests are pending: it is closed
// with nothing read while other gateways have room, and otherwise its request is refused.
func TestConnectionOverTheLimit(t *testing.T) {
	tests := map[string]struct {
		othersExcess float64
		want         connResult
		moves        bool
	}{
		"the others have room":              {want: connClosed, moves: true},
		"the others turn few callers away":  {othersExcess: 0.49, want: connClosed, moves: true},
		"the others turn half of them away": {othersExcess: 0.5, want: connRefused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := newTestIntake()
			i.fleet.setExcess(test.othersExcess, time.Now())
			for range 50 {
				i.limiter.Begin()
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			accepted := make(chan net.Conn)
			go func() {
				conn, err := callerListener{TCPListener: l.(*net.TCPListener), clock: clocktest.Real{}, intake: i}.Accept()
				if err == nil {
					accepted <- conn
				}
			}()
			client, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer client.Close()
			_, err = io.WriteString(client, "GET / HTTP/1.1\r\n\r\n")
			assert.NilError(t, err)
			if test.want == connClosed {
				_, err := client.Read(make([]byte, 1))
				assert.Assert(t, err != nil, "the connection is open")
				assert.Equal(t, i.closed.Load(), int64(1))
			} else {
				conn := (<-accepted).(*callerConn)
				defer conn.Close()
				assert.Equal(t, conn.takeAdmission(), test.want)
				assert.Equal(t, conn.takeAdmission(), connResult(""), "only the first request")
			}
			assert.Equal(t, i.movesCaller(time.Now()), test.moves)
		})
	}
}

// TestOldNewsOfOtherGateways checks that a gateway without a leader closes connections again, and that one without others
// never does.
func TestOldNewsOfOtherGateways(t *testing.T) {
	now := time.Now()
	f := &fleetLoad{gateways: func() int { return 3 }}
	assert.Assert(t, !f.isBusy(now))
	f.setExcess(1, now)
	assert.Assert(t, f.isBusy(now.Add(excessTTL)))
	assert.Assert(t, !f.isBusy(now.Add(excessTTL+1)))
	f.gateways = func() int { return 1 }
	assert.Assert(t, f.isBusy(now.Add(time.Hour)))
}

// TestSecondRequestOfRefusedConnection guards against a refusal of the second request of a connection that was to refuse
// its first one, which resumed a stream and was served.
func TestSecondRequestOfRefusedConnection(t *testing.T) {
	i := newTestIntake()
	c := newConns(clocktest.Real{}, nil, i)
	server, _ := newConnPair(t, c)
	server.admission = connRefused
	p := &proxy{
		names: wire.HeaderNames{Resumes: "Resumes"}, lifecycle: &lifecycle{}, conns: c, clock: clocktest.Real{},
		processor: &processorGuard{monitor: i.monitor, fleet: i.fleet}, requestLog: i.log,
	}
	request := httptest.NewRequestWithContext(withConn(t.Context(), server), http.MethodGet, "/", nil)
	resumption := request.Clone(request.Context())
	resumption.Header.Set("Resumes", "1")
	assert.Assert(t, !p.refuseForProcessor(httptest.NewRecorder(), resumption))
	assert.Assert(t, !p.refuseForProcessor(httptest.NewRecorder(), request))
}

// TestAdmissionOfUnusedConnection guards against a refusal for a decision that is older than the request.
func TestAdmissionOfUnusedConnection(t *testing.T) {
	tests := map[string]struct {
		unread, unused time.Duration
		want           connResult
	}{
		"request comes at once":                  {want: connRefused},
		"request waits for the process":          {unread: time.Minute, want: connRefused},
		"request comes a round trip later":       {unused: admissionTTL, want: connRefused},
		"request comes later":                    {unused: admissionTTL + 1},
		"read late, and the request comes later": {unread: time.Minute, unused: admissionTTL + 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := clocktest.New(time.Now())
			server, client := newConnPair(t, newConns(clocktest.Real{}, nil, newTestIntake()))
			server.clock, server.admission = now, connRefused
			now.Advance(test.unread)
			server.beforeRead()
			now.Advance(test.unused)
			send(t, server, client, "GET ")
			receive(t, server, "GET ")
			assert.Equal(t, server.takeAdmission(), test.want)
		})
	}
}
