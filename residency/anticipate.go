package residency

import "rockcleat/table"

// Parts of a model's weight that the next models in the operators' list get in
// advance. The list is in the order of demand, and demand moves along it: when a
// model falls silent, the one behind it takes its place.
const (
	nextShare      = 0.25
	afterNextShare = 0.1
)

// Anticipate returns the weights with what is expected to rise next.
//
// While nothing has been asked for, the copies that are there tell what was busy.
func Anticipate(spec *table.EngineSpec, wants map[string]Want, engines []Engine) map[string]Want {
	weights := make([]float64, len(spec.Models))
	asked := false
	for i, m := range spec.Models {
		weights[i] = wants[m.Name].Weight
		asked = asked || weights[i] > 0
	}
	if !asked {
		for i, m := range spec.Models {
			weights[i] = float64(max(copiesOf(m.Name, engines)-1, 0))
		}
	}
	out := make(map[string]Want, len(spec.Models))
	for i, m := range spec.Models {
		w := wants[m.Name]
		w.Weight = weights[i]
		expected := 0.0
		if i > 0 {
			expected += nextShare * weights[i-1]
		}
		if i > 1 {
			expected += afterNextShare * weights[i-2]
		}
		w.Weight = max(w.Weight, expected)
		out[m.Name] = w
	}
	return out
}

func copiesOf(model string, engines []Engine) int {
	n := 0
	for i := range engines {
		if holds(&engines[i], model) {
			n++
		}
	}
	return n
}
