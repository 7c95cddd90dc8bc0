package residency

import "rockcleat/table"

// Parts of a model's weight that the next models in the operators' list get in
// advance. The list is in the order of demand, and demand moves along it: when a
// model falls silent, the one behind it takes its place.
const (
	nextModelShare       = 0.25
	secondNextModelShare = 0.1
)

// Anticipate returns the weights with what is expected to rise next.
//
// While nothing has been asked for, the copies that are there tell what was busy.
func Forecast(spec *table.EngineSpec, wants map[string]Demand, engines []EngineView) map[string]Demand {
	weights := make([]float64, len(spec.Models))
	asked := false
	for i, m := range spec.Models {
		weights[i] = wants[m.Name].TokensPerSecond
		asked = asked || weights[i] > 0
	}
	if !asked {
		for i, m := range spec.Models {
			weights[i] = float64(max(replicasOf(m.Name, engines)-1, 0))
		}
	}
	out := make(map[string]Demand, len(spec.Models))
	for i, m := range spec.Models {
		w := wants[m.Name]
		w.TokensPerSecond = weights[i]
		expected := 0.0
		if i > 0 {
			expected += nextModelShare * weights[i-1]
		}
		if i > 1 {
			expected += secondNextModelShare * weights[i-2]
		}
		w.TokensPerSecond = max(w.TokensPerSecond, expected)
		out[m.Name] = w
	}
	return out
}

func replicasOf(model string, engines []EngineView) int {
	n := 0
	for i := range engines {
		if holds(&engines[i], model) {
			n++
		}
	}
	return n
}
