package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/apikey"
	"rockcleat/backend"
	"rockcleat/table"
)

// run returns a responder that counts the call as a run before it responds.
func (r *runCounter) run(respond responder) responder {
	return func(c *call) bool {
		r.record(c)
		return respond(c)
	}
}

// countRequests returns the number of requests that have run.
func (r *runCounter) countRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// firstOfEach returns a responder that uses first for the first call of each request and rest for all others.
func firstOfEach(first, rest responder) responder {
	var seen sync.Map
	return func(c *call) bool {
		if _, again := seen.LoadOrStore(c.id(), true); again {
			return rest(c)
		}
		return first(c)
	}
}

// testLimit is the rate limit of the organisation in these tests, and callerInterval the time between two of its requests,
// which are many more than the limit permits.
var testLimit = table.RateLimit{Unit: table.UnitRequests, PerSecond: 5, Burst: 10}

const callerInterval = 12 * time.Millisecond

// mostRuns returns the number of requests that may run in a time, a tenth beyond the limit included.
func mostRuns(d time.Duration) float64 {
	return (testLimit.PerSecond*d.Seconds() + testLimit.Burst) * 1.1
}

// sendSteadily calls send with 0, 1 and so on at each callerInterval for the duration d, in goroutines of callers.
func sendSteadily(callers *sync.WaitGroup, d time.Duration, send func(i int)) {
	for i := range int(d / callerInterval) {
		callers.Go(func() { send(i) })
		time.Sleep(callerInterval)
	}
}

// TestRunsOfCallersThatLeaveStayCharged guards against an organisation that exceeds its rate limit because requests that
// servers run are refunded, whatever ends them.
func TestRunsOfCallersThatLeaveStayCharged(t *testing.T) {
	const (
		duration = 3 * time.Second
		// callerTimeout is when a caller that leaves does so, and the deadline of one that does not.
		callerTimeout = 25 * time.Millisecond
	)
	slowly := func(respond responder) responder {
		return func(c *call) bool { time.Sleep(callerTimeout); return respond(c) }
	}
	tests := map[string]struct {
		path string
		body int
		// stays reports whether the caller waits for its deadline.
		stays   bool
		respond func(*runCounter) responder
	}{
		"unsafe":           {path: pathUnsafe, respond: func(r *runCounter) responder { return r.run(stallUntilGone) }},
		"safe":             {path: pathSafe, respond: func(r *runCounter) responder { return r.run(stallUntilGone) }},
		"stream":           {path: pathStream, respond: func(r *runCounter) responder { return r.run(stallUntilGone) }},
		"resumable stream": {path: pathResume, respond: func(r *runCounter) responder { return r.run(stallUntilGone) }},
		"a long body":      {path: pathUnsafe, body: 4000, respond: func(r *runCounter) responder { return r.run(stallUntilGone) }},
		"the server goes on": {path: pathUnsafe, respond: func(r *runCounter) responder {
			return r.run(func(*call) bool { time.Sleep(20 * callerTimeout); return false })
		}},
		"within the status line": {path: pathUnsafe, respond: func(r *runCounter) responder {
			return r.run(func(c *call) bool { c.write("HTTP/1.1 20"); return stallUntilGone(c) })
		}},
		"as the response comes": {path: pathUnsafe, respond: func(r *runCounter) responder {
			return r.run(slowly(respond(http.StatusOK, "late")))
		}},
		"after another server refused": {path: pathUnsafe, respond: func(r *runCounter) responder {
			return firstOfEach(refuse, r.run(stallUntilGone))
		}},
		"after a response was lost": {path: pathSafe, respond: func(r *runCounter) responder {
			return firstOfEach(r.run((*call).reset), r.run(stallUntilGone))
		}},
		"the deadline": {path: pathUnsafe, stays: true, respond: func(r *runCounter) responder { return r.run(stallUntilGone) }},
		"the server closes": {path: pathUnsafe, stays: true, respond: func(r *runCounter) responder {
			return r.run(func(*call) bool { return false })
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := newRunCounter()
			respond := test.respond(runs)
			env := newLimitEnv(t, testLimit, newFakeServer(t, "a", respond), newFakeServer(t, "b", respond))
			env.awaitServers(2)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
			defer client.CloseIdleConnections()
			var callers sync.WaitGroup
			began := time.Now()
			sendSteadily(&callers, duration, func(i int) {
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				request := env.request(http.MethodPost, test.path, strings.Repeat("x", test.body), apikey.Header, bearer(guildKey))
				request.Header.Set(names.RequestID, fmt.Sprint("id-", i))
				if test.stays {
					request.Header.Set(names.Deadline, fmt.Sprint(callerTimeout.Milliseconds()))
				} else {
					defer time.AfterFunc(callerTimeout, leave).Stop()
				}
				doWith(client, request.WithContext(ctx))
			})
			callers.Wait()
			most := mostRuns(time.Since(began))
			ran := runs.countRequests()
			assert.Assert(t, float64(ran) >= testLimit.Burst, "only %d requests ran", ran)
			assert.Assert(t, float64(ran) <= most, "%d requests ran, at most %.1f may", ran, most)
		})
	}
}

// TestRequestsRefusedLateDoNotLiftTheLimit guards against an organisation that exceeds its rate limit, or is refused below
// it, after servers have held its requests for long and then refused them.
func TestRequestsRefusedLateDoNotLiftTheLimit(t *testing.T) {
	const (
		holdTime = 4 * time.Second
		openTime = 3 * time.Second
		// held is the prefix of the IDs of requests that the server holds and refuses.
		held = "held-"
	)
	runs := newRunCounter()
	refused := make(chan struct{})
	x := newFakeServer(t, "a", func(c *call) bool {
		if strings.HasPrefix(c.id(), held) {
			<-refused
			return refuse(c)
		}
		return runs.run(respond(http.StatusOK, "yes"))(c)
	})
	env := newLimitEnv(t, testLimit, x)
	env.putRecord(backend.Server{ID: x.id, Service: "app", Addr: x.addr, Hall: "h", Slots: 1000})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	var callers sync.WaitGroup
	send := func(prefix string, duration time.Duration) {
		sendSteadily(&callers, duration, func(i int) {
			request := env.request(http.MethodPost, pathUnsafe, "", apikey.Header, bearer(guildKey))
			request.Header.Set(names.RequestID, fmt.Sprint(prefix, i))
			doWith(client, request)
		})
	}
	send(held, holdTime)
	assert.Assert(t, float64(x.count()) > 2*testLimit.Burst, "%d requests are held", x.count())
	close(refused)
	callers.Wait()
	began := time.Now()
	send("later-", openTime)
	callers.Wait()
	elapsed, ran := time.Since(began), float64(runs.countRequests())
	assert.Assert(t, ran <= mostRuns(elapsed), "%.0f requests ran in %s, at most %.1f may", ran, elapsed, mostRuns(elapsed))
	assert.Assert(t, ran >= testLimit.PerSecond*elapsed.Seconds()+testLimit.Burst/2, "only %.0f requests ran in %s", ran, elapsed)
}
