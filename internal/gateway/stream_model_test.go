package gateway_test

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/backend"
	"rockcleat/table"
)

// modelEngines is a backend.EngineClient of engines that carry out orders for models at once.
type modelEngines struct {
	mu       sync.Mutex
	models   map[string][]string
	sequence map[string]int
	// unloads lists the models unloaded so far.
	unloads []string
}

// Report implements backend.EngineClient.
func (e *modelEngines) Report(_ context.Context, s *backend.Server) (backend.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := backend.Report{Sequence: e.sequence[s.ID]}
	for _, m := range e.models[s.ID] {
		r.Residents = append(r.Residents, backend.Resident{Model: m})
	}
	return r, nil
}

// Order implements backend.EngineClient.
func (e *modelEngines) Order(_ context.Context, s *backend.Server, o backend.Order) (backend.OrderOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence[s.ID]++
	if !o.Unload {
		e.models[s.ID] = append(e.models[s.ID], o.Model)
		return backend.OrderAccepted, nil
	}
	e.models[s.ID] = slices.DeleteFunc(e.models[s.ID], func(m string) bool { return m == o.Model })
	e.unloads = append(e.unloads, o.Model)
	return backend.OrderAccepted, nil
}

func (e *modelEngines) hasUnloaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.unloads, model)
}

const pathResumeModel = "/resume-model/"

// startModelEngines starts two gateways with engines that have room for one model each: two hold m1, at different software
// versions, and one m2. Streams of m1 last until their callers leave.
func startModelEngines(t *testing.T) (env *testEnv, other *fleetMember, servers []*fakeServer) {
	env = newTestEnvWithoutConfig(t, newFakeServer(t, "plain", respond(http.StatusOK, "yes")))
	engines := &modelEngines{models: make(map[string][]string), sequence: make(map[string]int)}
	env.engines = engines
	for i, version := range []string{"v1", "v2", "v1"} {
		model, responder := "m1", endlessStream
		if i == 2 {
			model, responder = "m2", stream(1)
		}
		server := newFakeServer(t, string(rune('a'+i)), responder)
		servers = append(servers, server)
		engines.models[server.id] = []string{model}
		env.putRecord(backend.Server{
			ID: server.id, Service: "llm", Version: version, Addr: server.addr, Hall: "h", Slots: 40, Residents: []backend.Resident{{Model: model}},
		})
	}
	var models []table.ModelSpec
	for _, name := range []string{"m1", "m2"} {
		models = append(models, table.ModelSpec{Name: name, WeightsMB: 100, StoreLoadTime: 100 * time.Millisecond})
	}
	env.routing.Services[1].Engine = &table.EngineSpec{
		WeightsMB: 100, CacheTokens: 100_000, TokensPerEvent: 1, LoadsPerSecond: 10, Models: models,
	}
	resumable := env.routing.Routes[len(env.routing.Routes)-1]
	resumable.Name, resumable.Prefix, resumable.Retry, resumable.Timeout = pathResumeModel, pathResumeModel, table.RetryResume, time.Minute
	env.routing.Routes = append(env.routing.Routes, resumable)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	return env, startFleetOf(t, env, 1)[0], servers
}

// endlessStream sends events until the gateway closes the connection.
func endlessStream(c *call) bool {
	c.write(c.streamHead())
	for n := 1; ; n++ {
		c.write(event(n))
		select {
		case <-c.gone:
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// openStream begins a resumable stream of m1 at the gateway at front, which lasts until ctx ends.
func (env *testEnv) openStream(ctx context.Context, front string) {
	env.t.Helper()
	req := env.request(http.MethodPost, pathResumeModel, "x", names.Model, "m1", names.Tokens, "10,10").WithContext(ctx)
	req.URL.Host = front
	resp, err := env.client.Do(req)
	assert.NilError(env.t, err)
	env.t.Cleanup(func() { resp.Body.Close() })
	assert.Equal(env.t, resp.StatusCode, http.StatusOK)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(env.t, err)
}

// TestModelStaysWhileStreamsNeedIt guards against a leader that unloads a model from the only engine at which the streams of
// another gateway can go on, and against one that never unloads it any more.
func TestModelStaysWhileStreamsNeedIt(t *testing.T) {
	env, other, servers := startModelEngines(t)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	for range 6 {
		env.openStream(ctx, other.front)
	}
	for _, s := range servers[:2] {
		assert.Assert(t, s.count() > 0, "no stream at %s", s.id)
	}
	engines := env.engines.(*modelEngines)
	request := func() { env.post(pathModel, "x", names.Model, "m2", names.Tokens, "1000,10") }
	// A leader without the rule unloads the model after 4.3 s.
	const streamTime = 8 * time.Second
	for end := time.Now().Add(streamTime); time.Now().Before(end); {
		request()
		assert.Assert(t, !engines.hasUnloaded("m1"), "m1 was unloaded though streams run at both versions")
	}
	leave()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if request(); !engines.hasUnloaded("m1") {
			return poll.Continue("m1 is not unloaded after the streams")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}
