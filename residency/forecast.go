package residency

import "rockcleat/table"

// Parts of a model's demand that the next models in the operators' list get in advance
// (docs/MEASUREMENTS.md, P6). The list is in the order of demand, and demand moves along
// it: when a model is asked for less, the one behind it takes its place.
const (
	// nextModelShare is the next model's part, without a unit.
	nextModelShare = 0.25
	// secondNextModelShare is that of the one behind it.
	secondNextModelShare = 0.1
)

// Forecast returns the demands with what is expected to rise next.
//
// While nothing has been asked for, the replicas that are there stand for demand.
func Forecast(spec *table.EngineSpec, demands map[string]Demand, engines []EngineView) map[string]Demand {
	measured := measuredDemand(spec, demands, engines)
	out := make(map[string]Demand, len(spec.Models))
	for i, m := range spec.Models {
		expected := 0.0
		if i > 0 {
			expected += nextModelShare * measured[i-1]
		}
		if i > 1 {
			expected += secondNextModelShare * measured[i-2]
		}
		out[m.Name] = Demand{TokensPerSecond: max(measured[i], expected), Waiting: demands[m.Name].Waiting}
	}
	return out
}

// measuredDemand returns the demand of each model in the order of the list, in tokens a
// second, or the number of its spare replicas while nothing has been asked for.
func measuredDemand(spec *table.EngineSpec, demands map[string]Demand, engines []EngineView) []float64 {
	measured := make([]float64, len(spec.Models))
	asked := false
	for i, m := range spec.Models {
		measured[i] = demands[m.Name].TokensPerSecond
		asked = asked || measured[i] > 0
	}
	if asked {
		return measured
	}
	for i, m := range spec.Models {
		measured[i] = float64(max(replicasOf(m.Name, engines)-1, 0))
	}
	return measured
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
