package residency

import "rockcleat/table"

// How the order in which demand rises is learned.
const (
	// busyShare is the part of all demand from which on a model is busy; it is no longer
	// below idleShare.
	busyShare = 0.04
	idleShare = 0.02
	// successionReach is how many places behind a busy model the next one to rise is
	// looked for.
	successionReach = 2
	// successionPrior is how many rises count against an order before any was seen.
	successionPrior = 0.5
	// successionMemory is the part of what was learned that stays with each rise, so that
	// some ten rises count.
	successionMemory = 0.9
)

// A Succession learns from demand whether models rise in the order of the operators' list:
// whether those whose demand rises stand right behind busy ones, more often than chance
// would have it. Nothing says that a list has such an order; without one the confidence
// stays near 0.
//
// Its zero value has seen nothing. It is not safe for concurrent use.
type Succession struct {
	busy map[string]bool
	// rises counts models that became busy, hits those that stood behind a busy one, and
	// chance those that would have by chance; all fade with successionMemory.
	rises, hits, chance float64
}

// Observe takes note of the demand at one time. Before anything has been asked for, the replicas show
// which models are busy and nothing is learned: they rise in the order in which they are loaded, and
// what was learned from that kept a model that nobody had asked for yet without its replica.
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
	if isAnyAsked(demands) {
		s.count(spec, busy)
	}
	s.busy = busy
}

// isAnyAsked reports whether anything has been asked for.
func isAnyAsked(demands map[string]Demand) bool {
	for _, d := range demands {
		if d.TokensPerSecond > 0 {
			return true
		}
	}
	return false
}

// count counts the models that have become busy.
func (s *Succession) count(spec *table.EngineSpec, busy map[string]bool) {
	idle, expected := 0, 0
	var rising []bool
	for i, m := range spec.Models {
		if i == 0 || s.busy[m.Name] {
			continue
		}
		idle++
		behind := isBehindBusy(spec, busy, i)
		if behind {
			expected++
		}
		if busy[m.Name] {
			rising = append(rising, behind)
		}
	}
	for _, behind := range rising {
		s.rises = s.rises*successionMemory + 1
		s.hits *= successionMemory
		if behind {
			s.hits++
		}
		s.chance = s.chance*successionMemory + float64(expected)/float64(idle)
	}
}

// isBehindBusy reports whether a model stands right behind a busy one in the list.
func isBehindBusy(spec *table.EngineSpec, busy map[string]bool, i int) bool {
	for j := max(i-successionReach, 0); j < i; j++ {
		if busy[spec.Models[j].Name] {
			return true
		}
	}
	return false
}

// Confidence returns how far rises follow the list, from 0, no more than by chance, to 1,
// always; without unit.
func (s *Succession) Confidence() float64 {
	if s == nil || s.hits <= s.chance {
		return 0
	}
	return (s.hits - s.chance) / (s.rises - s.chance + successionPrior)
}
