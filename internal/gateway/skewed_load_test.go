package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/apikey"
	"rockcleat/backend"
	"rockcleat/internal/config"
	"rockcleat/table"
)

// minServedRatio is the smallest allowed ratio between the shares of requests that are served at the first attempt while
// most callers connect to one gateway and before. It is a requirement of the platform.
const minServedRatio = 0.75

// A skewedFleet is a fleet of gateways, engines and a plain service, with an organisation whose rate limit is not reached.
type skewedFleet struct {
	env    *testEnv
	fronts []string
	sent   atomic.Int64
}

func newSkewedFleet(t *testing.T, gateways int) *skewedFleet {
	const perSecond, engines = 100, 8
	env := prepareTestEnv(t, func(s *config.Gateway) { s.Gateways = gateways })
	env.engines = &adapterEngines{model: "m1"}
	for i := range engines {
		server := newFakeServer(t, fmt.Sprint("e", i), stream(5))
		env.putRecord(backend.Server{ID: server.id, Service: "llm", Addr: server.addr, Hall: "h", Slots: 8})
		env.putServer(newFakeServer(t, fmt.Sprint("p", i), respond(http.StatusOK, "fine")), false)
	}
	useKeys(env)
	env.routing.Organisations[0].RateLimit = table.RateLimit{Unit: table.UnitRequests, PerSecond: 1.5 * perSecond, Burst: perSecond}
	env.putConfig()
	env.awaitReady(http.StatusOK)
	f := &skewedFleet{env: env, fronts: []string{env.front}}
	for _, m := range startFleetOf(t, env, gateways-1) {
		f.fronts = append(f.fronts, m.front)
	}
	for _, front := range f.fronts {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !f.sendOne(pathModel, func(int64) string { return front }) {
				return poll.Continue("%s does not serve the model", front)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
	return f
}

// send sends requests for a time, each over a new connection, to the gateways that choose returns, and returns the share
// that is served.
func (f *skewedFleet) send(d time.Duration, choose func(n int64) string) float64 {
	const interval = 20 * time.Millisecond
	var served, sent atomic.Int64
	var requests sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		for _, path := range []string{pathModel, pathSafe} {
			requests.Go(func() {
				sent.Add(1)
				if f.sendOne(path, choose) {
					served.Add(1)
				}
			})
		}
	}
	requests.Wait()
	return float64(served.Load()) / float64(sent.Load())
}

func (f *skewedFleet) sendOne(path string, choose func(n int64) string) bool {
	n := f.sent.Add(1)
	req := f.env.request(http.MethodPost, path, "x", names.RequestID, fmt.Sprint("r", n), names.Model, "m1", names.Tokens, "100,10",
		apikey.Header, bearer(guildKey))
	req.URL.Host = choose(n)
	transport := &http.Transport{DisableKeepAlives: true}
	got := doWith(&http.Client{Transport: transport}, req)
	return got.err == nil && got.status == http.StatusOK
}

// TestMostConnectionsToOneGateway checks that requests are served as before while nine in ten new connections go to one
// gateway and the others are almost idle: what gateways share by number or by past load must follow the connections.
func TestMostConnectionsToOneGateway(t *testing.T) {
	const phase = 2 * time.Second
	for _, gateways := range []int{4, 24} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			f := newSkewedFleet(t, gateways)
			spread := func(n int64) string { return f.fronts[n%int64(len(f.fronts))] }
			before := f.send(phase, spread)
			for i := range 2 {
				favoured := f.fronts[len(f.fronts)-1-i]
				during := f.send(phase, func(n int64) string {
					if n%10 == 0 {
						return spread(n)
					}
					return favoured
				})
				t.Logf("served %.3f before, %.3f while gateway %d is favoured", before, during, i)
				assert.Assert(t, before > 0.9)
				assert.Assert(t, during >= minServedRatio*before)
			}
		})
	}
}
