package residency

import (
	"slices"

	"rockcleat/table"
)

// adapterRoomMoves returns the evictions of models that make room for missing adapters, where the models on an engine leave
// none. Loads keep memory for adapters free, but engines may have been filled before the first one.
func (p *plan) adapterRoomMoves() []Move {
	var moves []Move
	planned := make(map[string]bool)
	for _, a := range p.in.MissingAdapters {
		m, ok := p.in.Spec.Model(a.Model)
		if !ok || planned[m.Name] || slices.ContainsFunc(p.engines, func(e *EngineView) bool { return p.canHoldAdapter(e, m) }) {
			continue
		}
		planned[m.Name] = true
		if move, ok := p.cheapestAdapterRoom(m); ok {
			moves = append(moves, move)
			p.apply(move)
		}
	}
	return moves
}

// canHoldAdapter reports whether an engine holds a model and the models on it leave the memory for an adapter of it.
func (p *plan) canHoldAdapter(e *EngineView, m table.ModelSpec) bool {
	return holds(e, m.Name) && m.AdapterMB <= FreeMB(p.in.Spec, withoutAdapters(e.Residents))
}

// cheapestAdapterRoom returns the eviction on an engine that holds a model, after which an adapter of it fits.
func (p *plan) cheapestAdapterRoom(m table.ModelSpec) (Move, bool) {
	var best Move
	found := false
	bestCost := 0.0
	for _, e := range p.engines {
		if !e.Idle || e.Throttled || e.Loading == m.Name || !holds(e, m.Name) {
			continue
		}
		evictions, ok := p.evictionsForAdapter(e, m)
		if !ok {
			continue
		}
		if cost := p.evictionCost(m, evictions); !found || cost < bestCost {
			best, bestCost, found = Move{Engine: e.ID, AdaptersOf: m.Name, Evictions: evictions}, cost, true
		}
	}
	return best, found
}

// evictionsForAdapter returns the models to unload from an engine so that an adapter of another one fits; ok is false if it
// does not fit even then.
func (p *plan) evictionsForAdapter(e *EngineView, m table.ModelSpec) (evictions []string, ok bool) {
	need := m.AdapterMB - FreeMB(p.in.Spec, withoutAdapters(e.Residents))
	return p.evictionsOf(e, need, func(model string) bool { return model != m.Name && p.evictableForAdapter(e, model, m.Name) })
}

// evictableForAdapter reports whether a replica of model may be evicted from an engine for an adapter of the model named
// other: one of several, or the last one under the conditions under which it may be evicted for a further replica of
// other. Requests for the adapter cannot be served at all, so the number of replicas may fall below its target.
func (p *plan) evictableForAdapter(e *EngineView, model, other string) bool {
	if p.replicas[model] <= 1 {
		return p.evictable(e, model, other)
	}
	return !e.RecentlyLoaded[model] && !p.isNeededByStreams(e, model)
}
