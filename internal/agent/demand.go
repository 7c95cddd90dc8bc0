package agent

import (
	"maps"
	"slices"
	"time"

	"rockcleat/fleet"
	"rockcleat/placement"
)

// rowDemand is the account of one row's demand.
type rowDemand struct {
	refused  float64
	estimate placement.Estimator
}

// halfLife is how fast the estimate of a demand falls.
const halfLife = 15 * time.Second

// refusedGain smooths the slots that refused requests would have taken.
const refusedGain = 0.1

// stepDemand takes in what each row runs, waits for and was refused.
func (a *Agent) stepDemand(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for row, d := range a.demand {
		running, waiting := a.queue.Load(row)
		busy := float64(running+waiting) + d.refused
		d.refused -= refusedGain * d.refused
		d.estimate.Observe(busy, halfLife, now)
		if placement.LevelOf(d.estimate.Value(halfLife, now)) == 0 && running+waiting == 0 {
			delete(a.demand, row)
		}
	}
}

// demandOf returns the row's account; a.mu is held.
func (a *Agent) demandOf(row string) *rowDemand {
	d, ok := a.demand[row]
	if !ok {
		d = &rowDemand{}
		a.demand[row] = d
	}
	return d
}

// demandLevels returns the rows' demand in levels; a.mu is held.
func (a *Agent) demandLevels(now time.Time) []fleet.Demand {
	var out []fleet.Demand
	for _, row := range slices.Sorted(maps.Keys(a.demand)) {
		level := placement.LevelOf(a.demand[row].estimate.Value(halfLife, now))
		if level > 0 {
			out = append(out, fleet.Demand{Name: row, Level: level})
		}
	}
	return out
}
