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
			x := newWorker(t, "a", answer(200, "ok"))
			w := newWorld(t, x)
			conn, err := net.Dial("tcp", w.front)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, test.bytes)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, test.want)
			assert.Equal(t, x.count(), 0, "it was passed on")
		})
	}
}

// TestBothFramings checks that a request with both Content-Length and chunked encoding cannot smuggle a second request.
func TestBothFramings(t *testing.T) {
	x := newWorker(t, "a", answer(200, "ok"))
	w := newWorld(t, x)
	conn, err := net.Dial("tcp", w.front)
	assert.NilError(t, err)
	defer conn.Close()
	hidden := "GET /safe/hidden HTTP/1.1\r\n\r\n"
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: 1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		pathUnsafe, host, names.RequestID, len(hidden), hidden)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		assert.Equal(t, x.count(), 1)
		assert.Equal(t, x.call(0).body, hidden)
		assert.Equal(t, x.call(0).RequestURI, pathUnsafe)
	}
}

func TestNoConfigurationYet(t *testing.T) {
	x := newWorker(t, "a", answer(200, "ok"))
	w := newWorldWithoutConfig(t, x)
	w.waitReady(http.StatusServiceUnavailable)
	got := w.post(pathUnsafe, "x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	w.putConfig()
	w.waitReady(http.StatusOK)
	assert.Equal(t, w.post(pathUnsafe, "x").status, http.StatusOK)
}

// eventually waits until a request is answered with status.
func (w *world) eventually(path string, status int) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if got := w.get(path); got.status != status {
			return poll.Continue("%d %v", got.status, got.err)
		}
		return poll.Success()
	})
}

func TestConfigurationsOnlyRise(t *testing.T) {
	x := newWorker(t, "a", answer(200, "ok"))
	w := newWorld(t, x)
	w.routing.Version = 9
	w.routing.Routes = append(routes(), table.Route{
		Name: "new", Host: host, Prefix: "/new/", Retry: table.RetryWhole, Timeout: time.Second,
		Attempts: 1, Shares: []table.Share{{Service: "app"}},
	})
	w.putConfig()
	w.eventually("/new/x", http.StatusOK)
	w.routing.Version, w.routing.Routes = 5, routes()
	w.putConfig()
	w.routing.Version, w.routing.Routes = 11, append(routes(), w.routing.Routes...)
	w.routing.Routes[0].Prefix = "/newest/"
	w.routing.Routes[0].Retry = table.RetryWhole
	w.putConfig()
	w.eventually("/newest/x", http.StatusOK)
	assert.Equal(t, w.get("/new/x").status, http.StatusNotFound, "version 11 has no such route")
}

func TestServiceChanges(t *testing.T) {
	a, b := newWorker(t, "a", answer(200, "from a")), newWorker(t, "b", answer(200, "from b"))
	w := newWorld(t, a)
	assert.Equal(t, w.get(pathSafe).body, "from a")
	w.putServer(a, true)
	w.putServer(b, false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := w.get(pathSafe); got.body != "from b" {
			return poll.Continue("%+v", got)
		}
		return poll.Success()
	})
	before := a.count()
	for range 10 {
		assert.Equal(t, w.get(pathSafe).body, "from b")
	}
	assert.Equal(t, a.count(), before, "a leaving server gets nothing new")
	w.store.Remove(prefix + "b")
	w.eventually(pathSafe, http.StatusServiceUnavailable)
}

func TestDeadlines(t *testing.T) {
	silent := func(c *call) bool { <-c.gone; return false }
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
			x := newWorker(t, "a", silent)
			w := newWorldWithoutConfig(t, x)
			for i := range w.routing.Routes {
				w.routing.Routes[i].Timeout = test.timeout
			}
			w.putConfig()
			w.waitReady(http.StatusOK)
			start := time.Now()
			got := w.post(pathUnsafe, "x", test.headers...)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusGatewayTimeout, "it may have run")
			took := time.Since(start)
			assert.Assert(t, took >= test.least && took < 3*time.Second, "took %v", took)
			<-x.call(0).gone
		})
	}
}

func TestCallerLeaves(t *testing.T) {
	tests := map[string]string{"before the answer": pathUnsafe, "in a stream": pathStream}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			x := newWorker(t, "a", func(c *call) bool {
				if c.RequestURI == pathStream {
					c.write(c.streamHead(), event(1))
				}
				<-c.gone
				return false
			})
			w := newWorld(t, x)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				resp, err := w.client.Do(w.request(http.MethodPost, path, "x").WithContext(ctx))
				if err == nil {
					_, _ = io.ReadAll(resp.Body)
					resp.Body.Close()
				}
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if x.count() == 0 {
					return poll.Continue("not sent yet")
				}
				return poll.Success()
			})
			cancel()
			<-x.call(0).gone
		})
	}
}

// putEngine adds an engine that has the given models loaded.
func (w *world) putEngine(x *worker, models ...string) {
	s := backend.Server{ID: x.id, Service: "llm", Addr: x.addr, Hall: "h", Slots: 4}
	for _, m := range models {
		s.Residents = append(s.Residents, backend.Resident{Model: m})
	}
	w.putRecord(s)
}

func TestModelRequests(t *testing.T) {
	a, b := newWorker(t, "a", stream(2)), newWorker(t, "b", stream(2))
	w := newWorldWithoutConfig(t)
	w.putEngine(a, "m1")
	w.putEngine(b, "m2")
	w.putConfig()
	w.waitReady(http.StatusOK)
	got := w.post(pathModel, "x", names.Model, "m2", names.Tokens, "100,10", names.Prefix, "ab:60,cd:40")
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
	a := newWorker(t, "a", stream(2))
	w := newWorldWithoutConfig(t)
	w.putEngine(a)
	w.putConfig()
	w.waitReady(http.StatusOK)
	replies := make(chan reply, 1)
	go func() { replies <- w.post(pathModel, "x", names.Model, "m1", names.Tokens, "100,10") }()
	time.AfterFunc(50*time.Millisecond, func() { w.putEngine(a, "m1") })
	got := <-replies
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

func TestRequestThatWaitedInVain(t *testing.T) {
	w := newWorldWithoutConfig(t)
	w.putConfig()
	w.waitReady(http.StatusOK)
	got := w.post(pathModel, "x", names.Model, "m1", names.Deadline, "700")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}
