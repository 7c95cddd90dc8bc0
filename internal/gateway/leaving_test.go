package gateway_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/backend"
)

// leavingHeader is the header of a server that announces that it is leaving.
var leavingHeader = names.Leaving + ": 1"

// failStore makes all calls to the store fail.
func (env *testEnv) failStore() {
	env.store.Fail(func(string) error { return errors.New("store unreachable") })
}

// TestNoRequestsAfterServerAnnouncesLeaving checks that a server gets no further requests from a gateway after a
// response in which it announces that it is leaving, while the store is unreachable.
func TestNoRequestsAfterServerAnnouncesLeaving(t *testing.T) {
	complete := func(status int) responder {
		return func(c *call) bool {
			c.write(c.head(status, leavingHeader, "Content-Length: 2"), "ok")
			return true
		}
	}
	tests := map[string]struct {
		path  string
		leave responder
	}{
		"success":      {path: pathUnsafe, leave: complete(http.StatusOK)},
		"client error": {path: pathUnsafe, leave: complete(http.StatusConflict)},
		"server error": {path: pathSafe, leave: complete(http.StatusInternalServerError)},
		"refusal": {path: pathUnsafe, leave: func(c *call) bool {
			c.write(c.head(http.StatusServiceUnavailable, leavingHeader, names.NotRun+": 1", "Content-Length: 0"))
			return true
		}},
		"head of a stream": {path: pathStream, leave: func(c *call) bool {
			c.write(c.head(200, leavingHeader, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"), event(1), lastChunk)
			return true
		}},
		"incomplete body": {path: pathSafe, leave: func(c *call) bool {
			c.write(c.head(http.StatusOK, leavingHeader, "Content-Length: 20"), "ok")
			return false
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := newFakeServer(t, "a", test.leave)
			b := newFakeServer(t, "b", respond(http.StatusOK, "ok"))
			env := newTestEnv(t, a, b)
			env.awaitServers(2)
			env.failStore()
			_ = env.post(test.path, "first")
			assert.Equal(t, a.count(), 1)
			for i := range 5 {
				got := env.post(pathUnsafe, fmt.Sprint("body ", i))
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, a.count(), 1, "requests reached a server that is leaving")
		})
	}
}

// TestNoRequestsAfterLeavingInResponseToOrder checks that a server that announces that it is leaving in a response to an
// order or a request for its report gets no further requests.
func TestNoRequestsAfterLeavingInResponseToOrder(t *testing.T) {
	a, b := newFakeServer(t, "a", respond(http.StatusOK, "ok")), newFakeServer(t, "b", respond(http.StatusOK, "ok"))
	env := newTestEnv(t, a, b)
	env.awaitServers(2)
	env.onResponse(&backend.Server{ID: "a"}, http.StatusAccepted, http.Header{names.Leaving: {"1"}})
	for range 3 {
		assert.Equal(t, env.post(pathUnsafe, "x").status, http.StatusOK)
	}
	assert.Equal(t, a.count(), 0)
}

// TestMalformedLeavingHeader checks that a malformed announcement is logged and does not take a server out of use.
func TestMalformedLeavingHeader(t *testing.T) {
	tests := map[string][]string{
		"empty": {""}, "zero": {"0"}, "negative": {"-1"}, "text": {"yes"}, "fraction": {"1.0"}, "huge": {"1e300"},
		"repeated": {"1", "1"}, "contradictory": {"1", "0"},
	}
	for name, values := range tests {
		t.Run(name, func(t *testing.T) {
			headers := []string{"Content-Length: 2"}
			for _, v := range values {
				headers = append(headers, names.Leaving+": "+v)
			}
			a := newFakeServer(t, "a", func(c *call) bool {
				c.write(c.head(http.StatusOK, headers...), "ok")
				return true
			})
			env := newTestEnv(t, a)
			for range 2 {
				assert.Equal(t, env.post(pathUnsafe, "x").status, http.StatusOK)
			}
			assert.Equal(t, env.logs.FilterMessage("header malformed, ignored").Len(), 2)
		})
	}
}

// TestLeavingInResponseOfAnotherServer checks that neither a response to another request nor a status 421 takes a
// server out of use.
func TestLeavingInResponseOfAnotherServer(t *testing.T) {
	tests := map[string]responder{
		"response to another request": func(c *call) bool {
			c.Header.Set(names.RequestID, "another")
			c.write(c.head(http.StatusOK, leavingHeader, "Content-Length: 2"), "ok")
			return true
		},
		"misdirected": func(c *call) bool {
			c.write(c.head(http.StatusMisdirectedRequest, leavingHeader, "Content-Length: 0"))
			return true
		},
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			a := newFakeServer(t, "a", firstThen(first, respond(http.StatusOK, "ok")))
			env := newTestEnv(t, a)
			_ = env.post(pathUnsafe, "first")
			assert.Equal(t, env.logs.FilterMessage("server announces that it is leaving").Len(), 0)
			env.awaitPath(pathSafe, http.StatusOK)
		})
	}
}

// TestRestartedServerIsUsedAfterItsPredecessorLeft checks that a new instance at the address of a server that left
// gets requests, also while the list still has the old instance.
func TestRestartedServerIsUsedAfterItsPredecessorLeft(t *testing.T) {
	a := newFakeServer(t, "a", firstThen(func(c *call) bool {
		c.write(c.head(http.StatusOK, leavingHeader, "Content-Length: 2"), "ok")
		return true
	}, respond(http.StatusOK, "ok")))
	env := newTestEnv(t, a)
	assert.Equal(t, env.post(pathUnsafe, "first").status, http.StatusOK)
	assert.Equal(t, env.post(pathUnsafe, "second").status, http.StatusServiceUnavailable)
	env.putServer(a, false)
	assert.Equal(t, env.post(pathUnsafe, "third").status, http.StatusServiceUnavailable, "the record is older than the announcement")
	env.putRecord(backend.Server{ID: "a2", Service: "app", Addr: a.addr, Hall: "h", Slots: 4})
	env.awaitPath(pathSafe, http.StatusOK)
}

// TestAllGatewaysLearnThatServerLeaves checks that an announcement in a response to one gateway keeps all gateways from
// the server, also while the store is unreachable.
func TestAllGatewaysLearnThatServerLeaves(t *testing.T) {
	tests := map[string]func(env *testEnv){
		"store reachable":   func(*testEnv) {},
		"store unreachable": (*testEnv).failStore,
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			var leaves atomic.Bool
			a := newFakeServer(t, "a", func(c *call) bool {
				if leaves.Load() {
					c.write(c.head(http.StatusOK, leavingHeader, "Content-Length: 2"), "ok")
					return true
				}
				return respond(http.StatusOK, "ok")(c)
			})
			b := newFakeServer(t, "b", respond(http.StatusOK, "ok"))
			env := newTestEnv(t, a, b)
			startFleet(t, env, 2)
			env.awaitLines("leadership gained", 1)
			prepare(env)
			leaves.Store(true)
			assert.Equal(t, env.post(pathUnsafe, "first").status, http.StatusOK)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				known := env.logs.FilterMessage("server announces that it is leaving").Len()
				if known < 3 {
					return poll.Continue("%d of 3 gateways know", known)
				}
				return poll.Success()
			}, poll.WithTimeout(2*time.Second))
		})
	}
}
