package placer_test

import (
	"errors"
	"fmt"
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
	f := newFixture(t, 2, []string{"m0"})
	f.start(true)
	f.waitUntil("load", f.ordersIssued(1))
	o := f.engines.orders()[0]
	assert.Equal(t, o.order.Model, "m1")
	assert.Equal(t, o.order.Sequence, 0)
	assert.Assert(t, o.order.Fence > 0)
	f.advance(5 * time.Second)
	assert.Equal(t, len(f.engines.orders()), 1)
	reply := f.reportDemand("m1", 0, 0)
	assert.Equal(t, len(reply.Residency["e0"].Residents), 2)
}

func TestOrderWithoutAnswerIsIssuedAgainUnderTheSameSequence(t *testing.T) {
	tests := map[string]struct{ done bool }{"it was done": {done: true}, "it was not done": {}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 2, []string{"m0"})
				f.engines.respond = func(n int, _ backend.Order) (backend.OrderOutcome, bool, error) {
					if n == 1 {
						return backend.OrderUnanswered, test.done, errors.New("no answer")
					}
					return backend.OrderAccepted, true, nil
				}
				f.start(true)
				f.waitUntil("first order", f.ordersIssued(1))
				f.waitUntil("model there", func() bool { return len(f.reportDemand("m1", 0, 0).Residency["e0"].Residents) == 2 })
				f.advance(3 * time.Second)
				loads := 0
				for _, issued := range f.engines.orders() {
					assert.Equal(t, issued.order.Sequence, 0, "a late order and a repeated one must not both count")
					loads++
				}
				assert.Assert(t, loads <= 2)
			})
		})
	}
}

func TestLaterLeaderSettles(t *testing.T) {
	synctest.Test(t, testLaterLeaderSettles)
}

func testLaterLeaderSettles(t *testing.T) {
	f := newFixture(t, 2, []string{"m0"})
	start := f.clock.Now()
	f.lease.seenOther = true
	f.start(true)
	f.waitUntil("load", f.ordersIssued(1))
	assert.Assert(t, f.engines.orders()[0].at.Sub(start) >= ttl)
}

// TestSettlingCountsWhatTheLastLeaderReplied checks how the replies of the previous leader shorten the settle
// time.
func TestSettlingCountsWhatTheLastLeaderReplied(t *testing.T) {
	tests := map[string]struct {
		say   func(f *fixture, p *placer.Placer)
		waits bool
	}{
		"said for long that it gives none": {say: func(f *fixture, p *placer.Placer) {
			for range 40 {
				p.RecordPeerReply("last", true)
				f.advance(100 * time.Millisecond)
			}
		}},
		"said so once": {waits: true, say: func(_ *fixture, p *placer.Placer) { p.RecordPeerReply("last", true) }},
		"did not answer in between": {waits: true, say: func(f *fixture, p *placer.Placer) {
			for i := range 40 {
				p.RecordPeerReply("last", i != 38)
				f.advance(100 * time.Millisecond)
			}
		}},
		"another said so": {waits: true, say: func(f *fixture, p *placer.Placer) {
			for range 40 {
				p.RecordPeerReply("other", true)
				f.advance(100 * time.Millisecond)
			}
		}},
		"said so long ago": {waits: true, say: func(f *fixture, p *placer.Placer) {
			for range 40 {
				p.RecordPeerReply("last", true)
				f.advance(100 * time.Millisecond)
			}
			f.advance(2 * time.Second)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 2, []string{"m0"})
				f.lease.seenOther = true
				f.lease.set(0)
				p := f.start(true)
				test.say(f, p)
				start := f.clock.Now()
				f.lease.set(7)
				f.waitUntil("load", f.ordersIssued(1))
				waited := f.engines.orders()[0].at.Sub(start) >= ttl
				assert.Equal(t, waited, test.waits)
			})
		})
	}
}

func TestNoOrderWithoutTheLease(t *testing.T) { synctest.Test(t, testNoOrderWithoutTheLease) }

func testNoOrderWithoutTheLease(t *testing.T) {
	f := newFixture(t, 2, []string{"m0", "m1"})
	f.start(true)
	f.advance(6 * time.Second)
	assert.Equal(t, len(f.engines.orders()), 0)
	f.lease.set(0)
	f.registry.Update(backend.Server{ID: "e0", Service: service}, f.clock.Now())
	f.engines.mu.Lock()
	f.engines.engines["e0"].residents = nil
	f.engines.mu.Unlock()
	f.advance(5 * time.Second)
	assert.Equal(t, len(f.engines.orders()), 0)
	assert.Assert(t, !f.reportDemand("m0", 1, 1).IsLeader)
}

func TestFencedLeaderStops(t *testing.T) { synctest.Test(t, testFencedLeaderStops) }

func testFencedLeaderStops(t *testing.T) {
	f := newFixture(t, 2, []string{"m0"})
	f.engines.engines["e0"].fence = 1 << 40
	f.start(true)
	f.waitUntil("load", f.ordersIssued(1))
	f.advance(6 * time.Second)
	assert.Equal(t, len(f.engines.orders()), 1, "no further order under a token that was refused")
}

