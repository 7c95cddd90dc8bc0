package residency

import (
	"slices"
	"time"

	"rockcleat/backend"
)

// An AdapterMove is the load of an adapter on an engine.
type AdapterMove struct {
	Engine string
	backend.Adapter
	// Evict is the adapter to unload first; its Name is empty if there is none.
	Evict backend.Adapter
}

// An AdapterAt is an adapter at a software version.
type AdapterAt struct {
	backend.Adapter
	Version string
}

// An AdapterInput is the input of PlanAdapters.
type AdapterInput struct {
	// Slots is the number of adapters that an engine can hold.
	Slots int
	// Engines are the engines without an order in progress.
	Engines []EngineView
	// Missing are the adapters that requests wait for and that no engine holds, without counting engines that
	// are leaving or accept few requests.
	Missing []backend.Adapter
	// MissingAt are the adapters that requests wait for, at the software versions which their streams need and at which no
	// engine holds them, counted likewise.
	MissingAt []AdapterAt
	// StreamVersions holds the software versions that streams of each adapter need.
	StreamVersions map[backend.Adapter]map[string]bool
	// LastUsed is the time of the last request for each adapter, RequestsByAdapter the number of
	// requests that use it now.
	LastUsed          map[backend.Adapter]time.Time
	RequestsByAdapter map[backend.Adapter]int
	// RequestsByEngine is the number of requests running on each engine.
	RequestsByEngine map[string]int
	// WaitingSince is the time since which requests have waited for each missing adapter.
	WaitingSince map[backend.Adapter]time.Time
	Now          time.Time
}

// PlanAdapters returns the moves to start now, at most one for each engine.
func PlanAdapters(in AdapterInput) []AdapterMove {
	var moves []AdapterMove
	usedEngines := make(map[string]bool)
	add := func(a backend.Adapter, isAllowed func(*EngineView) bool) {
		m, ok := in.cheapestMove(a, usedEngines, isAllowed)
		if !ok {
			return
		}
		usedEngines[m.Engine] = true
		moves = append(moves, m)
	}
	for _, a := range in.Missing {
		add(a, func(*EngineView) bool { return true })
	}
	for _, a := range in.MissingAt {
		add(a.Adapter, func(e *EngineView) bool { return e.Version == a.Version })
	}
	return moves
}

// cheapestMove returns the move to the least busy allowed engine that holds the adapter's model. Engines with a free slot
// are preferred. How busy an engine is, is measured by its number of requests plus its number of adapters.
func (in *AdapterInput) cheapestMove(a backend.Adapter, usedEngines map[string]bool, isAllowed func(*EngineView) bool) (AdapterMove, bool) {
	var best AdapterMove
	found := false
	bestCost := 0
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving || e.Throttled || usedEngines[e.ID] || !holds(e, a.Model) || !isAllowed(e) {
			continue
		}
		move := AdapterMove{Engine: e.ID, Adapter: a}
		cost := in.RequestsByEngine[e.ID] + AdapterCount(e.Residents)
		if AdapterCount(e.Residents) >= in.Slots {
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

// fullEnginePenalty is the additional cost of an engine without a free adapter slot, in requests. It exceeds
// the number of requests that an engine runs at once, so that free slots are used first.
const fullEnginePenalty = 1000

// minAdapterResidence is how long an adapter stays loaded after its last request, unless requests have waited
// for another adapter for longer than that.
const minAdapterResidence = time.Second

// AdapterCount returns the number of adapters that an engine with the given residents holds.
func AdapterCount(residents []backend.Resident) int {
	n := 0
	for _, r := range residents {
		n += len(r.Adapters)
	}
	return n
}

// evictionFor returns the adapter to unload for the wanted one: the least recently requested adapter that no
// request uses or waits for and whose minAdapterResidence has passed. If requests have waited for the wanted
// adapter for longer than minAdapterResidence, adapters may be unloaded before that, and an adapter that another
// engine holds too is preferred, even if it is in use. An adapter that streams need at the engine's software version comes
// last, and only in the latter case.
func (in *AdapterInput) evictionFor(e *EngineView, wanted backend.Adapter) (backend.Adapter, bool) {
	var unused, redundant, needed []backend.Adapter
	overdue := in.Now.Sub(in.WaitingSince[wanted]) > minAdapterResidence && !in.WaitingSince[wanted].IsZero()
	for _, r := range e.Residents {
		for _, name := range r.Adapters {
			a := backend.Adapter{Model: r.Model, Name: name}
			pastMinResidence := overdue || in.Now.Sub(in.LastUsed[a]) > minAdapterResidence
			switch {
			case slices.Contains(in.Missing, a):
			case in.isNeededByStreams(e, a):
				if overdue && (in.replicas(a) > 1 || in.RequestsByAdapter[a] == 0) {
					needed = append(needed, a)
				}
			case in.replicas(a) > 1 && overdue:
				redundant = append(redundant, a)
			case in.RequestsByAdapter[a] == 0 && pastMinResidence:
				unused = append(unused, a)
			}
		}
	}
	for _, candidates := range [][]backend.Adapter{redundant, unused, needed} {
		if len(candidates) > 0 {
			return slices.MinFunc(candidates, func(a, b backend.Adapter) int { return in.LastUsed[a].Compare(in.LastUsed[b]) }), true
		}
	}
	return backend.Adapter{}, false
}

// replicas returns the number of engines that hold the adapter, without the engines that are leaving.
func (in *AdapterInput) replicas(a backend.Adapter) int {
	n := 0
	for i := range in.Engines {
		if holdsAdapter(&in.Engines[i], a) {
			n++
		}
	}
	return n
}

// holdsAdapter reports whether an engine that is not leaving holds an adapter.
func holdsAdapter(e *EngineView, a backend.Adapter) bool {
	return !e.Leaving && slices.ContainsFunc(e.Residents, func(r backend.Resident) bool { return r.Model == a.Model && r.Has(a.Name) })
}
