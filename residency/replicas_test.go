package residency

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/table"
)

func TestReplicaTargets(t *testing.T) {
	tests := map[string]struct {
		sizes      []float64
		demands    map[string]Demand
		residences map[string]loadPolicy
		engines    int
		want       []int
	}{
		"one copy each without demand":  {sizes: []float64{60, 60, 60}, engines: 4, want: []int{1, 1, 1}},
		"the rest to what is asked for": {sizes: []float64{60, 60, 60}, demands: demands(10, 0, 0), engines: 4, want: []int{4, 1, 1}},
		"by a power of demand":          {sizes: []float64{60, 60, 60}, demands: demands(90, 10, 10), engines: 5, want: []int{5, 5, 5}},
		"by a power, short of memory":   {sizes: []float64{60, 60}, demands: demands(81, 1), engines: 5, want: []int{5, 5}},
		"within the memory":             {sizes: []float64{100, 100}, demands: demands(30, 10), engines: 2, want: []int{2, 2}},
		"no room for more":              {sizes: []float64{100, 100, 100}, demands: demands(30, 10, 0), engines: 2, want: []int{2, 1, 1}},
		"one that needs none": {
			sizes: []float64{100, 100, 100}, demands: demands(30, 10, 0), engines: 2,
			residences: map[string]loadPolicy{"m2": loadOnRequest}, want: []int{2, 2, 0},
		},
		"one that needs none, but is waited for": {
			sizes: []float64{100, 100, 100}, demands: map[string]Demand{"m0": {TokensPerSecond: 30}, "m2": {Waiting: 1}}, engines: 2,
			residences: map[string]loadPolicy{"m2": unloadIfCached}, want: []int{2, 1, 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := replicaTargets(spec(test.sizes...), test.demands, test.residences, test.engines)
			for i, n := range test.want {
				assert.Equal(t, got[fmt.Sprint("m", i)], n, "m%d of %v", i, got)
			}
		})
	}
}

// referenceTargets is a straightforward implementation of replicaTargets without a heap, for comparison.
func referenceTargets(s *table.EngineSpec, demand map[string]Demand, engines int) map[string]int {
	targets := make(map[string]int)
	freeMB := s.WeightsMB * float64(engines)
	for _, m := range s.Models {
		targets[m.Name] = 1
		freeMB -= m.WeightsMB
	}
	for {
		best, bestShare := -1, 0.0
		for i, m := range s.Models {
			n := targets[m.Name]
			share := math.Pow(demand[m.Name].TokensPerSecond, 0.75) / (float64(n) + 0.5)
			if n < engines && m.WeightsMB <= freeMB && share > bestShare {
				best, bestShare = i, share
			}
		}
		if best < 0 {
			return targets
		}
		targets[s.Models[best].Name]++
		freeMB -= s.Models[best].WeightsMB
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
		assert.DeepEqual(t, replicaTargets(s, w, nil, engines), referenceTargets(s, w, engines))
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
		replicaTargets(s, w, nil, 300)
	}
}
