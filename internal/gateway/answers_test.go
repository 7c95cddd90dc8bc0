package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/internal/config"
)

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	for _, status := range []int{200, 404, 500, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := newFakeServer(t, "a", respond(status, "the body"))
			env := newTestEnv(t, server)
			got := env.post(pathUnsafe+"a%2Fb//c?q=%20&q", "sent", "X-Own", "1", names.Deadline, "900")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, status)
			assert.Equal(t, got.body, "the body")
			assert.Equal(t, got.header.Get(names.Signature), "seal")
			assert.Equal(t, got.header.Get("X-More"), "kept")
			assert.Equal(t, len(got.header["Content-Type"]), 0, "none is guessed")
			c := server.call(0)
			assert.Equal(t, c.RequestURI, pathUnsafe+"a%2Fb//c?q=%20&q")
			assert.Equal(t, c.body, "sent")
			assert.Equal(t, c.Host, host)
			assert.Equal(t, c.Header.Get("X-Own"), "1")
			assert.Equal(t, c.Header.Get(names.RequestID), "id-1")
			assert.Equal(t, c.Header.Get(names.Expect), "a")
			assert.Equal(t, c.Header.Get("Accept-Encoding"), "gzip", "the caller's own header, none added")
			var left int
			_, err := fmt.Sscan(c.Header.Get(names.Deadline), &left)
			assert.NilError(t, err)
			assert.Assert(t, left > 0 && left <= 900, "%d ms left", left)
		})
	}
}

func TestMisbehavingServers(t *testing.T) {
	tests := map[string]struct {
		script responder
		path   string
		// status is the expected status; 0 means that the response must be incomplete.
		status int
		// runs is the maximum number of times that the request may reach a server.
		runs int
	}{
		"reset before the answer, may not be repeated": {
			script: (*call).reset, path: pathUnsafe, status: http.StatusBadGateway, runs: 1,
		},
		"reset before the answer, may be repeated": {
			script: (*call).reset, path: pathSafe, status: http.StatusBadGateway, runs: 2,
		},
		"closed before the answer": {
			script: func(*call) bool { return false }, path: pathUnsafe, status: http.StatusBadGateway, runs: 1,
		},
		"body cut": {
			script: func(c *call) bool { c.write(c.head(200, "Content-Length: 10"), "short"); return false },
			path:   pathUnsafe, status: http.StatusBadGateway, runs: 1,
		},
		"chunks cut": {
			script: func(c *call) bool { c.write(c.head(200, "Transfer-Encoding: chunked"), "5\r\nshort\r\n"); return false },
			path:   pathUnsafe, status: http.StatusBadGateway, runs: 1,
		},
		"no length, reset": {
			script: func(c *call) bool { c.write(c.head(200), "some"); time.Sleep(20 * time.Millisecond); return c.reset() },
			path:   pathUnsafe, status: http.StatusBadGateway, runs: 1,
		},
		"no length, clean end": {
			script: func(c *call) bool { c.write(c.head(200), "whole"); return false },
			path:   pathUnsafe, status: http.StatusOK, runs: 1,
		},
		"answer to another request": {
			script: func(c *call) bool { c.Header.Set(names.RequestID, "id-other"); return respond(200, "secret")(c) },
			path:   pathUnsafe, status: http.StatusBadGateway, runs: 1,
		},
		"success without a signature": {
			script: func(c *call) bool {
				c.write("HTTP/1.1 200 OK\r\n", names.RequestID, ": ", c.Header.Get(names.RequestID), "\r\nContent-Length: 2\r\n\r\nok")
				return true
			},
			path: pathUnsafe, status: http.StatusBadGateway, runs: 1,
		},
		"no HTTP at all": {
			script: func(c *call) bool { c.write("garbage\r\n\r\n"); return false },
			path:   pathUnsafe, status: http.StatusBadGateway, runs: 1,
		},
		"full": {script: refuse, path: pathUnsafe, status: http.StatusServiceUnavailable, runs: 5},
		"error of a request that may be repeated": {
			script: respond(500, "sorry"), path: pathSafe, status: http.StatusInternalServerError, runs: 2,
		},
		"error of one that may not": {
			script: respond(500, "sorry"), path: pathUnsafe, status: http.StatusInternalServerError, runs: 1,
		},
		"stream cut inside an event": {
			script: func(c *call) bool { c.write(c.streamHead(), event(1), "a\r\nid: 2\ndata"); return false },
			path:   pathStream, runs: 1,
		},
		"stream cut between events": {
			script: func(c *call) bool { c.write(c.streamHead(), event(1), event(2)); return false },
			path:   pathStream, runs: 1,
		},
		"stream cut before its first event": {
			script: func(c *call) bool { c.write(c.streamHead()); return false },
			path:   pathStream, status: http.StatusBadGateway, runs: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeServer(t, "a", test.script), newFakeServer(t, "b", test.script)
			env := newTestEnv(t, a, b)
			got := env.post(test.path, "x")
			if test.status == 0 {
				assert.Assert(t, got.err != nil, "the answer looks whole: %+v", got)
			} else {
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, test.status)
			}
			assert.Assert(t, !strings.Contains(got.body, "secret"))
			runs := a.count() + b.count()
			assert.Assert(t, runs >= 1 && runs <= test.runs, "%d sends", runs)
			if got.status == http.StatusServiceUnavailable {
				assert.Assert(t, got.header.Get("Retry-After") != "", "a refusal says when to come back")
			}
		})
	}
}

