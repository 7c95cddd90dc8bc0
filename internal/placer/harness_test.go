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

// fakeEngines implements backend.EngineClient. Orders are carried out at once unless answer or runs is set.
type fakeEngines struct {
	clock clock.Service

	mu      sync.Mutex
	engines map[string]*fakeEngine
	issued  []issuedOrder
	// answer, if not nil, returns the answer to the n-th order and whether the order is carried out.
	answer func(n int, o backend.Order) (out backend.OrderOutcome, done bool, err error)
}

type fakeEngine struct {
	// serverID is the incarnation named in reports; empty for none.
	serverID  string
	sequence  int
	fence     int64
	residents []backend.Resident
	coming    []backend.Adapter
	// runs makes an unload of a model stay in progress.
	runs bool
	busy bool
}

func (f *fakeEngines) Report(_ context.Context, s *backend.Server) (backend.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[s.ID]
	if !ok {
		return backend.Report{}, errors.New("no such engine")
	}
	r := backend.Report{ServerID: e.serverID, Sequence: e.sequence, LoadingAdapters: e.coming, OrderInProgress: e.busy}
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
	if f.answer != nil {
		out, done, err := f.answer(len(f.issued), o)
		if done {
			e.do(o)
		}
		return out, err
	}
	if o.Unload && o.Adapter == "" && e.runs {
		e.sequence++
		e.busy = true
		return backend.OrderAccepted, nil
	}
	e.do(o)
	return backend.OrderAccepted, nil
}

func (e *fakeEngine) do(o backend.Order) {
	e.sequence++
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
}

func (f *fakeEngines) orders() []issuedOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.issued)
}

// A fakeLease is a lease that the test controls.
type fakeLease struct {
	mu    sync.Mutex
	token lease.Token
	other bool
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

func (l *fakeLease) OtherHolder() lease.Record { return lease.Record{Addr: "last"} }

func (l *fakeLease) HasSeenOther() bool { return l.other }

func (l *fakeLease) Campaign(context.Context, kv.PrefixStore) {}

func (l *fakeLease) Release(context.Context) error {
	l.set(0)
	return nil
}

// A world is a placer with fake engines, a fake lease and a test clock.
type world struct {
	t        *testing.T
	clock    *clocktest.Clock
	lease    *fakeLease
	engines  *fakeEngines
	registry backend.Registry
	spec     *table.EngineSpec
	placer   *placer.Placer
	// second adds a second service of engines, which shares the weight store.
	second bool
	// inNeed names the servers for which IsInNeed reports true.
	inNeed map[string]bool
}

// newWorld returns a world with models of 60 GB and engines of 200 GB that hold the named models. It must be
// called in a synctest bubble.
func newWorld(t *testing.T, models int, held ...[]string) *world {
	c := clocktest.New(time.Unix(1000, 0))
	w := &world{t: t, clock: c, lease: &fakeLease{token: 7}}
	w.engines = &fakeEngines{clock: c, engines: make(map[string]*fakeEngine)}
	w.spec = &table.EngineSpec{WeightsMB: 200_000, AdapterSlots: 2, LoadsPerSecond: 1}
	for i := range models {
		w.spec.Models = append(w.spec.Models, table.ModelSpec{
			Name: fmt.Sprint("m", i), WeightsMB: 60_000, Adapters: 4, AdapterMB: 10, StoreLoadTime: time.Second,
		})
	}
	var list []backend.Server
	for i, names := range held {
		id := fmt.Sprint("e", i)
		e := &fakeEngine{}
		for _, m := range names {
			e.residents = append(e.residents, backend.Resident{Model: m})
		}
		w.engines.engines[id] = e
		list = append(list, backend.Server{ID: id, Service: service, Hall: "h", Residents: e.residents})
	}
	w.registry.Replace(list, c.Now())
	return w
}

func (w *world) start(first bool) *placer.Placer {
	services := []table.Service{{Name: service, Engine: w.spec}, {Name: "plain"}}
	if w.second {
		services = append(services, table.Service{Name: "second", Engine: w.spec})
	}
	routing := table.NewRouting(1, nil, services, table.RequestLimits{})
	p := placer.New(placer.Options{
		Lease: w.lease, Engines: w.engines, Registry: &w.registry,
		Routing:    func() *table.Routing { return routing },
		IsInNeed:   func(s *backend.Server) bool { return w.inNeed[s.ID] },
		SettleTime: ttl, FirstStart: first, Clock: w.clock, Log: zap.NewNop(),
	})
	w.placer = p
	p.Start()
	w.t.Cleanup(func() { p.Stop(context.Background()) })
	return p
}

// run advances the clock until the condition holds.
func (w *world) run(what string, cond func() bool) {
	w.t.Helper()
	for range maxSteps {
		w.pass(stepTime)
		if cond() {
			return
		}
	}
	w.t.Fatalf("timed out waiting for %s; orders issued: %v", what, w.engines.orders())
}

// Steps by which a test advances the clock.
const (
	stepTime = 50 * time.Millisecond
	maxSteps = 2000
)

// pass advances the clock in steps and waits after each one for the placer's calls to engines to end.
func (w *world) pass(d time.Duration) {
	for range int(d / stepTime) {
		w.clock.Advance(stepTime)
		synctest.Wait()
	}
}

func (w *world) ordered(n int) func() bool {
	return func() bool { return len(w.engines.orders()) >= n }
}

// ask reports the demand for a model or adapter and returns the reply.
func (w *world) ask(name string, arrived, waiting int) placer.Reply {
	return w.placer.Report(placer.Report{GatewayID: "g", Demands: map[string]dispatch.Demand{
		name: {Arrived: arrived, WorkTokens: arrived * 1000, Waiting: waiting, Service: service},
	}})
}

// startWaitingFor starts the first leader, reports a request that waits for an adapter, and waits for the
// first order.
func (w *world) startWaitingFor(adapter string) {
	p := w.start(true)
	w.pass(5 * time.Second)
	w.ask(adapter, 0, 0)
	w.ask(adapter, 1, 1)
	p.Wake()
	w.run("adapter", w.ordered(1))
}
