package placer_test

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
)

func TestMissingModelIsLoadedOnce(t *testing.T) { synctest.Test(t, testMissingModelIsLoadedOnce) }

func testMissingModelIsLoadedOnce(t *testing.T) {
	w := newWorld(t, 2, []string{"m0"})
	w.start(true)
	w.run("load", w.ordered(1))
	o := w.engines.orders()[0]
	assert.Equal(t, o.order.Model, "m1")
	assert.Equal(t, o.order.Sequence, 0)
	assert.Assert(t, o.order.Fence > 0)
	w.pass(5 * time.Second)
	assert.Equal(t, len(w.engines.orders()), 1)
	a := w.ask("m1", 0, 0)
	assert.Equal(t, len(a.Residency["e0"].Residents), 2)
}

func TestOrderWithoutAnswerIsIssuedAgainUnderTheSameSequence(t *testing.T) {
	tests := map[string]struct{ done bool }{"it was done": {done: true}, "it was not done": {}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, []string{"m0"})
				w.engines.answer = func(n int, _ backend.Order) (backend.OrderOutcome, bool, error) {
					if n == 1 {
						return backend.OrderUnanswered, test.done, errors.New("no answer")
					}
					return backend.OrderAccepted, true, nil
				}
				w.start(true)
				w.run("first order", w.ordered(1))
				w.run("model there", func() bool { return len(w.ask("m1", 0, 0).Residency["e0"].Residents) == 2 })
				w.pass(3 * time.Second)
				loads := 0
				for _, g := range w.engines.orders() {
					assert.Equal(t, g.order.Sequence, 0, "a late order and a repeated one must not both count")
					loads++
				}
				assert.Assert(t, loads <= 2)
			})
		})
	}
}

func TestLeaderThatIsNotTheFirstSettles(t *testing.T) {
	synctest.Test(t, testLeaderThatIsNotTheFirstSettles)
}

func testLeaderThatIsNotTheFirstSettles(t *testing.T) {
	w := newWorld(t, 2, []string{"m0"})
	start := w.clock.Now()
	w.lease.other = true
	w.start(true)
	w.run("load", w.ordered(1))
	assert.Assert(t, w.engines.orders()[0].at.Sub(start) >= ttl)
}

// TestSettlingCountsWhatTheLastLeaderReplied checks how the replies of the previous leader shorten the settle
// time.
func TestSettlingCountsWhatTheLastLeaderReplied(t *testing.T) {
	tests := map[string]struct {
		say   func(w *world, p *placer.Placer)
		waits bool
	}{
		"said for long that it gives none": {say: func(w *world, p *placer.Placer) {
			for range 40 {
				p.NotePeerReply("last", true)
				w.pass(100 * time.Millisecond)
			}
		}},
		"said so once": {waits: true, say: func(_ *world, p *placer.Placer) { p.NotePeerReply("last", true) }},
		"did not answer in between": {waits: true, say: func(w *world, p *placer.Placer) {
			for i := range 40 {
				p.NotePeerReply("last", i != 38)
				w.pass(100 * time.Millisecond)
			}
		}},
		"another said so": {waits: true, say: func(w *world, p *placer.Placer) {
			for range 40 {
				p.NotePeerReply("other", true)
				w.pass(100 * time.Millisecond)
			}
		}},
		"said so long ago": {waits: true, say: func(w *world, p *placer.Placer) {
			for range 40 {
				p.NotePeerReply("last", true)
				w.pass(100 * time.Millisecond)
			}
			w.pass(2 * time.Second)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, []string{"m0"})
				w.lease.other = true
				w.lease.set(0)
				p := w.start(true)
				test.say(w, p)
				start := w.clock.Now()
				w.lease.set(7)
				w.run("load", w.ordered(1))
				waited := w.engines.orders()[0].at.Sub(start) >= ttl
				assert.Equal(t, waited, test.waits)
			})
		})
	}
}

func TestNoOrderWithoutTheLease(t *testing.T) { synctest.Test(t, testNoOrderWithoutTheLease) }

