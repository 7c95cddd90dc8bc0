package gateway_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/internal/config"
	"rockcleat/table"
)

// Bounds of the requests that a server that is warming up may get from all gateways: in any second at most
// warmupTolerance times its rate, and warmupBurst.
const (
	warmupTolerance = 1.5
	warmupBurst     = 5
)

// arrivalTimes records when requests arrive at a server. It is safe for concurrent use.
type arrivalTimes struct {
	mu   sync.Mutex
	list []time.Time
}

// record returns a responder that records each call and passes it to next.
func (a *arrivalTimes) record(next responder) responder {
	return func(c *call) bool {
		a.mu.Lock()
		a.list = append(a.list, time.Now())
		a.mu.Unlock()
		return next(c)
	}
}

// between returns the sorted times from one time to another.
func (a *arrivalTimes) between(from, to time.Time) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(a.list), func(t time.Time) bool { return t.Before(from) || t.After(to) })
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// maxPerSecond returns the largest number of the sorted times within one second.
func maxPerSecond(times []time.Time) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestServerThatWarmsUp sends requests to several gateways as fast as possible while the only server is warming up.
// The server must get no more than its rate allows, but some requests, and all of them after its warm-up.
func TestServerThatWarmsUp(t *testing.T) {
	const (
		rate       = 20.0
		warmupTime = 3 * time.Second
		// noticeTime is the time in which all gateways learn that the server is warming up.
		noticeTime = 500 * time.Millisecond
	)
	var arrivals arrivalTimes
	server := newFakeServer(t, "s", arrivals.record(respond(http.StatusOK, "yes")))
	env := prepareTestEnv(t, func(*config.Gateway) {}, server)
	env.routing.Services[0] = table.Service{Name: "app", WarmupTime: warmupTime, WarmupRate: rate}
	env.putConfig()
	env.awaitReady(http.StatusOK)
	members := startFleet(t, env, 3)
	env.awaitLines("leadership gained", 1)

	began := time.Now()
	env.putRecord(backend.Server{ID: server.id, Service: "app", Addr: server.addr, Hall: "h", Slots: 4, WarmupLeft: warmupTime})
	var callers sync.WaitGroup
	for _, m := range members {
		callers.Go(func() {
			for time.Since(began) < warmupTime {
				req := env.request(http.MethodGet, pathSafe, "")
				req.URL.Host = m.front
				env.do(req)
			}
		})
	}
	callers.Wait()
	got := arrivals.between(began.Add(noticeTime), began.Add(warmupTime))
	assert.Assert(t, float64(maxPerSecond(got)) <= warmupTolerance*rate+warmupBurst, "%d requests in a second", maxPerSecond(got))
	assert.Assert(t, float64(len(got)) > rate, "%d requests", len(got))
	for _, m := range members {
		m.await(t, env, pathSafe, http.StatusOK)
	}
}
