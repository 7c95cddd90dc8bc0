package gateway_test

import (
	"net/http"
	"strconv"
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
// that time and is used again afterwards. Meanwhile, other servers serve the requests; if there are none, the requests
// are refused at once, and told when a server takes requests again.
func TestNoRequestsWhileServerPauses(t *testing.T) {
	const (
		interval = 25 * time.Millisecond
		pause    = 2 * time.Second
		// refusing is how long the servers refuse requests. Their last pause ends before usedAgain.
		refusing  = time.Second
		usedAgain = refusing + pause + 200*time.Millisecond
		during    = usedAgain + time.Second
	)
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
			time.AfterFunc(refusing, func() {
				servers[0].setRetryAfter("")
				servers[1].setRetryAfter("")
			})
			c.run(interval, during)
			for _, s := range servers {
				got := s.maxInPause(pause)
				t.Logf("at most %d requests within a pause", got)
				assert.Assert(t, got <= maxInPause, "%d requests within a pause of %s", got, pause)
			}
			if !test.allPause {
				assert.Equal(t, c.checkRefusals(t, 0), 0, "the other server takes them all")
				return
			}
			c.checkRefusals(t, 0)
			for _, r := range c.results {
				if r.status == http.StatusOK {
					continue
				}
				wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				back := r.sent + r.took + time.Duration(wait*float64(time.Second))
				assert.Assert(t, back >= pause && r.sent < usedAgain, "sent at %s, may return at %s", r.sent, back)
			}
		})
	}
}

// TestRetryAfterValues checks which values of a Retry-After take a server out of use, and that one which is malformed
// is logged.
func TestRetryAfterValues(t *testing.T) {
	tests := map[string]struct {
		values            []string
		pauses, malformed bool
	}{
		"seconds":   {values: []string{"12"}, pauses: true},
		"fraction":  {values: []string{"12.5"}, pauses: true},
		"zero":      {values: []string{"0"}},
		"huge":      {values: []string{"999999999999999999999"}, pauses: true},
		"empty":     {values: []string{""}, malformed: true},
		"negative":  {values: []string{"-1"}, malformed: true},
		"exponent":  {values: []string{"1e300"}, malformed: true},
		"NaN":       {values: []string{"NaN"}, malformed: true},
		"infinite":  {values: []string{"Inf"}, malformed: true},
		"date":      {values: []string{"Thu, 03 Dec 2026 18:00:00 GMT"}, malformed: true},
		"two":       {values: []string{"1", "1"}, malformed: true},
		"a comment": {values: []string{"2; soon"}, malformed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := newFakeServer(t, "a", firstThen(func(c *call) bool {
				headers := []string{names.NotRun + ": 1", "Content-Length: 0"}
				for _, v := range test.values {
					headers = append(headers, names.RetryAfter+": "+v)
				}
				c.write(c.head(http.StatusServiceUnavailable, headers...))
				return true
			}, respond(http.StatusOK, "ok")))
			env := newTestEnv(t, a)
			_ = env.post(pathUnsafe, "first")
			before := a.count()
			_ = env.post(pathUnsafe, "second")
			assert.Equal(t, a.count() == before, test.pauses)
			assert.Equal(t, env.logs.FilterMessage("server paused").Len() > 0, test.pauses)
			assert.Equal(t, env.logs.FilterMessage("header malformed, ignored").Len() > 0, test.malformed)
		})
	}
}

// TestResponsesThatDoNotPause checks that a Retry-After counts only in a refusal of this request by the intended server.
func TestResponsesThatDoNotPause(t *testing.T) {
	pause := names.RetryAfter + ": 5"
	tests := map[string]responder{
		"success": func(c *call) bool {
			c.write(c.head(http.StatusOK, pause, "Content-Length: 2"), "ok")
			return true
		},
		"client error": func(c *call) bool {
			c.write(c.head(http.StatusConflict, pause, "Content-Length: 0"))
			return true
		},
		"misdirected": func(c *call) bool {
			c.write(c.head(http.StatusMisdirectedRequest, pause, "Content-Length: 0"))
			return true
		},
		"response to another request": func(c *call) bool {
			c.Header.Set(names.RequestID, "another")
			c.write(c.head(http.StatusServiceUnavailable, pause, "Content-Length: 0"))
			return true
		},
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, newFakeServer(t, "a", firstThen(first, respond(http.StatusOK, "ok"))))
			_ = env.post(pathUnsafe, "first")
			env.awaitPath(pathSafe, http.StatusOK)
			assert.Equal(t, env.logs.FilterMessage("server paused").Len(), 0)
		})
	}
}

// TestRefusedOrderPauses checks that a Retry-After in the refusal of an order or of a request for a report takes the server
// out of use, and that one in another response does not.
func TestRefusedOrderPauses(t *testing.T) {
	tests := map[string]struct {
		status int
		pauses bool
	}{
		"refused":  {status: http.StatusServiceUnavailable, pauses: true},
		"accepted": {status: http.StatusAccepted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeServer(t, "a", respond(http.StatusOK, "ok")), newFakeServer(t, "b", respond(http.StatusOK, "ok"))
			env := newTestEnv(t, a, b)
			env.awaitServers(2)
			env.onResponse(&backend.Server{ID: "a"}, test.status, http.Header{names.RetryAfter: {"5"}})
			assert.Equal(t, env.post(pathUnsafe, "x").status, http.StatusOK)
			assert.Equal(t, a.count() == 0, test.pauses)
		})
	}
}

// TestRestartedServerIsUsedDuringPauseOfItsPredecessor checks that a pause ends with the instance that asked for it.
func TestRestartedServerIsUsedDuringPauseOfItsPredecessor(t *testing.T) {
	a := newPausingServer(t, "a", "60")
	env := newTestEnv(t, a.fakeServer)
	assert.Equal(t, env.post(pathUnsafe, "first").status, http.StatusServiceUnavailable)
	a.setRetryAfter("")
	assert.Equal(t, env.post(pathUnsafe, "second").status, http.StatusServiceUnavailable)
	env.putRecord(backend.Server{ID: "a2", Instance: "a", Service: "app", Addr: a.addr, Hall: "h", Slots: 4})
	env.awaitPath(pathSafe, http.StatusOK)
}
