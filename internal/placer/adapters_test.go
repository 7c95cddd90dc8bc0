package placer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

func TestAdapterIsLoadedWhenRequested(t *testing.T) {
	synctest.Test(t, testAdapterIsLoadedWhenRequested)
}

func testAdapterIsLoadedWhenRequested(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"})
	f.startWithWaitingRequest("m0/a1")
	assert.Equal(t, f.engines.orders()[0].order.Adapter, "a1")
	f.waitUntil("published", func() bool {
		r := f.reportDemand("m0/a1", 1, 0).Residency["e0"].Residents
		return len(r) == 1 && r[0].Has("a1")
	})
}

// TestAdapterOfALeavingEngineIsLoadedElsewhere checks that an adapter held only by a leaving engine is loaded
// on another one, since a leaving engine gets no requests.
func TestAdapterOfALeavingEngineIsLoadedElsewhere(t *testing.T) {
	synctest.Test(t, testAdapterOfALeavingEngineIsLoadedElsewhere)
}

func testAdapterOfALeavingEngineIsLoadedElsewhere(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"}, []string{"m0"})
	f.engines.engines["e0"].residents[0].Adapters = []string{"a1"}
	f.registry.Update(backend.Server{
		ID: "e0", Service: service, Hall: "h", Leaving: true,
		Residents: []backend.Resident{{Model: "m0", Adapters: []string{"a1"}}},
	}, f.clock.Now())
	f.startWithWaitingRequest("m0/a1")
	assert.Equal(t, f.engines.orders()[0].server, "e1")
}

// TestAdapterOfAThrottledEngineIsLoadedElsewhere checks that an adapter held only by a throttled engine is
// loaded on another one.
func TestAdapterOfAThrottledEngineIsLoadedElsewhere(t *testing.T) {
	synctest.Test(t, testAdapterOfAThrottledEngineIsLoadedElsewhere)
}

func testAdapterOfAThrottledEngineIsLoadedElsewhere(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"}, []string{"m0"})
	f.engines.engines["e0"].residents[0].Adapters = []string{"a1"}
	f.throttled = map[string]bool{"e0": true}
	f.startWithWaitingRequest("m0/a1")
	assert.Equal(t, f.engines.orders()[0].server, "e1")
}

// TestOrdersGoOnAfterTheLeaseIsBack guards against a leader that gives no order any more since one was not sent while the
// lease had expired, and a late answer to a renewal brought it back.
func TestOrdersGoOnAfterTheLeaseIsBack(t *testing.T) {
	synctest.Test(t, testOrdersGoOnAfterTheLeaseIsBack)
}

func testOrdersGoOnAfterTheLeaseIsBack(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"})
	f.engines.engines["e0"].residents[0].Adapters = []string{"a1", "a2"}
	f.engines.respond = func(n int, _ backend.Order) (backend.OrderOutcome, bool, error) {
		if n == 1 {
			f.lease.set(0)
		}
		return backend.OrderAccepted, true, nil
	}
	f.startWithWaitingRequest("m0/a3")
	assert.Assert(t, f.engines.orders()[0].order.Unload)
	f.advance(400 * time.Millisecond)
	assert.Equal(t, len(f.engines.orders()), 1, "an order without the lease")
	f.lease.set(7)
	f.waitUntil("adapter", func() bool {
		f.reportDemand("m0/a3", 1, 1)
		orders := f.engines.orders()
		last := orders[len(orders)-1].order
		return !last.Unload && last.Adapter == "a3"
	})
}

func TestLoadingAdaptersTakeSlots(t *testing.T) {
	synctest.Test(t, testLoadingAdaptersTakeSlots)
}

func testLoadingAdaptersTakeSlots(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"})
	f.engines.engines["e0"].loadingAdapters = []backend.Adapter{{Model: "m0", Name: "a1"}, {Model: "m0", Name: "a2"}}
	f.startWithWaitingRequest("m0/a3")
	assert.Assert(t, f.engines.orders()[0].order.Unload, "both slots are taken: one must be freed first")
}