// TestUnsolicitedAnswers checks that a second, unsolicited response on a connection is never returned for a later
// request.
func TestUnsolicitedAnswers(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "when the first one is delivered": true} {
		t.Run(name, func(t *testing.T) {
			delivered := make(chan struct{}, 1)
			server := newFakeServer(t, "a", func(c *call) bool {
				id := c.Header.Get(names.RequestID)
				good := c.head(200, fmt.Sprintf("Content-Length: %d", len(id))) + id
				c.write(good)
				if late {
					<-delivered
				}
				c.write(good)
				return true
			})
			env := newTestEnv(t, server)
			answered := 0
			for i := range 20 {
				id := fmt.Sprint("id-", i)
				got := env.post(pathUnsafe, "x", names.RequestID, id)
				select {
				case delivered <- struct{}{}:
				default:
				}
				assert.NilError(t, got.err)
				if got.status == http.StatusOK {
					answered++
					assert.Equal(t, got.body, id)
				}
			}
			assert.Assert(t, answered > 5, "%d answered", answered)
		})
	}
}

func TestRefusedRequestGoesElsewhere(t *testing.T) {
	tests := map[string]responder{
		"full": refuse,
		"another run has the address": func(c *call) bool {
			c.write(c.head(421, "Content-Length: 0"))
			return true
		},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeServer(t, "a", s), newFakeServer(t, "b", respond(200, "ok"))
			env := newTestEnv(t, a, b)
			for range 6 {
				got := env.post(pathUnsafe, "x")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
		})
	}
}

func TestServerThatCannotBeReached(t *testing.T) {
	b := newFakeServer(t, "b", respond(200, "ok"))
	env := newTestEnv(t, &fakeServer{id: "dead", addr: freeAddr()}, b)
	for range 6 {
		got := env.post(pathUnsafe, "x")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
}

func TestResumedStream(t *testing.T) {
	breaks := map[string]responder{
		"cut between events":     func(c *call) bool { c.write(c.streamHead(), event(1), event(2)); return false },
		"cut inside an event":    func(c *call) bool { c.write(c.streamHead(), event(1), event(2), "a\r\nid: 3\nda"); return false },
		"reset":                  func(c *call) bool { c.write(c.streamHead(), event(1)); return c.reset() },
		"cut before the first":   func(c *call) bool { c.write(c.streamHead()); return false },
		"silent after the first": func(c *call) bool { c.write(c.streamHead(), event(1)); <-c.gone; return false },
	}
	for name, s := range breaks {
		t.Run(name, func(t *testing.T) {
			responders := firstThen(s, stream(5))
			env := newTestEnv(t, newFakeServer(t, "a", responders), newFakeServer(t, "b", responders))
			got := env.post(pathResume, "x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			want := ""
			for i := range 5 {
				want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
			}
			assert.Equal(t, got.body, want)
		})
	}
}

// TestFailedResumptionAbortsStream checks that a stream whose resumption fails does not look complete to the caller.
func TestFailedResumptionAbortsStream(t *testing.T) {
	responders := firstThen(func(c *call) bool { c.write(c.streamHead(), event(1)); return false }, respond(500, "sorry"))
	env := newTestEnv(t, newFakeServer(t, "a", responders), newFakeServer(t, "b", responders))
	got := env.post(pathResume, "x")
	assert.Assert(t, got.err != nil, "%+v", got)
}

// TestStalledServerIsKeptWithoutAlternative checks that a stalled stream is not abandoned if no other server is
// available or the retry budget is spent, and that its remaining events are forwarded when they arrive.
func TestStalledServerIsKeptWithoutAlternative(t *testing.T) {
	tests := map[string]struct {
		change  func(*config.Gateway)
		servers []string
	}{
		"no other server": {change: func(*config.Gateway) {}, servers: []string{"a"}},
		"no budget": {
			change:  func(s *config.Gateway) { s.Retry.Fixed, s.Retry.Ratio = 0, 0 },
			servers: []string{"a", "b"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			pauses := func(c *call) bool {
				c.write(c.streamHead(), event(1))
				select {
				case <-release:
				case <-c.gone:
				}
				c.write(event(2), lastChunk)
				return true
			}
			var servers []*fakeServer
			for _, id := range test.servers {
				servers = append(servers, newFakeServer(t, id, pauses))
			}
			env := newTestEnvWith(t, test.change, servers...)
			done := make(chan reply, 1)
			go func() { done <- env.post(pathResume, "x") }()
			env.awaitLine("server stalled, request stays")
			close(release)
			got := <-done
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
		})
	}
}

// awaitLine waits until a log line with the given message exists.
func (env *testEnv) awaitLine(msg string) {
	env.t.Helper()
	poll.WaitOn(env.t, func(poll.LogT) poll.Result {
		if env.logs.FilterMessage(msg).Len() == 0 {
			return poll.Continue("no line %q", msg)
		}
		return poll.Success()
	})
}
