package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/backend"
	"rockcleat/table"
)

func TestBadInput(t *testing.T) {
	line := func(more ...string) string {
		return "POST " + pathUnsafe + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(more, "\r\n") + "\r\n"
	}
	id := names.RequestID + ": 1"
	tests := map[string]struct {
		bytes string
		want  int
	}{
		"no request id":         {bytes: line("Content-Length: 0", ""), want: 400},
		"two request ids":       {bytes: line(id, id, "Content-Length: 0", ""), want: 400},
		"deadline not a number": {bytes: line(id, names.Deadline+": soon", "Content-Length: 0", ""), want: 400},
		"two lengths":           {bytes: line(id, "Content-Length: 1", "Content-Length: 2", "") + "xx", want: 400},
		"bad length":            {bytes: line(id, "Content-Length: -5", ""), want: 400},
		"unknown coding":        {bytes: line(id, "Transfer-Encoding: odd", ""), want: 501},
		"bad chunk":             {bytes: line(id, "Transfer-Encoding: chunked", "") + "zz\r\n", want: 400},
		"no HTTP":               {bytes: "hello\r\n\r\n", want: 400},
		"header too large":      {bytes: line(id, "X-Long: "+strings.Repeat("x", 5000), "Content-Length: 0", ""), want: 431},
		"body too large":        {bytes: line(id, "Content-Length: 6000", ""), want: 413},
		"chunked body too large": {
			bytes: line(id, "Transfer-Encoding: chunked", "") + "1770\r\n" + strings.Repeat("x", 6000) + "\r\n0\r\n\r\n", want: 413,
		},
		"body too slow":  {bytes: line(id, "Content-Length: 10", "") + "some", want: 408},
		"no such path":   {bytes: "GET /nowhere HTTP/1.1\r\nHost: " + host + "\r\n" + id + "\r\n\r\n", want: 404},
		"no such host":   {bytes: "GET " + pathSafe + " HTTP/1.1\r\nHost: other.example\r\n" + id + "\r\n\r\n", want: 404},
		"prefix cut off": {bytes: "GET /saf HTTP/1.1\r\nHost: " + host + "\r\n" + id + "\r\n\r\n", want: 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "a", respond(200, "ok"))
			env := newTestEnv(t, server)
			conn, err := net.Dial("tcp", env.front)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, test.bytes)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, test.want)
			assert.Equal(t, server.count(), 0, "it was passed on")
		})
	}
}

// TestRequestSmuggling checks that a request with both Content-Length and chunked encoding cannot smuggle a second
// request.
func TestRequestSmuggling(t *testing.T) {
	server := newFakeServer(t, "a", respond(200, "ok"))
	env := newTestEnv(t, server)
	conn, err := net.Dial("tcp", env.front)
	assert.NilError(t, err)
	defer conn.Close()
	hidden := "GET /safe/hidden HTTP/1.1\r\n\r\n"
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: 1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		pathUnsafe, host, names.RequestID, len(hidden), hidden)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		assert.Equal(t, server.count(), 1)
		assert.Equal(t, server.call(0).body, hidden)
		assert.Equal(t, server.call(0).RequestURI, pathUnsafe)
	}
}

func TestNoConfigurationYet(t *testing.T) {
	server := newFakeServer(t, "a", respond(200, "ok"))
	env := newTestEnvWithoutConfig(t, server)
	env.awaitReady(http.StatusServiceUnavailable)
	got := env.post(pathUnsafe, "x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	env.putConfig()
	env.awaitReady(http.StatusOK)
	assert.Equal(t, env.post(pathUnsafe, "x").status, http.StatusOK)
}

// awaitPath waits until a request for path gets a response with status.
func (env *testEnv) awaitPath(path string, status int) {
	env.t.Helper()
	poll.WaitOn(env.t, func(poll.LogT) poll.Result {
		if got := env.get(path); got.status != status {
			return poll.Continue("%d %v", got.status, got.err)
		}
		return poll.Success()
	})
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	server := newFakeServer(t, "a", respond(200, "ok"))
	env := newTestEnv(t, server)
	env.routing.Version = 9
	env.routing.Routes = append(routes(), table.Route{
		Name: "new", Host: host, Prefix: "/new/", Retry: table.RetryIdempotent, Timeout: time.Second,
		MaxAttempts: 1, Services: []table.WeightedService{{Service: "app"}},
	})
	env.putConfig()
	env.awaitPath("/new/x", http.StatusOK)
	env.routing.Version, env.routing.Routes = 5, routes()
	env.putConfig()
	env.routing.Version, env.routing.Routes = 11, append(routes(), env.routing.Routes...)
	env.routing.Routes[0].Prefix = "/newest/"
	env.routing.Routes[0].Retry = table.RetryIdempotent
	env.putConfig()
	env.awaitPath("/newest/x", http.StatusOK)
	assert.Equal(t, env.get("/new/x").status, http.StatusNotFound, "version 11 has no such route")
}

func TestServiceChanges(t *testing.T) {
	a, b := newFakeServer(t, "a", respond(200, "from a")), newFakeServer(t, "b", respond(200, "from b"))
	env := newTestEnv(t, a)
	assert.Equal(t, env.get(pathSafe).body, "from a")
	env.putServer(a, true)
	env.putServer(b, false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := env.get(pathSafe); got.body != "from b" {
			return poll.Continue("%+v", got)
		}
		return poll.Success()
	})
	before := a.count()
	for range 10 {
		assert.Equal(t, env.get(pathSafe).body, "from b")
	}
	assert.Equal(t, a.count(), before, "a leaving server gets nothing new")
	env.store.Remove(prefix + "b")
	env.awaitPath(pathSafe, http.StatusServiceUnavailable)
}

