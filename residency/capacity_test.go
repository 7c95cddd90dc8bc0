package residency

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPlanWithSpeeds guards against busy models on slow engines while fast ones are free, and against slow replicas that
// count as whole ones.
func TestPlanWithSpeeds(t *testing.T) {
	tests := map[string]struct {
		sizes   []float64
		held    [][]string
		factors []float64
		rates   []float64
		// want is the engine of the first move, empty for no move.
		want string
	}{
		"busy model goes to the fast engine":  {sizes: []float64{60, 60}, held: [][]string{{"m1"}, {"m1"}}, factors: []float64{1.6, 0.6}, rates: []float64{1000, 1}, want: "e1"},
		"equal engines":                       {sizes: []float64{60, 60}, held: [][]string{{"m1"}, {"m1"}}, factors: []float64{1, 1}, rates: []float64{1000, 1}, want: "e0"},
		"replicas on all engines, all slower": {sizes: []float64{60}, held: [][]string{{"m0"}, {"m0"}}, factors: []float64{2, 2}, rates: []float64{1000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := engines(test.held...)
			for i, factor := range test.factors {
				list[i].TimeFactor = factor
			}
			moves := Plan(Input{Spec: spec(test.sizes...), Engines: list, Demands: demands(test.rates...), StoreLoadsAllowed: 5})
			got := ""
			if len(moves) > 0 {
				got = moves[0].Engine
			}
			assert.Equal(t, got, test.want, "%v", moves)
		})
	}
}

// TestSlowReplicasCountLess guards against a plan that takes a slow replica for a whole one, or that evicts what it has
// just loaded.
func TestSlowReplicasCountLess(t *testing.T) {
	p := &plan{replicas: map[string]int{"m0": 3}, targets: map[string]int{"m0": 2}, capacity: map[string]float64{"m0": 1/0.6 + 1 + 1/1.6}}
	slow, fast := &EngineView{TimeFactor: 1.6}, &EngineView{TimeFactor: 0.6}
	assert.Equal(t, p.evictable(slow, "m0", "m1"), true, "the other two have enough capacity")
	p.replicas["m1"] = 1
	assert.Equal(t, p.evictable(fast, "m0", "m1"), true)
	p.capacity["m0"] = 1 + 1/0.6
	assert.Equal(t, p.evictable(fast, "m0", "m1"), false)
}

// TestFactorOneChangesNoPlan guards against any effect of factors where all engines are equal.
func TestFactorOneChangesNoPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec(60, 60, 40, 40, 20)
		list := drawEngines(t, s)
		rates := rapid.SliceOfN(rapid.Float64Range(0, 1000), 5, 5).Draw(t, "rates")
		in := Input{Spec: s, Engines: append([]EngineView(nil), list...), Demands: demands(rates...), StoreLoadsAllowed: 5}
		want := Plan(in)
		for i := range list {
			list[i].TimeFactor = 1
		}
		in.Engines = list
		assert.DeepEqual(t, Plan(in), want)
	})
}
