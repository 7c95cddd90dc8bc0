package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// Requirements for a server that refuses a request with a Retry-After: between pauseGrace after the response and the
// end of that time, at most maxInPause requests from the same gateway reach it.
const (
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// A pausingServer is a backend server that can refuse requests with a Retry-After.
type pausingServer struct {
	*fakeServer
	mu sync.Mutex
	// retryAfter is the header value to refuse requests with; empty if the server accepts requests.
	retryAfter string
	// refusals and arrivals hold the times of the refusals and of all requests.
	refusals, arrivals []time.Time
}

// newPausingServer starts a server that refuses requests with a Retry-After if one is set.
func newPausingServer(t *testing.T, id, retryAfter string) *pausingServer {
	s := &pausingServer{retryAfter: retryAfter}
	s.fakeServer = newFakeServer(t, id, func(c *call) bool {
		if value := s.observe(); value != "" {
			c.write(c.head(http.StatusServiceUnavailable, names.NotRun+": 1", names.RetryAfter+": "+value, "Content-Length: 0"))
			return true
		}
		if c.Header.Get(names.Model) != "" {
			return stream(1)(c)
		}
		return respond(http.StatusOK, "ok")(c)
	})
	return s
}

// observe records a request and returns the Retry-After to refuse it with, if any.
func (s *pausingServer) observe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.retryAfter != "" {
		s.refusals = append(s.refusals, time.Now())
	}
	return s.retryAfter
}

// setRetryAfter sets the Retry-After to refuse requests with; empty means that the server accepts requests.
func (s *pausingServer) setRetryAfter(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = value
}

// maxInPause returns the largest number of requests that arrived within the pause that a refusal asked for.
func (s *pausingServer) maxInPause(pause time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, refused := range s.refusals {
		n := 0
		for _, at := range s.arrivals {
			if at.After(refused.Add(pauseGrace)) && at.Before(refused.Add(pause)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// newPausingEnv starts a gateway with the given servers and returns its callers.
func newPausingEnv(t *testing.T, isEngine bool, servers ...*pausingServer) *loadGenerator {
	env := newTestEnvWithoutConfig(t)
	for _, s := range servers {
		if isEngine {
			env.putRecord(backend.Server{
				ID: s.id, Service: "llm", Addr: s.addr, Hall: "h", Slots: 64, Residents: []backend.Resident{{Model: "m1"}},
			})
		} else {
			env.putServer(s.fakeServer, false)
		}
	}
	env.putConfig()
	env.awaitReady(http.StatusOK)
	env.awaitServers(len(servers))
	c := &loadGenerator{env: env, path: pathUnsafe, fronts: []string{env.front}}
	if isEngine {
		c.path, c.headers = pathModel, []string{names.Model, "m1", names.Tokens, "10,10", names.Deadline, "1000"}
	}
	return c
}

// TestNoRequestsWhileServerPauses checks that a server that refuses a request with a Retry-After gets no requests for
// that time, and that other servers serve them meanwhile.
func TestNoRequestsWhileServerPauses(t *testing.T) {
	const pause = 2 * time.Second
	tests := map[string]struct{ isEngine, allPause bool }{
		"plain service, one of two": {}, "plain service, all": {allPause: true},
		"engines, one of two": {isEngine: true}, "engines, all": {isEngine: true, allPause: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := []*pausingServer{newPausingServer(t, "a", "2"), newPausingServer(t, "b", "")}
			if test.allPause {
				servers[1].setRetryAfter("2")
			}
			c := newPausingEnv(t, test.isEngine, servers...)
			c.run(25*time.Millisecond, pause+pause/2)
			for _, s := range servers {
				got := s.maxInPause(pause)
				assert.Assert(t, got <= maxInPause, "%d requests within a pause of %s", got, pause)
			}
			refused := c.checkRefusals(t, 0)
			assert.Assert(t, test.allPause || refused == 0, "%d refused, the other server takes them all", refused)
		})
	}
}
