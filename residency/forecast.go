package residency

import "rockcleat/table"

// successorShare is the part of a model's demand that the models right behind it in the list
// are expected to get, if rises are known to follow the list.
const successorShare = 0.9

// Forecast returns the demands with what is expected to rise next: as far as the succession
// shows that demand moves along the operators' list, the models behind a busy one get a part
// of its demand in advance.
//
// While nothing has been asked for, the replicas that are there stand for demand.
func Forecast(spec *table.EngineSpec, demands map[string]Demand, engines []EngineView, s *Succession) map[string]Demand {
	measured := measuredDemand(spec, demands, engines)
	share := successorShare * s.Confidence()
	out := make(map[string]Demand, len(spec.Models))
	for i, m := range spec.Models {
		expected := 0.0
		for j := max(i-successionReach, 0); j < i; j++ {
			expected += share * measured[j]
		}
		d := demands[m.Name]
		d.TokensPerSecond = max(measured[i], expected)
		out[m.Name] = d
	}
	return out
}

// measuredDemand returns the demand of each model in the order of the list, in tokens a
// second, or the number of its spare replicas while nothing has been asked for.
func measuredDemand(spec *table.EngineSpec, demands map[string]Demand, engines []EngineView) []float64 {
	measured := make([]float64, len(spec.Models))
	for i, m := range spec.Models {
		measured[i] = demands[m.Name].TokensPerSecond
	}
	if isAnyAsked(demands) {
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