// TestFencedLeaderMakesRoom guards against a leader that keeps the lease although it may issue no order.
func TestFencedLeaderMakesRoom(t *testing.T) { synctest.Test(t, testFencedLeaderMakesRoom) }

func testFencedLeaderMakesRoom(t *testing.T) {
	f := newFixture(t, 2, []string{"m0"})
	f.engines.engines["e0"].fence = 8
	f.start(true)
	f.waitUntil("load", f.ordersIssued(1))
	f.advance(500 * time.Millisecond)
	_, held := f.lease.Held()
	assert.Assert(t, !held, "the lease is kept")
	f.lease.set(9)
	f.waitUntil("load in the next term", f.ordersIssued(2))
	assert.Equal(t, f.engines.orders()[1].order.Fence, int64(9))
}

// TestStoreLoadsStayWithinTheRate checks that the loads started in any five seconds stay within the store's
// rate and a small burst.
func TestStoreLoadsStayWithinTheRate(t *testing.T) {
	t.Run("one service", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { testStoreLoadsStayWithinTheRate(t, false) })
	})
	t.Run("two services", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { testStoreLoadsStayWithinTheRate(t, true) })
	})
}

func testStoreLoadsStayWithinTheRate(t *testing.T, second bool) {
	held := make([][]string, 12)
	held[0] = []string{"m0", "m1", "m2"}
	f := newFixture(t, 3, held...)
	f.spec.LoadsPerSecond = 2
	f.secondService = second
	p := f.start(true)
	arrived := 0
	for range 200 {
		arrived += 10
		f.reportDemand("m0", arrived, 1)
		p.Wake()
		p.Wake()
		f.advance(100 * time.Millisecond)
	}
	orders := f.engines.orders()
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

func TestGatewaysAreSentTheList(t *testing.T) { synctest.Test(t, testGatewaysAreSentTheList) }

func testGatewaysAreSentTheList(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"})
	p := f.start(true)
	f.advance(5 * time.Second)
	p.Report(placer.Report{GatewayID: "g1", Addr: "a1", Hall: "h1", Loads: map[string]dispatch.Load{"e0": {Running: 2, PrefillMs: 30, UsedTokens: 5}}})
	reply := p.Report(placer.Report{GatewayID: "g2", Addr: "a2", Hall: "h2", Loads: map[string]dispatch.Load{"e0": {Running: 7}}})
	assert.Equal(t, len(reply.Gateways), 2)
	assert.Equal(t, reply.Loads["e0"], dispatch.Load{Running: 2, PrefillMs: 30, UsedTokens: 5}, "others' load without the own")
	again := p.Report(placer.Report{GatewayID: "g2", Addr: "a2", GatewaysVersion: reply.GatewaysVersion, ResidencyVersion: reply.ResidencyVersion})
	assert.Equal(t, len(again.Gateways)+len(again.Residency), 0, "what is known is not sent again")
	assert.Equal(t, again.GatewaysVersion, reply.GatewaysVersion)
	f.advance(3 * time.Second)
	reply = p.Report(placer.Report{GatewayID: "g2", Addr: "a2", GatewaysVersion: reply.GatewaysVersion})
	assert.Equal(t, len(reply.Gateways), 1, "a gateway that was silent no longer counts")
}

// TestResidencyIsSentInParts checks that a gateway is sent the engines that have changed since the version
// that it has, and all engines if that version belongs to another term.
func TestResidencyIsSentInParts(t *testing.T) { synctest.Test(t, testResidencyIsSentInParts) }

func testResidencyIsSentInParts(t *testing.T) {
	f := newFixture(t, 2, []string{"m0"}, []string{"m0", "m1"})
	p := f.start(true)
	f.advance(5 * time.Second)
	reply := p.Report(placer.Report{GatewayID: "g"})
	assert.Assert(t, reply.Full && len(reply.Residency) == 2, "%+v", reply)
	f.reportDemand("m1/a1", 0, 0)
	f.reportDemand("m1/a1", 1, 1)
	p.Wake()
	f.waitUntil("adapter published", func() bool {
		reply = p.Report(placer.Report{GatewayID: "g", ResidencyVersion: reply.ResidencyVersion})
		r := reply.Residency["e1"].Residents
		return len(r) == 2 && r[1].Has("a1")
	})
	assert.Assert(t, !reply.Full && len(reply.Residency) == 1, "%+v", reply)
	f.lease.set(9)
	f.advance(5 * time.Second)
	reply = p.Report(placer.Report{GatewayID: "g", ResidencyVersion: reply.ResidencyVersion})
	assert.Assert(t, reply.Full && len(reply.Residency) == 2, "%+v", reply)
}

// TestPastDemandIsNotCounted guards against a new leader that takes counters of past demand for current
// demand and plans moves.
func TestPastDemandIsNotCounted(t *testing.T) { synctest.Test(t, testPastDemandIsNotCounted) }

func testPastDemandIsNotCounted(t *testing.T) {
	f := newFixture(t, 2, []string{"m0", "m1"}, nil)
	p := f.start(true)
	f.advance(5 * time.Second)
	old := map[string]dispatch.Demand{"m1": {Arrived: 1_000_000, WorkTokens: 1_000_000_000, Service: service}}
	p.Report(placer.Report{GatewayID: "g"})
	p.Report(placer.Report{GatewayID: "g", Demands: old, Full: true})
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.engines.orders()), 0)
}

