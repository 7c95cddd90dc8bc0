package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// adapterEngines is a backend.EngineClient of engines that hold one model and load any adapter of it at once.
type adapterEngines struct {
	model string

	mu       sync.Mutex
	sequence int
	adapters []string
}

// Report implements backend.EngineClient.
func (e *adapterEngines) Report(context.Context, *backend.Server) (backend.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.Report{Residents: []backend.Resident{{Model: e.model, Adapters: slices.Clone(e.adapters)}}, Sequence: e.sequence}, nil
}

// Order implements backend.EngineClient.
func (e *adapterEngines) Order(_ context.Context, _ *backend.Server, o backend.Order) (backend.OrderOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	e.adapters = append(e.adapters, o.Adapter)
	return backend.OrderAccepted, nil
}

// reportFrom sends reports of n further gateways to the leader until the test ends, and returns when all gateways of env
// know of them. The reports keep the interval of a fleet of that size.
func (env *testEnv) reportFrom(n int) {
	env.t.Helper()
	client := wire.NewClient("", http.DefaultTransport)
	send := func(i int) {
		r := placer.Report{GatewayID: fmt.Sprint("far", i), Addr: "127.0.0.1:1", Hall: "far", Demands: map[string]dispatch.Demand{}}
		var reply placer.Reply
		_ = client.Post(env.t.Context(), env.peer, "/v1/gateway", r, &reply)
	}
	for i := range n {
		send(i)
	}
	go func() {
		for env.t.Context().Err() == nil {
			for i := range n {
				send(i)
			}
			clock.Sleep(env.t.Context(), clocktest.Real{}, placer.ReportInterval(n))
		}
	}()
}

// TestAdapterIsUsedOnceLoaded measures how long a request waits for an adapter that no engine holds, at a gateway that
// does not lead, in fleets of several sizes. The time must not grow with the fleet: the interval between reports, with
// which the gateway otherwise learns of the load, does.
func TestAdapterIsUsedOnceLoaded(t *testing.T) {
	const (
		adapters = 4
		// maxWait is a quarter of the first-byte objective of interactive requests of one second.
		maxWait = 250 * time.Millisecond
	)
	for _, gateways := range []int{3, 103, 356, 712} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			server := newFakeServer(t, "e", stream(1))
			env := newTestEnvWithoutConfig(t, newFakeServer(t, "plain", respond(http.StatusOK, "yes")))
			env.engines = &adapterEngines{model: "m1"}
			env.putRecord(backend.Server{
				ID: server.id, Service: "llm", Addr: server.addr, Hall: "h", Slots: 8, Residents: []backend.Resident{{Model: "m1"}},
			})
			env.routing.Services[1].Engine = &table.EngineSpec{
				CacheTokens: 1000, TokensPerEvent: 1, AdapterSlots: 2 * adapters, Models: []table.ModelSpec{{Name: "m1", AdapterCount: adapters}},
			}
			env.putConfig()
			env.awaitReady(http.StatusOK)
			members := startFleet(t, env, 2)
			env.reportFrom(gateways - 3)
			ask := func(model string) reply {
				req := env.request(http.MethodGet, pathModel, "", names.Model, model, names.Tokens, "10,10")
				req.URL.Host = members[0].front
				return env.do(req)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if r := ask("m1/a0"); r.status != http.StatusOK {
					return poll.Continue("status %d", r.status)
				}
				return poll.Success()
			}, poll.WithTimeout(8*time.Second))
			var longest time.Duration
			for i := range adapters {
				began := time.Now()
				r := ask(fmt.Sprint("m1/a", i+1))
				assert.Equal(t, r.status, http.StatusOK)
				longest = max(longest, time.Since(began))
			}
			t.Logf("%d gateways, reports every %v: waited %v at most", gateways, placer.ReportInterval(gateways), longest)
			assert.Assert(t, longest <= maxWait, "waited %v", longest)
		})
	}
}
