package placer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/table"
)

const (
	service = "llm"
	ttl     = 3 * time.Second
)

// An issuedOrder is an order that an engine received.
type issuedOrder struct {
	server string
	order  backend.Order
	at     time.Time
}

// fakeEngines implements backend.EngineClient. Orders are carried out at once unless respond or blockUnload
// is set.
type fakeEngines struct {
	clock clock.Service

	mu      sync.Mutex
	engines map[string]*fakeEngine
	issued  []issuedOrder
	// reports is the number of reports requested.
	reports int
	// respond, if not nil, returns the outcome of the n-th order, whether the order is carried out, and an
	// error.
	respond func(n int, o backend.Order) (out backend.OrderOutcome, done bool, err error)
}

type fakeEngine struct {
	// serverID is the server instance named in reports; empty for none.
	serverID        string
	sequence        int
	fence           int64
	residents       []backend.Resident
	loadingAdapters []backend.Adapter
	// blockUnload makes an unload of a model stay in progress.
	blockUnload     bool
	orderInProgress bool
	// inUse names the adapters that requests use. Their unload waits in leaving until endRequests.
	inUse   map[backend.Adapter]bool
	leaving []backend.Order
	// late holds the orders that arrive after their sender has given up.
	late []backend.Order
	// limits, if not nil, is what the engine can hold. overfilled counts the loads beyond that.
	limits     *table.EngineSpec
	overfilled int
}

func (f *fakeEngines) Report(_ context.Context, s *backend.Server) (backend.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	e, ok := f.engines[s.ID]
	if !ok {
		return backend.Report{}, errors.New("no such engine")
	}
	r := backend.Report{ServerID: e.serverID, Sequence: e.sequence, LoadingAdapters: e.loadingAdapters, OrderInProgress: e.orderInProgress}
	for _, x := range e.residents {
		r.Residents = append(r.Residents, x.Clone())
	}
	return r, nil
}

func (f *fakeEngines) Order(_ context.Context, s *backend.Server, o backend.Order) (backend.OrderOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.issued = append(f.issued, issuedOrder{server: s.ID, order: o, at: f.clock.Now()})
	e := f.engines[s.ID]
	if o.Fence < e.fence {
		return backend.OrderFenced, nil
	}
	e.fence = o.Fence
	if o.Sequence != e.sequence {
		return backend.OrderConflict, nil
	}
	if f.respond != nil {
		out, done, err := f.respond(len(f.issued), o)
		if done {
			e.apply(o)
		}
		return out, err
	}
	if o.Unload && o.Adapter == "" && e.blockUnload {
		e.sequence++
		e.orderInProgress = true
		return backend.OrderAccepted, nil
	}
	return e.apply(o), nil
}

// apply counts an order and carries it out, or lets an unload wait for the requests that use the adapter.
func (e *fakeEngine) apply(o backend.Order) backend.OrderOutcome {
	e.sequence++
	if a := (backend.Adapter{Model: o.Model, Name: o.Adapter}); o.Unload && e.inUse[a] {
		e.leaving = append(e.leaving, o)
		return backend.OrderAccepted
	}
	e.carryOut(o)
	if o.Unload && o.Adapter != "" && e.inUse != nil {
		return backend.OrderAlreadyDone
	}
	return backend.OrderAccepted
}

// endRequests ends the requests that use an adapter.
func (e *fakeEngine) endRequests(a backend.Adapter) {
	delete(e.inUse, a)
	e.leaving = slices.DeleteFunc(e.leaving, func(o backend.Order) bool {
		if o.Model != a.Model || o.Adapter != a.Name {
			return false
		}
		e.carryOut(o)
		return true
	})
}

// receiveLate handles the orders in late, as far as their sequence numbers are the expected ones.
func (e *fakeEngine) receiveLate() {
	for _, o := range e.late {
		if o.Fence >= e.fence && o.Sequence == e.sequence {
			e.apply(o)
		}
	}
	e.late = nil
}

// usedMB returns the memory in use, adapters the number of adapters held.
func (e *fakeEngine) usedMB() (used float64, adapters int) {
	for _, r := range e.residents {
		m, _ := e.limits.Model(r.Model)
		used += m.WeightsMB + float64(len(r.Adapters))*m.AdapterMB
		adapters += len(r.Adapters)
	}
	return used, adapters
}

func (e *fakeEngine) carryOut(o backend.Order) {
	i := slices.IndexFunc(e.residents, func(r backend.Resident) bool { return r.Model == o.Model })
	switch {
	case o.Adapter != "" && !o.Unload:
		e.residents[i].Adapters = append(e.residents[i].Adapters, o.Adapter)
	case o.Adapter != "":
		e.residents[i].Adapters = slices.DeleteFunc(e.residents[i].Adapters, func(a string) bool { return a == o.Adapter })
	case o.Unload:
		e.residents = slices.Delete(e.residents, i, i+1)
	default:
		e.residents = append(e.residents, backend.Resident{Model: o.Model})
	}
	if e.limits == nil || o.Unload {
		return
	}
	if used, adapters := e.usedMB(); used > e.limits.WeightsMB || adapters > e.limits.AdapterSlots {
		e.overfilled++
	}
}

