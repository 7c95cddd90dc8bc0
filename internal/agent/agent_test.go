package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/fleet"
	"rockcleat/internal/config"
	"rockcleat/internal/engine"
	"rockcleat/internal/standin"
	"rockcleat/internal/standin/standintest"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/ledger"
	"rockcleat/placement"
)

const secret = "test-secret-0123456789"

// fakeEngine records the orders sent to it.
type fakeEngine struct {
	status engine.Status
	orders []engine.Order
	err    error
}

func (f *fakeEngine) Status(context.Context) (engine.Status, error) { return f.status, nil }
func (f *fakeEngine) SendOrder(_ context.Context, o engine.Order) error {
	f.orders = append(f.orders, o)
	return f.err
}

type fixture struct {
	*Agent
	engine *fakeEngine
	clock  *clocktest.Clock
	kv     *standin.KV
	store  kv.Store
}

// newFixture returns an agent that is not started. The tests run its background tasks.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	s, store := standintest.KV(t)
	return fixtureOn(t, s, store)
}

func fixtureOn(t *testing.T, s *standin.KV, store kv.Store) *fixture {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	assert.NilError(t, err)
	var settings config.Agent
	config.SetDefaults(&settings)
	settings.ID, settings.Secret = "w", secret
	f := &fixture{engine: &fakeEngine{}, clock: clocktest.New(time.Unix(1000, 0)), kv: s, store: store}
	f.engine.status = engine.Status{MemoryMiB: []int{100}, Slots: 4}
	f.Agent = New(Options{
		Settings: settings, Store: store, Engine: f.engine, Clock: f.clock, Log: zap.NewNop(),
		Metrics: metrics, Traffic: &wire.TrafficCounter{},
	})
	return f
}

// takeOver acquires the fencing token and reads the engine's status.
func (f *fixture) takeOver() {
	f.stepTakeOver(f.clock.Now())
	f.clock.Advance(time.Millisecond)
	f.stepStatus(f.clock.Now())
}

func order(op ledger.Op, name string, mib int) placement.Order {
	return placement.Order{Op: op, Name: name, Size: placement.Size{WeightMiB: mib}}
}

func TestOrders(t *testing.T) {
	load := []placement.Order{order(ledger.OpLoad, "a", 60)}
	tests := map[string]struct {
		before func(*fixture)
		orders []placement.Order
		sent   int
	}{
		"given once recorded":              {(*fixture).takeOver, load, 1},
		"not before the agent has a token": {func(f *fixture) { f.stepStatus(f.clock.Now()) }, load, 0},
		"not with a report from before taking over": {func(f *fixture) {
			f.stepStatus(f.clock.Now())
			f.stepTakeOver(f.clock.Now())
		}, load, 0},
		"not while the service is out": {func(f *fixture) {
			f.takeOver()
			f.kv.SetFaults(standin.Faults{Outage: true})
		}, load, 0},
		"not beyond the memory":      {(*fixture).takeOver, []placement.Order{load[0], order(ledger.OpLoad, "b", 60)}, 1},
		"not twice while one is out": {(*fixture).takeOver, []placement.Order{load[0], load[0]}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			tc.before(f)
			f.executeOrders(tc.orders)
			assert.Equal(t, len(f.engine.orders), tc.sent)
		})
	}
}

// TestSuperseded checks that an agent issues no more orders and leaves after another one has taken
// over its server, and that the other one accounts for the first one's order.
func TestSuperseded(t *testing.T) {
	first := newFixture(t)
	first.takeOver()
	first.executeOrders([]placement.Order{order(ledger.OpLoad, "a", 60)})
	second := fixtureOn(t, first.kv, first.store)
	second.takeOver()
	first.executeOrders([]placement.Order{order(ledger.OpLoad, "c", 10)})
	assert.Equal(t, len(first.engine.orders), 1)
	assert.Assert(t, first.membership.leaving)
	second.executeOrders([]placement.Order{order(ledger.OpLoad, "b", 60)})
	assert.Equal(t, len(second.engine.orders), 0, "the first agent's order may still arrive")
	second.clock.Advance(second.settings.Backend.OrderLifetime.Std() + time.Second)
	second.stepStatus(second.clock.Now())
	second.executeOrders([]placement.Order{order(ledger.OpLoad, "b", 60)})
	assert.Equal(t, len(second.engine.orders), 1)
	assert.Assert(t, second.engine.orders[0].Fence > first.engine.orders[0].Fence)
}

// TestLostRecordAnswer checks that an order is not sent if the response to the write of its intent
// is lost, and is sent when the planner repeats it.
func TestLostRecordAnswer(t *testing.T) {
	f := newFixture(t)
	f.takeOver()
	f.kv.SetFaults(standin.Faults{LoseResponses: 1})
	load := []placement.Order{order(ledger.OpLoad, "a", 60)}
	f.executeOrders(load)
	assert.Equal(t, len(f.engine.orders), 0)
	f.executeOrders(load)
	assert.Equal(t, len(f.engine.orders), 1)
	assert.Assert(t, !f.membership.leaving)
}

