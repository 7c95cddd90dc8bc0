package residency

import (
	"cmp"
	"slices"
	"time"

	"rockcleat/backend"
)

// An AdapterMove brings an adapter to an engine.
type AdapterMove struct {
	Engine string
	backend.Adapter
	// Victim is an adapter to unload first, if its name is not empty.
	Evict backend.Adapter
}

// An AdapterInput is what a plan for adapters is made from.
type AdapterInput struct {
	// Slots is the number of adapters that an engine holds.
	Slots   int
	Engines []EngineView
	// Missing lists adapters that are waited for.
	Missing []backend.Adapter
	// Used tells when each adapter was last asked for; Running how many requests use it.
	LastUsed          map[backend.Adapter]time.Time
	RequestsByAdapter map[backend.Adapter]int
	// Load is the number of requests at each engine.
	RequestsByEngine map[string]int
	// Since tells since when each missing adapter has been waited for.
	WaitingSince map[backend.Adapter]time.Time
	// Now is when the plan is made.
	Now time.Time
}

// PlanAdapters returns the moves to start now, at most one an engine.
func PlanAdapters(in AdapterInput) []AdapterMove {
	var moves []AdapterMove
	taken := make(map[string]bool)
	for _, a := range in.Missing {
		m, ok := in.best(a, taken)
		if !ok {
			continue
		}
		taken[m.Engine] = true
		moves = append(moves, m)
	}
	return moves
}

// best returns the least loaded engine that holds the base and has room.
func (in *AdapterInput) best(a backend.Adapter, taken map[string]bool) (AdapterMove, bool) {
	var best AdapterMove
	found := false
	bestCost := 0
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving || taken[e.ID] || !holds(e, a.Model) {
			continue
		}
		move := AdapterMove{Engine: e.ID, Adapter: a}
		cost := in.RequestsByEngine[e.ID] + adapterCount(e)
		if adapterCount(e) >= in.Slots {
			victim, ok := in.evictionFor(e, a)
			if !ok {
				continue
			}
			move.Evict = victim
			cost += evictionPenalty
		}
		if !found || cost < bestCost {
			best, bestCost, found = move, cost, true
		}
	}
	return best, found
}

// fullPenalty is what an engine with no free place costs, in requests.
const evictionPenalty = 1000

// adapterHold is how long an adapter that was asked for stays at least.
const minAdapterResidence = time.Second

func adapterCount(e *EngineView) int {
	n := 0
	for _, r := range e.Residents {
		n += len(r.Adapters)
	}
	return n
}

// victim returns the adapter to unload for another: the one asked for least
// recently that no request uses. For an adapter that has been waited for long, one
// goes first that a further engine holds too, or one asked for just now.
func (in *AdapterInput) evictionFor(e *EngineView, wanted backend.Adapter) (backend.Adapter, bool) {
	var list, doubled []backend.Adapter
	patient := in.Now.Sub(in.WaitingSince[wanted]) > minAdapterResidence && !in.WaitingSince[wanted].IsZero()
	for _, r := range e.Residents {
		for _, name := range r.Adapters {
			a := backend.Adapter{Model: r.Model, Name: name}
			rested := patient || in.Now.Sub(in.LastUsed[a]) > minAdapterResidence
			switch {
			case slices.Contains(in.Missing, a):
			case in.replicas(a) > 1 && patient:
				doubled = append(doubled, a)
			case in.RequestsByAdapter[a] == 0 && rested:
				list = append(list, a)
			}
		}
	}
	if len(doubled) > 0 {
		list = doubled
	}
	if len(list) == 0 {
		return backend.Adapter{}, false
	}
	return slices.MinFunc(list, func(a, b backend.Adapter) int {
		return cmp.Compare(in.LastUsed[a].UnixNano(), in.LastUsed[b].UnixNano())
	}), true
}

// copies returns how many engines that stay hold the adapter.
func (in *AdapterInput) replicas(a backend.Adapter) int {
	n := 0
	for i := range in.Engines {
		for _, r := range in.Engines[i].Residents {
			if !in.Engines[i].Leaving && r.Model == a.Model && r.Has(a.Name) {
				n++
			}
		}
	}
	return n
}
