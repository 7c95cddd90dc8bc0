package placer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/table"
)

// maxLoadWait is longer than two waits of a load for room, each on another engine.
const maxLoadWait = 30 * time.Second

// A roomFixture is a fixture whose engines let unloads wait for requests and count the loads beyond what they can hold.
type roomFixture struct {
	*fixture
	// running and waiting hold the requests for each adapter that the gateway reports.
	running, waiting map[string]int
	arrived          int
	// reported holds the adapters of all reports: a gateway reports that there are no requests any more, too.
	reported map[string]bool
}

// newRoomFixture returns a fixture whose engines hold the model m0 with the adapters of one list each, all in use.
func newRoomFixture(t *testing.T, held ...[]string) *roomFixture {
	models := make([][]string, len(held))
	for i := range models {
		models[i] = []string{"m0"}
	}
	f := &roomFixture{fixture: newFixture(t, 1, models...), running: make(map[string]int), waiting: make(map[string]int), reported: make(map[string]bool)}
	for i, names := range held {
		e := f.engine(i)
		e.limits, e.inUse = f.spec, make(map[backend.Adapter]bool)
		e.residents[0].Adapters = names
		for _, name := range names {
			e.inUse[backend.Adapter{Model: "m0", Name: name}] = true
			f.running["m0/"+name] = 1
		}
	}
	return f
}

func (f *roomFixture) engine(i int) *fakeEngine { return f.engines.engines[fmt.Sprint("e", i)] }

func (f *roomFixture) engineCount() int { return len(f.engines.engines) }

// report reports the requests for all adapters.
func (f *roomFixture) report() {
	f.arrived++
	for _, counts := range []map[string]int{f.running, f.waiting} {
		for name := range counts {
			f.reported[name] = true
		}
	}
	demands := make(map[string]dispatch.Demand)
	for name := range f.reported {
		demands[name] = dispatch.Demand{
			Arrived: f.arrived, WorkTokens: f.arrived * 100, Running: f.running[name], Waiting: f.waiting[name], Service: service,
		}
	}
	f.placer.Report(placer.Report{GatewayID: "g", Demands: demands})
}

// run advances the clock, with a report at each step, until the condition holds, and returns whether it did in time.
func (f *roomFixture) run(d time.Duration, done func() bool) bool {
	for range int(d / stepTime) {
		f.report()
		f.advance(stepTime)
		if done != nil && done() {
			return true
		}
	}
	return false
}

// holder returns the number of an engine that holds an adapter of m0, or -1.
func (f *roomFixture) holder(name string) int {
	for i := range f.engineCount() {
		for _, r := range f.engine(i).residents {
			if r.Model == "m0" && r.Has(name) {
				return i
			}
		}
	}
	return -1
}

// unloadingEngine returns the number of the engine that lets an unload wait, or -1.
func (f *roomFixture) unloadingEngine() int {
	for i := range f.engineCount() {
		if len(f.engine(i).leaving) > 0 {
			return i
		}
	}
	return -1
}

// endRequests ends the requests for all adapters at an engine.
func (f *roomFixture) endRequests(i int) {
	e := f.engine(i)
	for a := range e.inUse {
		e.endRequests(a)
	}
}

func (f *roomFixture) overfilled() int {
	n := 0
	for i := range f.engineCount() {
		n += f.engine(i).overfilled
	}
	return n
}

// TestAdapterLoadWaitsForItsSlot guards against loads that follow the unload of an adapter before the requests that use it
// have ended, so that the engine holds more adapters than it has slots for.
func TestAdapterLoadWaitsForItsSlot(t *testing.T) {
	tests := map[string]struct {
		// respond, if not nil, responds to orders.
		respond func(n int, o backend.Order) (backend.OrderOutcome, bool, error)
		// meanwhile, if not nil, runs while the unload waits.
		meanwhile func(f *roomFixture)
		// endsOn returns the engine on which requests end.
		endsOn func(unloading int) int
	}{
		"requests end": {},
		"the response to the unload is lost": {
			respond: func(_ int, o backend.Order) (backend.OrderOutcome, bool, error) {
				if o.Unload {
					return backend.OrderUnanswered, true, errors.New("no response")
				}
				return backend.OrderAccepted, true, nil
			},
		},
		"another leader": {meanwhile: func(f *roomFixture) {
			f.lease.set(0)
			f.run(time.Second, nil)
			f.lease.set(9)
		}},
		"requests end on another engine only": {endsOn: func(unloading int) int { return 1 - unloading }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRoomFixture(t, []string{"a1", "a2"}, []string{"a1", "a2"})
				f.engines.respond = test.respond
				f.start(true)
				f.run(5*time.Second, nil)
				f.waiting["m0/new"] = 1
				assert.Assert(t, f.run(maxLoadWait, func() bool { return f.unloadingEngine() >= 0 }), "no unload: %v", f.engines.orders())
				unloading := f.unloadingEngine()
				f.run(3*time.Second, nil)
				if test.meanwhile != nil {
					test.meanwhile(f)
				}
				assert.Equal(t, f.holder("new"), -1, "loaded before requests ended: %v", f.engines.orders())
				if test.endsOn != nil {
					unloading = test.endsOn(unloading)
				}
				f.endRequests(unloading)
				assert.Assert(t, f.run(maxLoadWait, func() bool { return f.holder("new") >= 0 }), "not loaded: %v", f.engines.orders())
				assert.Equal(t, f.overfilled(), 0, "%v", f.engines.orders())
			})
		})
	}
}

