package residency

import (
	"slices"

	"rockcleat/backend"
	"rockcleat/table"
)

// evictions returns the models to unload so that a model fits on an engine, in the order of compareEviction; ok is false
// if the model does not fit even then.
func (p *plan) evictions(e *EngineView, m table.ModelSpec) (evictions []string, ok bool) {
	need := p.memoryShortfall(e, m)
	if need <= 0 {
		return nil, true
	}
	return p.evictionsOf(e, need, func(model string) bool { return p.evictable(e, model, m.Name) })
}

// evictionsOf returns the allowed models to unload from an engine to free the needed memory in MB, in the order of
// compareEviction; ok is false if all of them free less.
func (p *plan) evictionsOf(e *EngineView, need float64, isAllowed func(model string) bool) (evictions []string, ok bool) {
	list := slices.Clone(e.Residents)
	slices.SortStableFunc(list, func(a, b backend.Resident) int {
		return p.compareEviction(e, a.Model, b.Model)
	})
	for _, r := range list {
		if !isAllowed(r.Model) {
			continue
		}
		evictions = append(evictions, r.Model)
		need -= residentMB(p.in.Spec, backend.Resident{Model: r.Model})
		if need <= 0 {
			return evictions, true
		}
	}
	return nil, false
}

// evictable reports whether a replica of model may be evicted from an engine to load the model named other.
//
// The last replica may be evicted if the model is no longer configured, or if other already has a replica and both
// justifiesLastReplica and lastReplicaEvictable report true. One of several replicas may be evicted if
// other has none; otherwise only if the model has more replicas than its target and the replica was not loaded
// recently. A replica that streams need at its software version may be evicted only if other has none.
func (p *plan) evictable(e *EngineView, model, other string) bool {
	forFirstReplica := p.replicas[other] == 0
	if !forFirstReplica && p.isNeededByStreams(e, model) {
		return false
	}
	if p.replicas[model] <= 1 {
		_, configured := p.in.Spec.Model(model)
		return !configured || !forFirstReplica && p.justifiesLastReplica(other, model) && p.lastReplicaEvictable(e, model)
	}
	if forFirstReplica {
		return true
	}
	return !e.RecentlyLoaded[model] && p.capacity[model]-engineCapacity(e) >= p.minCapacity(model)
}

// justifiesLastReplica reports whether the demand per replica of a model justifies evicting the last replica of
// another one.
func (p *plan) justifiesLastReplica(model, last string) bool {
	return p.demandPerReplica(model) > lastReplicaDemandRatio*p.in.Demands[last].TokensPerSecond
}

// lastReplicaEvictable reports whether the last replica of a model may be evicted from an engine, to be loaded
// again on the next request for the model.
func (p *plan) lastReplicaEvictable(e *EngineView, model string) bool {
	if p.in.Demands[model].Waiting > 0 || e.RecentlyLoaded[model] {
		return false
	}
	switch p.policies[model] {
	case loadOnRequest:
		return true
	case unloadIfCached:
		return SourceOf(e.CachedInMemory, e.CachedOnDisk, model) != FromStore
	}
	return false
}

// evictionCost returns the cost of the evictions for a model, in seconds of loading. Each eviction costs
// evictionPenalty times the evicted replica's share of the demand that it and the new replica serve.
func (p *plan) evictionCost(m table.ModelSpec, evictions []string) float64 {
	sum := 0.0
	for _, model := range evictions {
		lost := p.demandPerReplica(model)
		// The 1 token per second avoids a division by zero without demand.
		sum += evictionPenalty * lost / (p.demandPerReplica(m.Name) + lost + 1)
	}
	return sum
}

// demandPerReplica returns the demand that one replica of a model on an engine of median speed serves, in tokens per
// second.
func (p *plan) demandPerReplica(model string) float64 {
	if p.replicas[model] == 0 {
		return p.in.Demands[model].TokensPerSecond
	}
	return p.in.Demands[model].TokensPerSecond / p.capacity[model]
}

// memoryShortfall returns how much memory an engine lacks for a model, in MB; it is negative if memory remains.
// The memory of all adapter slots stays reserved, or that of the loaded adapters if they take more.
func (p *plan) memoryShortfall(e *EngineView, m table.ModelSpec) float64 {
	spec := p.in.Spec
	freeWithoutAdapters := FreeMB(spec, withoutAdapters(e.Residents))
	reserved := max(adapterReserveMB(spec), freeWithoutAdapters-FreeMB(spec, e.Residents))
	return m.WeightsMB + reserved - freeWithoutAdapters
}

// adapterReserveMB returns the memory of an engine's adapter slots if all hold the largest adapter, in MB.
func adapterReserveMB(spec *table.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.AdapterCount > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

// withoutAdapters returns the residents without their adapters.
func withoutAdapters(residents []backend.Resident) []backend.Resident {
	out := make([]backend.Resident, len(residents))
	for i, r := range residents {
		out[i] = backend.Resident{Model: r.Model}
	}
	return out
}