func testNoOrderWithoutTheLease(t *testing.T) {
	w := newWorld(t, 2, []string{"m0", "m1"})
	w.start(true)
	w.pass(6 * time.Second)
	assert.Equal(t, len(w.engines.orders()), 0)
	w.lease.set(0)
	w.registry.Update(backend.Server{ID: "e0", Service: service}, w.clock.Now())
	w.engines.mu.Lock()
	w.engines.engines["e0"].residents = nil
	w.engines.mu.Unlock()
	w.pass(5 * time.Second)
	assert.Equal(t, len(w.engines.orders()), 0)
	assert.Assert(t, !w.ask("m0", 1, 1).IsLeader)
}

func TestFencedLeaderStops(t *testing.T) { synctest.Test(t, testFencedLeaderStops) }

func testFencedLeaderStops(t *testing.T) {
	w := newWorld(t, 2, []string{"m0"})
	w.engines.engines["e0"].fence = 1 << 40
	w.start(true)
	w.run("load", w.ordered(1))
	w.pass(6 * time.Second)
	assert.Equal(t, len(w.engines.orders()), 1, "no further order under a token that was refused")
}

// TestLoadsStayWithinTheBudget checks that the loads started in any five seconds stay within the store's rate
// and a small burst.
func TestLoadsStayWithinTheBudget(t *testing.T) {
	t.Run("one service", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { loadsStayWithinTheBudget(t, false) })
	})
	t.Run("two services", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { loadsStayWithinTheBudget(t, true) })
	})
}

func loadsStayWithinTheBudget(t *testing.T, second bool) {
	held := make([][]string, 12)
	held[0] = []string{"m0", "m1", "m2"}
	w := newWorld(t, 3, held...)
	w.spec.LoadsPerSecond = 2
	w.second = second
	p := w.start(true)
	arrived := 0
	for range 200 {
		arrived += 10
		w.ask("m0", arrived, 1)
		p.Wake()
		p.Wake()
		w.pass(100 * time.Millisecond)
	}
	orders := w.engines.orders()
	assert.Assert(t, len(orders) > 5, "%d loads", len(orders))
	for i := range orders {
		n := 0
		for _, o := range orders[i:] {
			if o.at.Sub(orders[i].at) < 5*time.Second {
				n++
			}
		}
		assert.Assert(t, n <= 11, "%d loads in five seconds", n)
	}
}

func TestAdapterComesWhenItIsWaitedFor(t *testing.T) {
	synctest.Test(t, testAdapterComesWhenItIsWaitedFor)
}

func testAdapterComesWhenItIsWaitedFor(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"})
	w.startWaitingFor("m0/a1")
	assert.Equal(t, w.engines.orders()[0].order.Adapter, "a1")
	w.run("published", func() bool {
		r := w.ask("m0/a1", 1, 0).Residency["e0"].Residents
		return len(r) == 1 && r[0].Has("a1")
	})
}

// TestAdapterOfALeavingEngineComesElsewhere checks that an adapter held only by a leaving engine is loaded on
// another one, since a leaving engine gets no requests.
func TestAdapterOfALeavingEngineComesElsewhere(t *testing.T) {
	synctest.Test(t, testAdapterOfALeavingEngineComesElsewhere)
}

func testAdapterOfALeavingEngineComesElsewhere(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"}, []string{"m0"})
	w.engines.engines["e0"].residents[0].Adapters = []string{"a1"}
	w.registry.Update(backend.Server{
		ID: "e0", Service: service, Hall: "h", Leaving: true,
		Residents: []backend.Resident{{Model: "m0", Adapters: []string{"a1"}}},
	}, w.clock.Now())
	w.startWaitingFor("m0/a1")
	assert.Equal(t, w.engines.orders()[0].server, "e1")
}

