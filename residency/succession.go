package residency

import "rockcleat/table"

// Parameters of the estimate of whether demand rises in the order of the list.
const (
	// A model becomes busy at a fraction busyShare of the total demand and stays busy down to idleShare.
	busyShare = 0.04
	idleShare = 0.02
	// sequenceWindow is the number of places behind a busy model where the next model is expected to rise.
	sequenceWindow = 2
	// priorRises is the weight of the prior assumption that demand does not follow the list, in rises.
	priorRises = 0.5
	// riseDecay is the factor by which the counts decay with each rise. About the last ten rises count.
	riseDecay = 0.9
)

// A Succession estimates whether models become busy in the order of the operators' list. It counts how often a model
// that becomes busy stands right behind a busy one, and compares that with the expectation for a random order. If
// models become busy in another order, the confidence stays near 0.
//
// The zero value has no observations. It is not safe for concurrent use.
type Succession struct {
	busy map[string]bool
	// rises counts the models that became busy, hits those among them that stood right behind a busy one, and
	// expectedHits the hits expected by chance. All decay with riseDecay.
	rises, hits, expectedHits float64
}

// Observe records the demand at one time. While no model has demand, the replicas determine which models are
// busy and no rise is counted, since models would appear to rise in the order in which they are loaded.
func (s *Succession) Observe(spec *table.EngineSpec, demands map[string]Demand, engines []EngineView) {
	measured := measuredDemand(spec, demands, engines)
	total := 0.0
	for _, x := range measured {
		total += x
	}
	if total == 0 {
		return
	}
	busy := make(map[string]bool)
	for i, m := range spec.Models {
		share := measured[i] / total
		if share >= busyShare || s.busy[m.Name] && share >= idleShare {
			busy[m.Name] = true
		}
	}
	if hasDemand(demands) {
		s.countRises(spec, busy)
	}
	s.busy = busy
}

// hasDemand reports whether any model has demand.
func hasDemand(demands map[string]Demand) bool {
	for _, d := range demands {
		if d.TokensPerSecond > 0 {
			return true
		}
	}
	return false
}

// countRises updates the counts with the models that have become busy. The first model of the list is left out,
// since no model is before it.
func (s *Succession) countRises(spec *table.EngineSpec, busy map[string]bool) {
	idle, following := 0, 0
	var rising []bool
	for i, m := range spec.Models {
		if i == 0 || s.busy[m.Name] {
			continue
		}
		idle++
		follows := followsBusy(spec, busy, i)
		if follows {
			following++
		}
		if busy[m.Name] {
			rising = append(rising, follows)
		}
	}
	for _, follows := range rising {
		s.rises = s.rises*riseDecay + 1
		s.hits *= riseDecay
		if follows {
			s.hits++
		}
		s.expectedHits = s.expectedHits*riseDecay + float64(following)/float64(idle)
	}
}

// followsBusy reports whether a busy model is at most sequenceWindow places before model i in the list.
func followsBusy(spec *table.EngineSpec, busy map[string]bool, i int) bool {
	for j := max(i-sequenceWindow, 0); j < i; j++ {
		if busy[spec.Models[j].Name] {
			return true
		}
	}
	return false
}

// Confidence returns how consistently rises follow the list, from 0 (no more often than by chance) to 1
// (always). It returns 0 for a nil Succession.
func (s *Succession) Confidence() float64 {
	if s == nil || s.hits <= s.expectedHits {
		return 0
	}
	return (s.hits - s.expectedHits) / (s.rises - s.expectedHits + priorRises)
}