func (f *fakeEngines) orders() []issuedOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.issued)
}

// A fakeLease is a lease that the test controls.
type fakeLease struct {
	mu        sync.Mutex
	token     lease.Token
	seenOther bool
}

func (l *fakeLease) set(token lease.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token = token
}

func (l *fakeLease) Held() (lease.Token, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.token != 0
}

func (l *fakeLease) LastRecord() lease.Record { return lease.Record{Addr: "last"} }

func (l *fakeLease) HasSeenOther() bool { return l.seenOther }

func (l *fakeLease) Campaign(context.Context, kv.PrefixStore) {}

func (l *fakeLease) Release(context.Context) error {
	l.set(0)
	return nil
}

// A fixture is a placer with fake engines, a fake lease and a test clock.
type fixture struct {
	t        *testing.T
	clock    *clocktest.Clock
	lease    *fakeLease
	engines  *fakeEngines
	registry backend.Registry
	spec     *table.EngineSpec
	placer   *placer.Placer
	// secondService adds a second service of engines, which shares the weight store.
	secondService bool
	// maxCountedSlots is Options.MaxCountedSlots.
	maxCountedSlots int
	// throttled names the servers for which IsThrottled reports true.
	throttled map[string]bool
	// paused names the servers for which IsPaused reports true.
	paused map[string]bool
}

// newFixture returns a fixture with models of 60 GB and engines of 200 GB that hold the named models. It must
// be called in a synctest bubble.
func newFixture(t *testing.T, models int, held ...[]string) *fixture {
	c := clocktest.New(time.Unix(1000, 0))
	f := &fixture{t: t, clock: c, lease: &fakeLease{token: 7}}
	f.engines = &fakeEngines{clock: c, engines: make(map[string]*fakeEngine)}
	f.spec = &table.EngineSpec{WeightsMB: 200_000, AdapterSlots: 2, LoadsPerSecond: 1}
	for i := range models {
		f.spec.Models = append(f.spec.Models, table.ModelSpec{
			Name: fmt.Sprint("m", i), WeightsMB: 60_000, AdapterCount: 4, AdapterMB: 10, StoreLoadTime: time.Second,
		})
	}
	var servers []backend.Server
	for i, names := range held {
		id := fmt.Sprint("e", i)
		e := &fakeEngine{}
		for _, m := range names {
			e.residents = append(e.residents, backend.Resident{Model: m})
		}
		f.engines.engines[id] = e
		servers = append(servers, backend.Server{ID: id, Service: service, Hall: "h", Residents: e.residents})
	}
	f.registry.Replace(servers, c.Now())
	return f
}

func (f *fixture) start(first bool) *placer.Placer {
	services := []table.Service{{Name: service, Engine: f.spec}, {Name: "plain"}}
	if f.secondService {
		services = append(services, table.Service{Name: "second", Engine: f.spec})
	}
	routing := table.NewRouting(1, nil, services, table.RequestLimits{})
	p := placer.New(placer.Options{
		Lease: f.lease, Engines: f.engines, Registry: &f.registry,
		Routing:         func() *table.Routing { return routing },
		IsThrottled:     func(s *backend.Server) bool { return f.throttled[s.ID] },
		IsPaused:        func(server string) bool { return f.paused[server] },
		MaxCountedSlots: f.maxCountedSlots,
		SettleTime:      ttl, FirstStart: first, Clock: f.clock, Log: zap.NewNop(),
	})
	f.placer = p
	p.Start()
	f.t.Cleanup(func() { p.Stop(context.Background()) })
	return p
}

// waitUntil advances the clock until the condition holds.
func (f *fixture) waitUntil(what string, cond func() bool) {
	f.t.Helper()
	for range maxSteps {
		f.advance(stepTime)
		if cond() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s; orders issued: %v", what, f.engines.orders())
}

// Steps by which a test advances the clock.
const (
	stepTime = 50 * time.Millisecond
	maxSteps = 2000
)

// advance advances the clock in steps and waits after each one for the placer's calls to engines to end.
func (f *fixture) advance(d time.Duration) {
	for range int(d / stepTime) {
		f.clock.Advance(stepTime)
		synctest.Wait()
	}
}

func (f *fixture) ordersIssued(n int) func() bool {
	return func() bool { return len(f.engines.orders()) >= n }
}

// reportDemand reports the demand for a model or adapter and returns the reply.
func (f *fixture) reportDemand(name string, arrived, waiting int) placer.Reply {
	return f.placer.Report(placer.Report{GatewayID: "g", Demands: map[string]dispatch.Demand{
		name: {Arrived: arrived, WorkTokens: arrived * 1000, Waiting: waiting, Service: service},
	}})
}

// startWithWaitingRequest starts the first leader, reports a request that waits for an adapter, and waits for
// the first order.
func (f *fixture) startWithWaitingRequest(adapter string) {
	p := f.start(true)
	f.advance(5 * time.Second)
	f.reportDemand(adapter, 0, 0)
	f.reportDemand(adapter, 1, 1)
	p.Wake()
	f.waitUntil("adapter", f.ordersIssued(1))
}