// TestAdapterOfAnEngineInNeedComesElsewhere checks that an adapter is loaded on another engine if its only
// engine limits its requests.
func TestAdapterOfAnEngineInNeedComesElsewhere(t *testing.T) {
	synctest.Test(t, testAdapterOfAnEngineInNeedComesElsewhere)
}

func testAdapterOfAnEngineInNeedComesElsewhere(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"}, []string{"m0"})
	w.engines.engines["e0"].residents[0].Adapters = []string{"a1"}
	w.inNeed = map[string]bool{"e0": true}
	w.startWaitingFor("m0/a1")
	assert.Equal(t, w.engines.orders()[0].server, "e1")
}

func TestLoadingAdaptersTakeSlots(t *testing.T) {
	synctest.Test(t, testLoadingAdaptersTakeSlots)
}

func testLoadingAdaptersTakeSlots(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"})
	w.engines.engines["e0"].coming = []backend.Adapter{{Model: "m0", Name: "a1"}, {Model: "m0", Name: "a2"}}
	w.startWaitingFor("m0/a3")
	assert.Assert(t, w.engines.orders()[0].order.Unload, "both slots are taken: one must be freed first")
}

func TestGatewaysAreSentTheList(t *testing.T) { synctest.Test(t, testGatewaysAreSentTheList) }

func testGatewaysAreSentTheList(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"})
	p := w.start(true)
	w.pass(5 * time.Second)
	p.Report(placer.Report{GatewayID: "g1", Addr: "a1", Hall: "h1", Loads: map[string]dispatch.Load{"e0": {Running: 2, PrefillMs: 30, UsedTokens: 5}}})
	a := p.Report(placer.Report{GatewayID: "g2", Addr: "a2", Hall: "h2", Loads: map[string]dispatch.Load{"e0": {Running: 7}}})
	assert.Equal(t, len(a.Gateways), 2)
	assert.Equal(t, a.Loads["e0"], dispatch.Load{Running: 2, PrefillMs: 30, UsedTokens: 5}, "others' load without the own")
	again := p.Report(placer.Report{GatewayID: "g2", Addr: "a2", GatewaysVersion: a.GatewaysVersion, ResidencyVersion: a.ResidencyVersion})
	assert.Equal(t, len(again.Gateways)+len(again.Residency), 0, "what is known is not sent again")
	assert.Equal(t, again.GatewaysVersion, a.GatewaysVersion)
	w.pass(3 * time.Second)
	a = p.Report(placer.Report{GatewayID: "g2", Addr: "a2", GatewaysVersion: a.GatewaysVersion})
	assert.Equal(t, len(a.Gateways), 1, "a gateway that was silent no longer counts")
}

// TestResidencyIsSentInParts checks that a gateway is sent what has changed since the version that it has,
// and everything if that version is of another term.
func TestResidencyIsSentInParts(t *testing.T) { synctest.Test(t, testResidencyIsSentInParts) }

func testResidencyIsSentInParts(t *testing.T) {
	w := newWorld(t, 2, []string{"m0"}, []string{"m0", "m1"})
	p := w.start(true)
	w.pass(5 * time.Second)
	a := p.Report(placer.Report{GatewayID: "g"})
	assert.Assert(t, a.Full && len(a.Residency) == 2, "%+v", a)
	w.ask("m1/a1", 0, 0)
	w.ask("m1/a1", 1, 1)
	p.Wake()
	w.run("adapter published", func() bool {
		a = p.Report(placer.Report{GatewayID: "g", ResidencyVersion: a.ResidencyVersion})
		r := a.Residency["e1"].Residents
		return len(r) == 2 && r[1].Has("a1")
	})
	assert.Assert(t, !a.Full && len(a.Residency) == 1, "%+v", a)
	w.lease.set(9)
	w.pass(5 * time.Second)
	a = p.Report(placer.Report{GatewayID: "g", ResidencyVersion: a.ResidencyVersion})
	assert.Assert(t, a.Full && len(a.Residency) == 2, "%+v", a)
}

