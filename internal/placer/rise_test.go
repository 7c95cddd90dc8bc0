package placer_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRiseWithinASecond plays six models on ten engines of three places, 30 gateways and a rise of the demand for m5 to
// seven times its rate, at once or within a second. Its callers are refused until further replicas are loaded. It guards
// against an estimate that follows so slowly that the rise is missing in the next plan: the eviction for the first new
// replica has to be ordered 0.5 s after the rise began, 350 ms of which are the notice of the eviction, and its load
// within a second.
func TestRiseWithinASecond(t *testing.T) {
	steady := map[string]float64{"m0": 100, "m1": 80, "m2": 40, "m3": 30, "m4": 20, "m5": 40}
	with := func(rate float64) map[string]float64 {
		rates := make(map[string]float64)
		for m, r := range steady {
			rates[m] = r
		}
		rates["m5"] = rate
		return rates
	}
	tests := map[string]struct {
		play func(l *load)
	}{
		"at once": {play: func(l *load) { l.run(6*time.Second, with(280)) }},
		"within a second": {play: func(l *load) {
			l.run(450*time.Millisecond, with(120))
			l.run(450*time.Millisecond, with(200))
			l.run(5*time.Second, with(280))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var held [][]string
				for range 10 {
					held = append(held, []string{"m0", "m1", "m2"})
				}
				for i := range 4 {
					held[i] = []string{"m3", "m4", "m5"}
				}
				f := newFixture(t, 6, held...)
				f.maxCountedSlots = 24
				f.setSlots(24)
				f.start(true)
				l := newLoad(f, 30)
				l.run(60*time.Second, steady)
				issued, start := len(f.engines.orders()), f.clock.Now()
				test.play(l)
				orders := f.engines.orders()[issued:]
				load := slices.IndexFunc(orders, func(o issuedOrder) bool { return !o.order.Unload && o.order.Model == "m5" })
				assert.Assert(t, load >= 0)
				t.Logf("first order after %v, load of m5 ordered after %v", orders[0].at.Sub(start), orders[load].at.Sub(start))
				assert.Assert(t, orders[0].at.Sub(start) <= 500*time.Millisecond)
				assert.Assert(t, orders[load].at.Sub(start) <= time.Second)
				f.checkModelsHeld(t)
			})
		})
	}
}