// TestAdaptersOfTwoServicesMakeRoom guards against adapters that are never loaded when there is a further service of engines, since
// the time for which requests have waited begins anew in each step.
func TestAdaptersOfTwoServicesMakeRoom(t *testing.T) {
	synctest.Test(t, testAdaptersOfTwoServicesMakeRoom)
}

func testAdaptersOfTwoServicesMakeRoom(t *testing.T) {
	f := newRoomFixture(t, []string{"a1", "a2"}, []string{"a1", "a2"})
	f.secondService = true
	f.start(true)
	f.run(5*time.Second, nil)
	f.waiting["m0/new"] = 1
	assert.Assert(t, f.run(maxLoadWait, func() bool { return f.unloadingEngine() >= 0 }), "no unload: %v", f.engines.orders())
}

// TestModelsMakeRoomForAdapters guards against adapters that are loaded onto engines whose memory models fill, and against
// requests for adapters that no engine has memory for as long as each model keeps all its replicas.
func TestModelsMakeRoomForAdapters(t *testing.T) {
	synctest.Test(t, testModelsMakeRoomForAdapters)
}

func testModelsMakeRoomForAdapters(t *testing.T) {
	f := newRoomFixture(t, nil, nil, nil)
	for i := range f.engineCount() {
		f.engine(i).residents = []backend.Resident{{Model: "m0"}, {Model: "m1"}, {Model: "m2"}}
	}
	f.spec.Models = nil
	for _, name := range []string{"m0", "m1", "m2"} {
		f.spec.Models = append(f.spec.Models, table.ModelSpec{
			Name: name, WeightsMB: 66_660, AdapterCount: 4, AdapterMB: 66, StoreLoadTime: time.Second,
		})
		f.running[name] = 2
	}
	f.start(true)
	f.run(5*time.Second, nil)
	f.waiting["m0/new"] = 1
	assert.Assert(t, f.run(maxLoadWait, func() bool { return f.holder("new") >= 0 }), "not loaded: %v", f.engines.orders())
	delete(f.waiting, "m0/new")
	f.run(maxLoadWait, nil)
	assert.Equal(t, f.overfilled(), 0, "%v", f.engines.orders())
	assert.Equal(t, len(f.engines.orders()), 2, "one model is unloaded and one adapter loaded: %v", f.engines.orders())
}

// TestEnginesAreNeverOverfilled guards against loads beyond an engine's slots or memory under unloads that wait, orders whose
// response is lost, that arrive late or not at all, and changes of the leader, in drawn sequences.
func TestEnginesAreNeverOverfilled(t *testing.T) {
	tests := map[string]float64{"memory for all slots": 20, "memory for one adapter": 10}
	for name, mb := range tests {
		for seed := range uint64(40) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testEnginesAreNeverOverfilled(t, mb, seed) })
			})
		}
	}
}

// testEnginesAreNeverOverfilled plays one seed with engines that have the given memory for adapters of 10 MB.
func testEnginesAreNeverOverfilled(t *testing.T, adaptersMB float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newRoomFixture(t, []string{"a1"}, []string{"a1"}, []string{"a2"})
	f.spec.Models[0].AdapterCount = 8
	f.spec.WeightsMB = f.spec.Models[0].WeightsMB + adaptersMB
	f.engines.respond = func(_ int, o backend.Order) (backend.OrderOutcome, bool, error) {
		return drawOutcome(f, o, random)
	}
	f.start(true)
	f.run(5*time.Second, nil)
	token := f.lease.token
	for range 300 {
		f.waiting = map[string]int{fmt.Sprint("m0/a", 1+random.IntN(8)): 1}
		drawUse(f, random)
		if random.IntN(100) == 0 {
			f.lease.set(0)
			f.run(200*time.Millisecond, nil)
			token += 2
			f.lease.set(token)
		}
		f.run(time.Duration(1+random.IntN(8))*stepTime, nil)
		assert.Equal(t, f.overfilled(), 0, "%v", f.engines.orders())
	}
	f.engines.respond = nil
	for i := range f.engineCount() {
		f.engine(i).late = nil
		f.endRequests(i)
	}
	clear(f.running)
	f.waiting = map[string]int{"m0/new": 1}
	assert.Assert(t, f.run(maxLoadWait, func() bool { return f.holder("new") >= 0 }), "not loaded: %v", f.engines.orders())
	assert.Equal(t, f.overfilled(), 0, "%v", f.engines.orders())
}

// drawUse draws which adapters requests use from now on, and lets late orders arrive.
func drawUse(f *roomFixture, random *rand.Rand) {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	clear(f.running)
	for i := range f.engineCount() {
		e := f.engine(i)
		if random.IntN(4) == 0 {
			e.receiveLate()
		}
		for _, name := range slices.Clone(e.residents[0].Adapters) {
			a := backend.Adapter{Model: "m0", Name: name}
			if random.IntN(3) == 0 {
				e.endRequests(a)
			} else if !slices.ContainsFunc(e.leaving, func(o backend.Order) bool { return o.Adapter == name }) {
				e.inUse[a] = true
			}
			if e.inUse[a] {
				f.running["m0/"+name]++
			}
		}
	}
}

// drawOutcome draws the outcome of an order that its engine is about to accept.
func drawOutcome(f *roomFixture, o backend.Order, random *rand.Rand) (backend.OrderOutcome, bool, error) {
	lost := errors.New("no response")
	server := f.engines.issued[len(f.engines.issued)-1].server
	e := f.engines.engines[server]
	switch random.IntN(10) {
	case 0:
		return backend.OrderUnanswered, false, lost
	case 1:
		return backend.OrderUnanswered, true, lost
	case 2:
		e.late = append(e.late, o)
		return backend.OrderUnanswered, false, lost
	}
	return e.apply(o), false, nil
}
