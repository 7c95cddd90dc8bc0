package placer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/dispatch"
	"rockcleat/internal/placer"
)

// TestAdapterOfAnUnloadingModelIsLoadedElsewhere checks that an adapter is loaded on another engine as soon as the only
// engine that holds it is about to unload its model, so that requests for it do not wait for the end of the unload.
func TestAdapterOfAnUnloadingModelIsLoadedElsewhere(t *testing.T) {
	synctest.Test(t, testAdapterOfAnUnloadingModelIsLoadedElsewhere)
}

func testAdapterOfAnUnloadingModelIsLoadedElsewhere(t *testing.T) {
	f := newFixture(t, 4, []string{"m0", "m1", "m2"}, []string{"m0", "m1", "m2"})
	f.engines.engines["e0"].residents[0].Adapters = []string{"a1"}
	f.engines.engines["e0"].blockUnload = true
	p := f.start(true)
	report := func(n int) {
		demands := map[string]dispatch.Demand{"m0/a1": {Arrived: n, WorkTokens: n * 10, Waiting: 1, Service: service}}
		for _, name := range []string{"m1", "m2"} {
			demands[name] = dispatch.Demand{Arrived: n, WorkTokens: n * 100_000, Service: service}
		}
		if n > 20 {
			demands["m3"] = dispatch.Demand{Arrived: n, WorkTokens: n * 100_000, Waiting: 3, Service: service}
		}
		p.Report(placer.Report{GatewayID: "g", Demands: demands})
	}
	unloads, loadedElsewhere := false, false
	for n := range 100 {
		report(n)
		f.advance(100 * time.Millisecond)
		for _, o := range f.engines.orders() {
			unloads = unloads || o.server == "e0" && o.order.Unload && o.order.Model == "m0"
			loadedElsewhere = loadedElsewhere || o.server == "e1" && o.order.Adapter == "a1"
		}
	}
	assert.Assert(t, unloads, "the engine is to unload the model: %v", f.engines.orders())
	assert.Assert(t, loadedElsewhere, "the adapter is not loaded on the other engine: %v", f.engines.orders())
}