func TestDeadlines(t *testing.T) {
	tests := map[string]struct {
		headers []string
		timeout time.Duration
		least   time.Duration
	}{
		"the caller's": {headers: []string{names.Deadline, "200"}, timeout: 5 * time.Second, least: 150 * time.Millisecond},
		"the route's":  {timeout: 300 * time.Millisecond, least: 250 * time.Millisecond},
		"the shorter":  {headers: []string{names.Deadline, "60000"}, timeout: 300 * time.Millisecond, least: 250 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "a", stallUntilGone)
			env := newTestEnvWithoutConfig(t, server)
			for i := range env.routing.Routes {
				env.routing.Routes[i].Timeout = test.timeout
			}
			env.putConfig()
			env.awaitReady(http.StatusOK)
			start := time.Now()
			got := env.post(pathUnsafe, "x", test.headers...)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusGatewayTimeout, "it may have run")
			took := time.Since(start)
			assert.Assert(t, took >= test.least && took < 3*time.Second, "took %v", took)
			<-server.call(0).gone
		})
	}
}

func TestCallerLeaves(t *testing.T) {
	tests := map[string]string{"before the answer": pathUnsafe, "in a stream": pathStream}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "a", func(c *call) bool {
				if c.RequestURI == pathStream {
					c.write(c.streamHead(), event(1))
				}
				<-c.gone
				return false
			})
			env := newTestEnv(t, server)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				resp, err := env.client.Do(env.request(http.MethodPost, path, "x").WithContext(ctx))
				if err == nil {
					_, _ = io.ReadAll(resp.Body)
					resp.Body.Close()
				}
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if server.count() == 0 {
					return poll.Continue("not sent yet")
				}
				return poll.Success()
			})
			cancel()
			<-server.call(0).gone
		})
	}
}

// putEngine adds an engine that has the given models loaded.
func (env *testEnv) putEngine(server *fakeServer, models ...string) {
	s := backend.Server{ID: server.id, Service: "llm", Addr: server.addr, Hall: "h", Slots: 4}
	for _, m := range models {
		s.Residents = append(s.Residents, backend.Resident{Model: m})
	}
	env.putRecord(s)
}

func TestModelRequests(t *testing.T) {
	a, b := newFakeServer(t, "a", stream(2)), newFakeServer(t, "b", stream(2))
	env := newTestEnvWithoutConfig(t)
	env.putEngine(a, "m1")
	env.putEngine(b, "m2")
	env.putConfig()
	env.awaitReady(http.StatusOK)
	got := env.post(pathModel, "x", names.Model, "m2", names.Tokens, "100,10", names.Prefix, "ab:60,cd:40")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, a.count(), 0)
	c := b.call(0)
	assert.Equal(t, c.Header.Get(names.Model), "m2")
	assert.Equal(t, c.Header.Get(names.Tokens), "100,10")
	assert.Equal(t, c.Header.Get(names.Prefix), "ab:60,cd:40")
	assert.Equal(t, c.Header.Get(names.Priority), "1")
}

func TestRequestWaitsForItsModel(t *testing.T) {
	a := newFakeServer(t, "a", stream(2))
	env := newTestEnvWithoutConfig(t)
	env.putEngine(a)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	replies := make(chan reply, 1)
	go func() { replies <- env.post(pathModel, "x", names.Model, "m1", names.Tokens, "100,10") }()
	time.AfterFunc(50*time.Millisecond, func() { env.putEngine(a, "m1") })
	got := <-replies
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

func TestNoServerBeforeDeadline(t *testing.T) {
	env := newTestEnvWithoutConfig(t)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	got := env.post(pathModel, "x", names.Model, "m1", names.Deadline, "700")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}
