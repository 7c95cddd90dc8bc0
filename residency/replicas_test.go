package residency_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/residency"
	"rockcleat/table"
)

// plainTargets divides memory as Copies is defined to: each next copy goes to the
// model with the greatest weight for its copies among those that still fit.
func plainTargets(spec *table.EngineSpec, demands map[string]residency.Demand, engines int) map[string]int {
	copies := make(map[string]int)
	room := spec.WeightsMB * float64(engines)
	for _, m := range spec.Models {
		copies[m.Name] = 1
		room -= m.WeightsMB
	}
	for {
		best, bestShare := -1, 0.0
		for i, m := range spec.Models {
			n := copies[m.Name]
			share := demands[m.Name].TokensPerSecond / (float64(n) + 0.5)
			if n < engines && m.WeightsMB <= room && share > bestShare {
				best, bestShare = i, share
			}
		}
		if best < 0 {
			return copies
		}
		copies[spec.Models[best].Name]++
		room -= spec.Models[best].WeightsMB
	}
}

func TestReplicaTargetsAsDefined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sizes, weights []float64
		for range rapid.IntRange(1, 12).Draw(t, "models") {
			sizes = append(sizes, float64(rapid.IntRange(40, 80).Draw(t, "size")))
			weights = append(weights, float64(rapid.IntRange(0, 50).Draw(t, "weight")))
		}
		engines := rapid.IntRange(1, 20).Draw(t, "engines")
		s, w := spec(sizes...), demands(weights...)
		assert.DeepEqual(t, residency.ReplicaTargets(s, w, engines), plainTargets(s, w, engines))
	})
}

// BenchmarkReplicaTargets divides the memory of 300 engines among 160 models.
func BenchmarkReplicaTargets(b *testing.B) {
	var sizes, weights []float64
	for i := range 160 {
		sizes = append(sizes, 42+float64(i%30))
		weights = append(weights, 1000/float64(i+1))
	}
	s, w := spec(sizes...), demands(weights...)
	for b.Loop() {
		residency.ReplicaTargets(s, w, 300)
	}
}

// BenchmarkPlan plans for 300 engines and 160 models while demand moves.
func BenchmarkPlan(b *testing.B) {
	var sizes, weights []float64
	for i := range 160 {
		sizes = append(sizes, 42+float64(i%30))
		weights = append(weights, 1000/float64((i+40)%160+1))
	}
	held := make([][]string, 300)
	for i := range held {
		held[i] = []string{fmt.Sprint("m", i%160), fmt.Sprint("m", (i*7+3)%160), fmt.Sprint("m", (i*3+1)%40)}
	}
	in := residency.Input{Spec: spec(sizes...), Engines: engines(held...), Demands: demands(weights...), StoreLoadsAllowed: 2}
	for b.Loop() {
		residency.Plan(in)
	}
}
