package agent

import (
	"maps"
	"slices"
	"time"

	"rockcleat/fairqueue"
	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/placement"
)

// A workload holds the request queue, and the demand and concurrency grants of rows.
type workload struct {
	queue *fairqueue.Queue
	// demand is the demand of each row.
	demand map[string]*rowDemand
	// grants is the concurrency that the planner has granted to this agent, by row.
	grants map[string]int
}

func newWorkload(slots fairqueue.Slots, maxWaiting int) workload {
	return workload{
		queue:  fairqueue.New(slots, fairqueue.Options{MaxWaiting: maxWaiting}),
		demand: make(map[string]*rowDemand), grants: make(map[string]int),
	}
}

// A rowDemand is the demand of one row, in slots.
type rowDemand struct {
	// refused is the smoothed number of slots that refused requests would have used.
	refused  float64
	estimate placement.Estimator
}

// Parameters of demand estimation.
const (
	// demandHalfLife is the time in which the estimate falls by half without demand.
	demandHalfLife = 15 * time.Second
	// refusedSmoothing is the smoothing factor of the slots that refused requests would have used.
	refusedSmoothing = 0.1
)

// sampleDemand adds a sample of each row's running, waiting and refused requests to its estimate.
// It removes the rows without demand.
func (w *workload) sampleDemand(now time.Time) {
	for row, d := range w.demand {
		running, waiting := w.queue.Load(row)
		busy := float64(running+waiting) + d.refused
		d.refused -= refusedSmoothing * d.refused
		d.estimate.Observe(busy, demandHalfLife, now)
		if placement.LevelOf(d.estimate.Value(demandHalfLife, now)) == 0 && running+waiting == 0 {
			delete(w.demand, row)
		}
	}
}

// demandOf returns the demand of a row. It adds one if there is none.
func (w *workload) demandOf(row string) *rowDemand {
	d, ok := w.demand[row]
	if !ok {
		d = &rowDemand{}
		w.demand[row] = d
	}
	return d
}

// demandLevels returns the levels of the rows with demand, ordered by name.
func (w *workload) demandLevels(now time.Time) []fleet.Demand {
	var out []fleet.Demand
	for _, row := range slices.Sorted(maps.Keys(w.demand)) {
		level := placement.LevelOf(w.demand[row].estimate.Value(demandHalfLife, now))
		if level > 0 {
			out = append(out, fleet.Demand{Name: row, Level: level})
		}
	}
	return out
}

// setGrants replaces the concurrency grants.
func (w *workload) setGrants(grants []wire.ConcurrencyGrant) {
	clear(w.grants)
	for _, g := range grants {
		w.grants[g.Row] = g.Max
	}
}

// grantsInUse returns the grants, each raised to the number of requests that are running under it.
func (w *workload) grantsInUse() []wire.ConcurrencyGrant {
	var list []wire.ConcurrencyGrant
	for _, row := range slices.Sorted(maps.Keys(w.grants)) {
		running, _ := w.queue.Load(row)
		list = append(list, wire.ConcurrencyGrant{Row: row, Max: max(w.grants[row], running)})
	}
	return list
}

func (a *Agent) stepDemand(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.workload.sampleDemand(now)
}
