package residency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/residency"
	"rockcleat/table"
)

// lostSpec returns a specification of engines with three places and n models.
func lostSpec(n int) *table.EngineSpec {
	spec := &table.EngineSpec{WeightsMB: 180}
	for i := range n {
		spec.Models = append(spec.Models, table.ModelSpec{Name: fmt.Sprint("m", i), WeightsMB: 60})
	}
	return spec
}

// views returns idle engines that hold the named models.
func views(held ...[]string) []residency.EngineView {
	var out []residency.EngineView
	for i, names := range held {
		e := residency.EngineView{ID: fmt.Sprint("e", i), Hall: "h", Idle: true}
		for _, m := range names {
			e.Residents = append(e.Residents, backend.Resident{Model: m})
		}
		out = append(out, e)
	}
	return out
}

// TestLostReplicasComeFirst plays the loss of an engine that held replicas in use while the demand for m0 grows and the
// weight store accepts one load at a time. It guards against replicas for growing demand, or replicas of models that
// are not requested, before those that were lost.
func TestLostReplicasComeFirst(t *testing.T) {
	demands := map[string]residency.Demand{"m0": {TokensPerSecond: 9000}, "m1": {TokensPerSecond: 3000}, "m2": {TokensPerSecond: 2000}}
	tests := map[string]struct {
		lost map[string]float64
		held [][]string
		want string
	}{
		"none lost: by demand": {held: [][]string{{"m0", "m1", "m2"}, {"m3"}, {}, {}}, want: "m0"},
		"one lost":             {lost: map[string]float64{"m2": 1000}, held: [][]string{{"m0", "m1", "m2"}, {"m3"}, {}, {}}, want: "m2"},
		"two lost: by use":     {lost: map[string]float64{"m2": 1000, "m1": 1500}, held: [][]string{{"m0", "m1", "m2"}, {"m3"}, {}, {}}, want: "m1"},
		"a last replica that is not requested": {
			lost: map[string]float64{"m2": 1000}, held: [][]string{{"m0", "m1", "m2"}, {}, {}, {}}, want: "m2",
		},
		"a last replica with more use": {
			lost: map[string]float64{"m2": 1000, "m1": 3000}, held: [][]string{{"m0", "m2"}, {"m3"}, {}, {}}, want: "m1",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			moves := residency.Plan(residency.Input{
				Spec: lostSpec(4), Engines: views(test.held...), Demands: demands, Lost: test.lost, StoreLoadsAllowed: 1,
			})
			assert.Equal(t, len(moves), 1)
			assert.Equal(t, moves[0].Model, test.want)
		})
	}
}

// TestLostReplicasEvictNoLastReplica plays random losses and demands on full engines. It guards against plans that, to
// replace lost replicas, exceed the weight store's rate or evict the last replica of a model that needs one.
func TestLostReplicasEvictNoLastReplica(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		spec := lostSpec(6)
		var held [][]string
		for range 3 + r.IntN(5) {
			var names []string
			for _, i := range r.Perm(6)[:r.IntN(4)] {
				names = append(names, fmt.Sprint("m", i))
			}
			held = append(held, names)
		}
		engines := views(held...)
		demands, lost, replicas := make(map[string]residency.Demand), make(map[string]float64), make(map[string]int)
		for _, m := range spec.Models {
			demands[m.Name] = residency.Demand{TokensPerSecond: float64(r.IntN(3) * r.IntN(10_000)), Waiting: r.IntN(2)}
			if r.IntN(2) == 0 {
				lost[m.Name] = float64(r.IntN(5000))
			}
			for _, names := range held {
				for _, n := range names {
					if n == m.Name {
						replicas[n]++
					}
				}
			}
		}
		allowed := r.IntN(3)
		moves := residency.Plan(residency.Input{Spec: spec, Engines: engines, Demands: demands, Lost: lost, StoreLoadsAllowed: allowed})
		assert.Assert(t, len(moves) <= allowed, "%d loads, %d allowed", len(moves), allowed)
		for _, move := range moves {
			for _, m := range move.Evictions {
				replicas[m]--
				assert.Assert(t, replicas[m] > 0, "last replica of %s evicted: %v of %v", m, moves, held)
			}
		}
	}
}