// TestUnloadWaitsForRequests checks that a replica is unloaded only after its requests have ended.
func TestUnloadWaitsForRequests(t *testing.T) {
	f := newFixture(t)
	f.engine.status.Residents = []fleet.Resident{{Name: "a", State: fleet.StateReady, MemoryMiB: 60}}
	f.takeOver()
	slot, ok := f.server.slots.Take("a")
	assert.Assert(t, ok)
	f.executeOrders([]placement.Order{order(ledger.OpUnload, "a", 60)})
	assert.Equal(t, len(f.engine.orders), 0)
	_, ok = f.server.slots.Take("a")
	assert.Assert(t, !ok, "a copy to be unloaded takes no new request")
	f.server.slots.Release(slot)
	f.stepUnloads(f.clock.Now())
	assert.Equal(t, len(f.engine.orders), 1)
}

func post(t *testing.T, h http.Handler, auth string, x wire.Exchange) (int, wire.ExchangeResponse) {
	t.Helper()
	body, err := json.Marshal(x)
	assert.NilError(t, err)
	r := httptest.NewRequest(http.MethodPost, wire.PathExchange, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	if auth != "" {
		r.Header.Set("Authorization", "Bearer "+auth)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var a wire.ExchangeResponse
	if w.Code == http.StatusOK {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &a))
	}
	return w.Code, a
}

func TestExchangeNeedsSecret(t *testing.T) {
	tests := map[string]struct {
		secret string
		code   int
	}{
		"right":   {secret, http.StatusOK},
		"wrong":   {"guess", http.StatusUnauthorized},
		"missing": {"", http.StatusUnauthorized},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			l := listenFor(t, f)
			code, _ := post(t, l, tc.secret, wire.Exchange{Cell: "c", Token: 1})
			assert.Equal(t, code, tc.code)
			w := httptest.NewRecorder()
			l.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathMetrics, nil))
			counted := strings.Contains(w.Body.String(), "rockcleat_unauthorized_total{")
			assert.Equal(t, counted, tc.code == http.StatusUnauthorized)
		})
	}
}

// listenFor starts the agent on local addresses and returns its control handler.
func listenFor(t *testing.T, f *fixture) http.Handler {
	t.Helper()
	f.settings.Listen, f.settings.ControlListen = "127.0.0.1:0", "127.0.0.1:0"
	assert.NilError(t, f.Start())
	t.Cleanup(f.Close)
	return f.controlRouter()
}

// TestSupersededPlanner checks that a message with a lower token has no effect.
func TestSupersededPlanner(t *testing.T) {
	f := newFixture(t)
	h := listenFor(t, f)
	_, a := post(t, h, secret, wire.Exchange{Cell: "c", Token: 7})
	assert.Equal(t, a.Token, int64(7))
	grants := []wire.ConcurrencyGrant{{Row: "m", Max: 3}}
	_, a = post(t, h, secret, wire.Exchange{Cell: "c", Token: 5, Incarnation: a.Incarnation, Leaving: true, Grants: grants})
	assert.Equal(t, a.Token, int64(7))
	assert.Equal(t, len(a.Grants), 0)
	assert.Assert(t, !f.membership.leaving)
	_, a = post(t, h, secret, wire.Exchange{Cell: "c", Token: 7, Incarnation: a.Incarnation, Grants: grants})
	assert.DeepEqual(t, a.Grants, grants)
}

// TestLaterListCancelsLeaving checks that an agent listed as leaving is no longer leaving once a
// later list does not list it as leaving, unless the agent itself is stopping.
func TestLaterListCancelsLeaving(t *testing.T) {
	tests := map[string]struct {
		later   wire.Exchange
		stop    bool
		leaving bool
	}{
		"later list":             {later: wire.Exchange{List: 6}},
		"same list":              {later: wire.Exchange{List: 5}, leaving: true},
		"older list":             {later: wire.Exchange{List: 4}, leaving: true},
		"later list says so too": {later: wire.Exchange{List: 6, Leaving: true}, leaving: true},
		"own stop":               {later: wire.Exchange{List: 6}, stop: true, leaving: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			h := listenFor(t, f)
			_, a := post(t, h, secret, wire.Exchange{Token: 1, List: 5, Leaving: true})
			if tc.stop {
				f.LeavePermanently("test")
			}
			tc.later.Token = 1
			_, b := post(t, h, secret, tc.later)
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, f.membership.leaving, tc.leaving)
			assert.Equal(t, a.Incarnation != b.Incarnation, !tc.leaving)
		})
	}
}
