package residency

import (
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/table"
)

// An AdapterMove is the load of an adapter on an engine. The load must wait until FitsAdapter permits it: an adapter that
// requests use is unloaded only after they have ended.
type AdapterMove struct {
	Engine string
	backend.Adapter
	// Evictions are the adapters to unload first.
	Evictions []backend.Adapter
}

// An AdapterAt is an adapter at a software version.
type AdapterAt struct {
	backend.Adapter
	Version string
}

// An AdapterInput is the input of PlanAdapters.
type AdapterInput struct {
	// Spec holds the slots and memory of an engine and the sizes of adapters.
	Spec *table.EngineSpec
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

// cheapestMove returns the move to the least busy allowed engine that holds the adapter's model. Engines with room now
// are preferred, those where requests have to end first come last. How busy an engine is, is measured by its number of
// requests plus its number of adapters.
func (in *AdapterInput) cheapestMove(a backend.Adapter, usedEngines map[string]bool, isAllowed func(*EngineView) bool) (AdapterMove, bool) {
	var best AdapterMove
	found := false
	bestCost := 0
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving || e.Throttled || usedEngines[e.ID] || !holds(e, a.Model) || !isAllowed(e) {
			continue
		}
		evictions, penalty, ok := in.makeRoom(e, a)
		if !ok {
			continue
		}
		cost := in.RequestsByEngine[e.ID] + AdapterCount(e.Residents) + penalty
		if !found || cost < bestCost {
			best, bestCost, found = AdapterMove{Engine: e.ID, Adapter: a, Evictions: evictions}, cost, true
		}
	}
	return best, found
}

// Additional costs of an engine without room for an adapter, in requests. They exceed the number of requests that an engine
// runs at once.
const (
	// adapterEvictionCost is the cost of evicting adapters that no request uses.
	adapterEvictionCost = 1000
	// adapterWaitCost is the cost of waiting until the requests that use an adapter have ended.
	adapterWaitCost = 2 * adapterEvictionCost
)

// makeRoom returns the adapters to unload from an engine so that another one can be loaded, and the cost of it; ok is false
// if there is no way.
func (in *AdapterInput) makeRoom(e *EngineView, wanted backend.Adapter) (evictions []backend.Adapter, cost int, ok bool) {
	free := roomOf(in.Spec, e.Residents)
	for _, a := range e.AwaitedAdapters {
		free.take(in.Spec, a.Model)
	}
	if free.fits(in.Spec, wanted.Model) {
		return nil, 0, true
	}
	for a, isExpected := range e.UnloadingAdapters {
		if isExpected {
			free.release(in.Spec, a.Model)
		} else {
			cost += adapterWaitCost
		}
	}
	if free.fits(in.Spec, wanted.Model) {
		return nil, cost + adapterWaitCost, true
	}
	cost += adapterEvictionCost
	for _, a := range in.evictionsFor(e, wanted) {
		evictions = append(evictions, a)
		free.release(in.Spec, a.Model)
		if in.RequestsByAdapter[a] > 0 {
			cost += adapterWaitCost
		}
		if free.fits(in.Spec, wanted.Model) {
			return evictions, cost, true
		}
	}
	return nil, 0, false
}

// minAdapterResidence is how long an adapter stays loaded after its last request, unless requests have waited
// for another adapter for longer than that.
const minAdapterResidence = time.Second

// evictionsFor returns the adapters that may be unloaded for the wanted one, in the order in which they should be. They are
// those that no request uses or waits for and whose minAdapterResidence has passed, the least recently requested first.
//
// If requests have waited for the wanted adapter for longer than minAdapterResidence, adapters may be unloaded before that.
// Those that another engine holds too are then preferred, and, after all unused ones, may be unloaded while requests use
// them. An adapter that streams need at the engine's software version comes last, and only in this case.
func (in *AdapterInput) evictionsFor(e *EngineView, wanted backend.Adapter) []backend.Adapter {
	var redundant, unused, used, needed []backend.Adapter
	overdue := in.Now.Sub(in.WaitingSince[wanted]) > minAdapterResidence && !in.WaitingSince[wanted].IsZero()
	for _, r := range e.Residents {
		for _, name := range r.Adapters {
			a := backend.Adapter{Model: r.Model, Name: name}
			_, unloading := e.UnloadingAdapters[a]
			pastMinResidence := overdue || in.Now.Sub(in.LastUsed[a]) > minAdapterResidence
			isRedundant := overdue && in.replicas(a) > 1
			isUnused := in.RequestsByAdapter[a] == 0
			switch {
			case unloading, slices.Contains(in.Missing, a):
			case in.isNeededByStreams(e, a):
				if isRedundant || overdue && isUnused {
					needed = append(needed, a)
				}
			case isRedundant && isUnused:
				redundant = append(redundant, a)
			case isRedundant:
				used = append(used, a)
			case isUnused && pastMinResidence:
				unused = append(unused, a)
			}
		}
	}
	var list []backend.Adapter
	for _, candidates := range [][]backend.Adapter{redundant, unused, used, needed} {
		slices.SortStableFunc(candidates, func(a, b backend.Adapter) int { return in.LastUsed[a].Compare(in.LastUsed[b]) })
		list = append(list, candidates...)
	}
	return list
}

// replicas returns the number of engines that hold the adapter, without those that are leaving or unloading it.
func (in *AdapterInput) replicas(a backend.Adapter) int {
	n := 0
	for i := range in.Engines {
		if holdsAdapter(&in.Engines[i], a) {
			n++
		}
	}
	return n
}

// holdsAdapter reports whether an engine that is not leaving holds an adapter and is not unloading it.
func holdsAdapter(e *EngineView, a backend.Adapter) bool {
	if _, unloading := e.UnloadingAdapters[a]; unloading {
		return false
	}
	return !e.Leaving && slices.ContainsFunc(e.Residents, func(r backend.Resident) bool { return r.Model == a.Model && r.Has(a.Name) })
}