// TestDemandIsSentInParts checks that demand omitted from a report is unchanged.
func TestDemandIsSentInParts(t *testing.T) { synctest.Test(t, testDemandIsSentInParts) }

func testDemandIsSentInParts(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"})
	p := f.start(true)
	f.advance(5 * time.Second)
	f.reportDemand("m0/a1", 0, 0)
	f.reportDemand("m0/a1", 1, 1)
	p.Report(placer.Report{GatewayID: "g"})
	p.Wake()
	f.waitUntil("adapter", f.ordersIssued(1))
	assert.Equal(t, f.engines.orders()[0].order.Adapter, "a1")
}

// TestStuckUnloadBlocksNoOtherLoad checks that a load that waits for an unload which never completes is
// planned on another engine, and that it does not delay the loads of other models.
func TestStuckUnloadBlocksNoOtherLoad(t *testing.T) {
	synctest.Test(t, testStuckUnloadBlocksNoOtherLoad)
}

func testStuckUnloadBlocksNoOtherLoad(t *testing.T) {
	full := []string{"m0", "m1", "m2"}
	f := newFixture(t, 7, full, full, full, full, full, full)
	stuck := []string{"e0", "e1", "e2"}
	for _, id := range stuck {
		f.engines.engines[id].blockUnload = true
	}
	f.start(true)
	f.waitUntil("every model is held", func() bool {
		held := make(map[string]bool)
		for id, e := range f.reportDemand("m0", 0, 0).Residency {
			for _, r := range e.Residents {
				held[r.Model] = held[r.Model] || !slices.Contains(stuck, id)
			}
		}
		return len(held) == len(f.spec.Models)
	})
}

// TestAnotherIncarnationOfAnEngine checks a report from another server instance than the registered one: the
// registered instance gets no order and is published as empty. Once the new instance is registered, its
// sequence numbers start at 0.
func TestAnotherIncarnationOfAnEngine(t *testing.T) {
	synctest.Test(t, testAnotherIncarnationOfAnEngine)
}

func testAnotherIncarnationOfAnEngine(t *testing.T) {
	f := newFixture(t, 2, []string{"m0", "m1"})
	former := backend.Server{ID: "e0@1", Instance: "e0", Service: service, Hall: "h"}
	f.engines.engines[former.ID] = f.engines.engines["e0"]
	f.registry.Replace([]backend.Server{former}, f.clock.Now())
	f.start(true)
	held := func(id string, models int) func() bool {
		return func() bool {
			r, ok := f.reportDemand("m1", 0, 0).Residency[id]
			return ok && len(r.Residents) == models
		}
	}
	f.waitUntil("the engine is known", held("e0@1", 2))
	restarted := &fakeEngine{serverID: "e0@2"}
	f.engines.engines[former.ID] = restarted
	f.waitUntil("the former run holds nothing", held("e0@1", 0))
	f.advance(5 * time.Second)
	assert.Equal(t, len(f.engines.orders()), 0, "no order goes to a run that is over")
	current := former
	current.ID = restarted.serverID
	f.engines.engines[current.ID] = restarted
	f.registry.Replace([]backend.Server{current}, f.clock.Now())
	f.waitUntil("the other run is loaded", held("e0@2", 2))
	first := f.engines.orders()[0]
	assert.Equal(t, first.server, "e0@2")
	assert.Equal(t, first.order.Sequence, 0)
}

// TestModelsOfAnEvacuatedHallAreLoadedElsewhere checks that a model held only by an engine in an evacuated data hall is
// loaded on an engine in another hall, and that nothing is loaded in the evacuated one.
func TestModelsOfAnEvacuatedHallAreLoadedElsewhere(t *testing.T) {
	synctest.Test(t, testModelsOfAnEvacuatedHallAreLoadedElsewhere)
}

func testModelsOfAnEvacuatedHallAreLoadedElsewhere(t *testing.T) {
	f := newFixture(t, 2, []string{"m0"}, []string{"m1"})
	var servers []backend.Server
	for i, hall := range []string{"stays", "leaves"} {
		servers = append(servers, backend.Server{
			ID: fmt.Sprint("e", i), Service: service, Hall: hall, Residents: []backend.Resident{{Model: fmt.Sprint("m", i)}},
		})
	}
	f.registry.Replace(servers, f.clock.Now())
	f.registry.SetEvacuated(map[string]bool{"leaves": true}, f.clock.Now())
	f.start(true)
	f.waitUntil("load", f.ordersIssued(1))
	f.advance(5 * time.Second)
	for _, o := range f.engines.orders() {
		assert.Equal(t, o.server, "e0")
		assert.Equal(t, o.order.Model, "m1")
	}
}
