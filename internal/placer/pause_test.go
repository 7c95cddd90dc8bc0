package placer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPausedEngineGetsNoCalls checks that an engine that accepts no requests gets neither orders nor requests for its
// report, and that what is missing is loaded on another engine, or there afterwards.
func TestPausedEngineGetsNoCalls(t *testing.T) {
	tests := map[string]struct {
		target string
		held   [][]string
		// fromStart is set if the engine pauses from the start, so that nothing is known about it.
		fromStart bool
		// want is the engine that loads the target during the pause; empty if none does.
		want string
	}{
		"model, another engine is free":   {target: "m1", held: [][]string{{"m0"}, {"m0"}}, fromStart: true, want: "e1"},
		"model, no other engine":          {target: "m1", held: [][]string{{"m0"}}, fromStart: true},
		"adapter, another engine is free": {target: "m0/a1", held: [][]string{{"m0"}, {"m0"}}, want: "e1"},
		"adapter, no other engine":        {target: "m0/a1", held: [][]string{{"m0"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 2, test.held...)
				f.paused = map[string]bool{"e0": test.fromStart}
				p := f.start(true)
				if !test.fromStart {
					f.advance(5 * time.Second)
				}
				f.paused["e0"] = true
				f.engines.reports = 0
				before := len(f.engines.orders())
				f.reportDemand(test.target, 0, 0)
				f.reportDemand(test.target, 1, 1)
				p.Wake()
				f.advance(8 * time.Second)
				var got string
				for _, o := range f.engines.orders()[before:] {
					assert.Assert(t, o.server != "e0", "an order reached the paused engine")
					got = o.server
				}
				assert.Equal(t, got, test.want)
				if test.want == "" {
					assert.Equal(t, f.engines.reports, 0, "the paused engine was asked for reports")
					f.paused["e0"] = false
					f.reportDemand(test.target, 2, 2)
					f.waitUntil("the load after the pause", f.ordersIssued(before+1))
				}
			})
		})
	}
}