// TestOldDemandIsNoNewDemand guards against counters of past demand that are taken for current demand by a
// new leader and cause moves.
func TestOldDemandIsNoNewDemand(t *testing.T) { synctest.Test(t, testOldDemandIsNoNewDemand) }

func testOldDemandIsNoNewDemand(t *testing.T) {
	w := newWorld(t, 2, []string{"m0", "m1"}, nil)
	p := w.start(true)
	w.pass(5 * time.Second)
	old := map[string]dispatch.Demand{"m1": {Arrived: 1_000_000, WorkTokens: 1_000_000_000, Service: service}}
	p.Report(placer.Report{GatewayID: "g"})
	p.Report(placer.Report{GatewayID: "g", Demands: old, Full: true})
	w.pass(2 * time.Second)
	assert.Equal(t, len(w.engines.orders()), 0)
}

// TestDemandIsSentInParts checks that demand omitted from a report is unchanged.
func TestDemandIsSentInParts(t *testing.T) { synctest.Test(t, testDemandIsSentInParts) }

func testDemandIsSentInParts(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"})
	p := w.start(true)
	w.pass(5 * time.Second)
	w.ask("m0/a1", 0, 0)
	w.ask("m0/a1", 1, 1)
	p.Report(placer.Report{GatewayID: "g"})
	p.Wake()
	w.run("adapter", w.ordered(1))
	assert.Equal(t, w.engines.orders()[0].order.Adapter, "a1")
}

// TestUnloadThatDoesNotEndHoldsUpNoOther checks that an engine whose unload never completes does not block a
// model: the model is loaded on another engine, and so are the other models.
func TestUnloadThatDoesNotEndHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, testUnloadThatDoesNotEndHoldsUpNoOther)
}

func testUnloadThatDoesNotEndHoldsUpNoOther(t *testing.T) {
	full := []string{"m0", "m1", "m2"}
	w := newWorld(t, 7, full, full, full, full, full, full)
	stuck := []string{"e0", "e1", "e2"}
	for _, id := range stuck {
		w.engines.engines[id].runs = true
	}
	w.start(true)
	w.run("every model is held", func() bool {
		held := make(map[string]bool)
		for id, e := range w.ask("m0", 0, 0).Residency {
			for _, r := range e.Residents {
				held[r.Model] = held[r.Model] || !slices.Contains(stuck, id)
			}
		}
		return len(held) == len(w.spec.Models)
	})
}

// TestAnotherRunOfAnEngine checks a report from another incarnation of an engine than the registered one: the
// engine gets no order and is published as empty. Once the new incarnation is registered, its sequence
// numbers start at 0.
func TestAnotherRunOfAnEngine(t *testing.T) { synctest.Test(t, testAnotherRunOfAnEngine) }

func testAnotherRunOfAnEngine(t *testing.T) {
	w := newWorld(t, 2, []string{"m0", "m1"})
	former := backend.Server{ID: "e0@1", Instance: "e0", Service: service, Hall: "h"}
	w.engines.engines[former.ID] = w.engines.engines["e0"]
	w.registry.Replace([]backend.Server{former}, w.clock.Now())
	w.start(true)
	held := func(id string, models int) func() bool {
		return func() bool {
			r, ok := w.ask("m1", 0, 0).Residency[id]
			return ok && len(r.Residents) == models
		}
	}
	w.run("the engine is known", held("e0@1", 2))
	restarted := &fakeEngine{serverID: "e0@2"}
	w.engines.engines[former.ID] = restarted
	w.run("the former run holds nothing", held("e0@1", 0))
	w.pass(5 * time.Second)
	assert.Equal(t, len(w.engines.orders()), 0, "no order goes to a run that is over")
	now := former
	now.ID = restarted.serverID
	w.engines.engines[now.ID] = restarted
	w.registry.Replace([]backend.Server{now}, w.clock.Now())
	w.run("the other run is loaded", held("e0@2", 2))
	first := w.engines.orders()[0]
	assert.Equal(t, first.server, "e0@2")
	assert.Equal(t, first.order.Sequence, 0)
}
