package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func (env *testEnv) stop(limit time.Duration) chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		done <- env.gateway.Stop(ctx)
	}()
	return done
}

// TestStop checks that a stop makes the gateway unready, aborts no response, and still serves requests that arrive
// before the load balancer has noticed.
func TestStop(t *testing.T) {
	release := make(chan struct{})
	server := newFakeServer(t, "a", func(c *call) bool {
		if c.RequestURI == pathStream {
			c.write(c.streamHead(), event(1))
			<-release
			c.write(event(2), lastChunk)
			return true
		}
		return respond(200, "ok")(c)
	})
	env := newTestEnv(t, server)
	resp, err := env.client.Do(env.request(http.MethodPost, pathStream, "x"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	done := env.stop(20 * time.Second)
	env.awaitReady(http.StatusServiceUnavailable)
	got := env.get(pathSafe)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.closes, "the caller is sent elsewhere")
	close(release)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
	assert.NilError(t, <-done)
}

// TestStopAnswersRequestBeingRead checks that a stop serves a request that has been read in part, while it closes idle
// connections.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	server := newFakeServer(t, "a", respond(200, "ok"))
	env := newTestEnv(t, server)
	idle, reading := env.idleConn(), env.idleConn()
	const request = "GET " + pathSafe + " HTTP/1.1\r\nHost: " + host + "\r\nX-Id: id-2\r\n\r\n"
	const half = len(request) / 2
	_, err := io.WriteString(reading, request[:half])
	assert.NilError(t, err)
	done := env.stop(20 * time.Second)
	_, err = idle.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF, "what waits is ended")
	_, err = io.WriteString(reading, request[half:])
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(reading), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close)
	assert.NilError(t, <-done)
}

// TestStopRefusesLateRequests guards against requests that come late in the grace period, over a connection on which they were
// begun before, and are cut at its end while their server works on them.
func TestStopRefusesLateRequests(t *testing.T) {
	tests := map[string]struct {
		path   string
		before bool
		// deadline is that of the caller.
		deadline time.Duration
		status   int
	}{
		"may take longer than the rest": {path: pathUnsafe, deadline: 4 * time.Second, status: http.StatusServiceUnavailable},
		"stream, may take longer":       {path: pathStream, deadline: 4 * time.Second, status: http.StatusServiceUnavailable},
		"ends in time":                  {path: pathUnsafe, deadline: time.Second, status: http.StatusOK},
		"in the first seconds":          {path: pathUnsafe, before: true, deadline: 4 * time.Second, status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t, "a", respond(200, "ok"))
			env := newTestEnv(t, server)
			idle, reading := env.idleConn(), env.idleConn()
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: id-2\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
				test.path, host, names.RequestID, names.Deadline, test.deadline.Milliseconds())
			_, err := io.WriteString(reading, request[:20])
			assert.NilError(t, err)
			before := server.count()
			done := env.stop(5 * time.Second)
			if !test.before {
				_, err = idle.Read(make([]byte, 1))
				assert.Equal(t, err, io.EOF)
			}
			_, err = io.WriteString(reading, request[20:])
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(reading), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, test.status)
			assert.Assert(t, resp.Close, "the caller is sent elsewhere")
			runs := 0
			if test.status == http.StatusOK {
				runs = 1
			}
			assert.Equal(t, server.count()-before, runs)
			assert.NilError(t, <-done)
		})
	}
}

// TestStopTakesNoRequestAfterALongAnswer checks that a request pipelined behind a long response is not served once the
// gateway has closed idle connections, since the gateway would not wait for it to finish.
func TestStopTakesNoRequestAfterALongAnswer(t *testing.T) {
	release := make(chan struct{})
	server := newFakeServer(t, "a", func(c *call) bool {
		if c.RequestURI != pathStream {
			return respond(200, "ok")(c)
		}
		c.write(c.streamHead(), event(1))
		<-release
		c.write(event(2), lastChunk)
		return true
	})
	env := newTestEnv(t, server)
	idle, busy := env.idleConn(), env.idleConn()
	before := server.count()
	assert.NilError(t, env.request(http.MethodPost, pathStream, "x").Write(busy))
	r := bufio.NewReader(busy)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	done := env.stop(20 * time.Second)
	_, err = idle.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, env.request(http.MethodGet, pathSafe, "").Write(busy))
	close(release)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
	_, err = http.ReadResponse(r, nil)
	assert.Assert(t, err != nil)
	assert.NilError(t, <-done)
	assert.Equal(t, server.count(), before+1)
}

// idleConn returns a connection on which one request has been served.
func (env *testEnv) idleConn() net.Conn {
	conn, err := net.Dial("tcp", env.front)
	assert.NilError(env.t, err)
	env.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(env.t, env.request(http.MethodGet, pathSafe, "").Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(env.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(env.t, err)
	assert.Equal(env.t, resp.StatusCode, http.StatusOK)
	return conn
}

// TestStopAnswersWaitingRequests checks that requests waiting for a server or for its response get a response before
// the process ends.
func TestStopAnswersWaitingRequests(t *testing.T) {
	server := newFakeServer(t, "a", stallUntilGone)
	env := newTestEnv(t, server)
	unanswered, waiting := make(chan reply, 1), make(chan reply, 1)
	go func() { unanswered <- env.post(pathUnsafe, "x") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.count() == 0 {
			return poll.Continue("not sent yet")
		}
		return poll.Success()
	})
	done := env.stop(time.Second)
	go func() { waiting <- env.post(pathModel, "x", names.Model, "m1") }()
	got := <-unanswered
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout, "it may have run")
	got = <-waiting
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "it has not run")
	<-done
}

// TestStopSpreadsRetryAfter checks that requests refused together during a stop get different Retry-After
// values.
func TestStopSpreadsRetryAfter(t *testing.T) {
	const requests = 12
	env := newTestEnv(t)
	replies := make(chan reply, requests)
	for range requests {
		go func() { replies <- env.post(pathModel, "x", names.Model, "m1") }()
	}
	done := env.stop(time.Second)
	times := make(map[string]bool)
	for range requests {
		got := <-replies
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		times[got.header.Get("Retry-After")] = true
	}
	<-done
	assert.Assert(t, len(times) > 1, "%v", times)
}
