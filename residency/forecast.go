package residency

import "rockcleat/table"

// forecastShare is the fraction of a model's demand that each of the models right behind it in the list is
// expected to get, at a confidence of 1.
const forecastShare = 0.9

// Forecast returns the expected demand of each model, by name. It is the measured demand or, if that is higher, the
// demand of the models right before it in the operators' list, multiplied by forecastShare and by the confidence of s
// that demand moves along the list. A nil s has confidence 0.
//
// While no model has demand, the number of replicas of each model beyond its first is used as its demand.
func Forecast(spec *table.EngineSpec, demands map[string]Demand, engines []EngineView, s *Succession) map[string]Demand {
	measured := measuredDemand(spec, demands, engines)
	share := forecastShare * s.Confidence()
	out := make(map[string]Demand, len(spec.Models))
	for i, m := range spec.Models {
		expected := 0.0
		for j := max(i-sequenceWindow, 0); j < i; j++ {
			expected += share * measured[j]
		}
		d := demands[m.Name]
		d.TokensPerSecond = max(measured[i], expected)
		out[m.Name] = d
	}
	return out
}

// measuredDemand returns the demand of each model in the order of the list, in tokens per second. While no
// model has demand, it returns the number of replicas beyond the first of each.
func measuredDemand(spec *table.EngineSpec, demands map[string]Demand, engines []EngineView) []float64 {
	measured := make([]float64, len(spec.Models))
	for i, m := range spec.Models {
		measured[i] = demands[m.Name].TokensPerSecond
	}
	if hasDemand(demands) {
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
