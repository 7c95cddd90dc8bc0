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

// A workload holds the requests of the server and what rows may use and ask for.
type workload struct {
	queue *fairqueue.Queue
	// demand is what each row asks for.
	demand map[string]*rowDemand
	// grants is the concurrency that the planner grants to each row here.
	grants map[string]int
}

func newWorkload(slots fairqueue.Slots, maxWaiting int) workload {
	return workload{
		queue:  fairqueue.New(slots, fairqueue.Options{MaxWaiting: maxWaiting}),
		demand: make(map[string]*rowDemand), grants: make(map[string]int),
	}
}

// A rowDemand is the account of one row's demand.
type rowDemand struct {
	refused  float64
	estimate placement.Estimator
}

// Following of a row's demand.
const (
	// halfLife is how fast the estimate of a demand falls.
	halfLife = 15 * time.Second
	// refusedGain smooths the slots that refused requests would have taken.
	refusedGain = 0.1
)

// observe counts what each row runs, waits for and was refused.
func (w *workload) observe(now time.Time) {
	for row, d := range w.demand {
		running, waiting := w.queue.Load(row)
		busy := float64(running+waiting) + d.refused
		d.refused -= refusedGain * d.refused
		d.estimate.Observe(busy, halfLife, now)
		if placement.LevelOf(d.estimate.Value(halfLife, now)) == 0 && running+waiting == 0 {
			delete(w.demand, row)
		}
	}
}

// demandOf returns the row's account.
func (w *workload) demandOf(row string) *rowDemand {
	d, ok := w.demand[row]
	if !ok {
		d = &rowDemand{}
		w.demand[row] = d
	}
	return d
}

// demandLevels returns the rows' demand in levels.
func (w *workload) demandLevels(now time.Time) []fleet.Demand {
	var out []fleet.Demand
	for _, row := range slices.Sorted(maps.Keys(w.demand)) {
		level := placement.LevelOf(w.demand[row].estimate.Value(halfLife, now))
		if level > 0 {
			out = append(out, fleet.Demand{Name: row, Level: level})
		}
	}
	return out
}

// setGrants sets the concurrency that the planner grants; rows that it does not name have
// none left.
func (w *workload) setGrants(grants []wire.ConcurrencyGrant) {
	clear(w.grants)
	for _, g := range grants {
		w.grants[g.Row] = g.Max
	}
}

// grantsInUse returns the grants, each at least the number of requests that run under it.
func (w *workload) grantsInUse() []wire.ConcurrencyGrant {
	var list []wire.ConcurrencyGrant
	for _, row := range slices.Sorted(maps.Keys(w.grants)) {
		running, _ := w.queue.Load(row)
		list = append(list, wire.ConcurrencyGrant{Row: row, Max: max(w.grants[row], running)})
	}
	return list
}

// stepDemand observes the demand.
func (a *Agent) stepDemand(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.work.observe(now)
}
