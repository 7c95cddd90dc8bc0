package residency

import (
	"slices"
	"time"

	"rockcleat/backend"
)

// An AdapterMove brings an adapter to an engine.
type AdapterMove struct {
	Engine string
	backend.Adapter
	// Evict is an adapter to unload first, if its name is not empty.
	Evict backend.Adapter
}

// An AdapterInput is the input of PlanAdapters.
type AdapterInput struct {
	// Slots is the number of adapters that an engine holds.
	Slots   int
	Engines []EngineView
	// Missing lists adapters that are waited for and that no engine holds.
	Missing []backend.Adapter
	// LastUsed is when each adapter was last asked for, RequestsByAdapter how many
	// requests use it now.
	LastUsed          map[backend.Adapter]time.Time
	RequestsByAdapter map[backend.Adapter]int
	// RequestsByEngine is the number of requests at each engine.
	RequestsByEngine map[string]int
	// WaitingSince is since when each missing adapter has been waited for.
	WaitingSince map[backend.Adapter]time.Time
	// Now is when the plan is made.
	Now time.Time
}

// PlanAdapters returns the moves to start now, at most one an engine.
func PlanAdapters(in AdapterInput) []AdapterMove {
	var moves []AdapterMove
	taken := make(map[string]bool)
	for _, a := range in.Missing {
		m, ok := in.cheapestMove(a, taken)
		if !ok {
			continue
		}
		taken[m.Engine] = true
		moves = append(moves, m)
	}
	return moves
}

// cheapestMove returns the move to the least loaded engine that holds the adapter's model,
// one with a free slot first. Requests and adapters count alike: each takes time or memory
// of the engine.
func (in *AdapterInput) cheapestMove(a backend.Adapter, taken map[string]bool) (AdapterMove, bool) {
	var best AdapterMove
	found := false
	bestCost := 0
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving || e.InNeed || taken[e.ID] || !holds(e, a.Model) {
			continue
		}
		move := AdapterMove{Engine: e.ID, Adapter: a}
		cost := in.RequestsByEngine[e.ID] + adapterCount(e)
		if adapterCount(e) >= in.Slots {
			evict, ok := in.evictionFor(e, a)
			if !ok {
				continue
			}
			move.Evict = evict
			cost += fullEnginePenalty
		}
		if !found || cost < bestCost {
			best, bestCost, found = move, cost, true
		}
	}
	return best, found
}

// fullEnginePenalty is the cost of an engine without a free adapter slot, in requests: more
// than an engine serves at once, so that free slots are used first.
const fullEnginePenalty = 1000

// minAdapterResidence is how long an adapter that was asked for stays at least, unless
// another has been waited for as long.
const minAdapterResidence = time.Second

func adapterCount(e *EngineView) int {
	n := 0
	for _, r := range e.Residents {
		n += len(r.Adapters)
	}
	return n
}

// evictionFor returns the adapter to unload for another: the one asked for least recently
// that no request uses and nobody waits for. For an adapter that has been waited for
// longer than minAdapterResidence, one goes first that a further engine holds too.
func (in *AdapterInput) evictionFor(e *EngineView, wanted backend.Adapter) (backend.Adapter, bool) {
	var unused, doubled []backend.Adapter
	overdue := in.Now.Sub(in.WaitingSince[wanted]) > minAdapterResidence && !in.WaitingSince[wanted].IsZero()
	for _, r := range e.Residents {
		for _, name := range r.Adapters {
			a := backend.Adapter{Model: r.Model, Name: name}
			rested := overdue || in.Now.Sub(in.LastUsed[a]) > minAdapterResidence
			switch {
			case slices.Contains(in.Missing, a):
			case in.replicas(a) > 1 && overdue:
				doubled = append(doubled, a)
			case in.RequestsByAdapter[a] == 0 && rested:
				unused = append(unused, a)
			}
		}
	}
	list := unused
	if len(doubled) > 0 {
		list = doubled
	}
	if len(list) == 0 {
		return backend.Adapter{}, false
	}
	return slices.MinFunc(list, func(a, b backend.Adapter) int { return in.LastUsed[a].Compare(in.LastUsed[b]) }), true
}

// replicas returns how many engines that stay hold the adapter.
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
