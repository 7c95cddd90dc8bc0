package residency

import (
	"cmp"
	"slices"

	"rockcleat/backend"
	"rockcleat/table"
)

// evictions returns what to unload so that a model fits on an engine, what serves the
// least demand first, and whether that is enough.
func (p *plan) evictions(e *EngineView, m table.ModelSpec) (evictions []string, ok bool) {
	need := p.missingMemory(e, m)
	if need <= 0 {
		return nil, true
	}
	list := slices.Clone(e.Residents)
	slices.SortStableFunc(list, func(a, b backend.Resident) int {
		return cmp.Compare(p.demandPerReplica(a.Model), p.demandPerReplica(b.Model))
	})
	for _, r := range list {
		if !p.evictable(e, r.Model, m.Name) {
			continue
		}
		evictions = append(evictions, r.Model)
		need -= weightsOf(p.in.Spec, backend.Resident{Model: r.Model})
		if need <= 0 {
			return evictions, true
		}
	}
	return nil, false
}

// evictable reports whether a replica of the model may be evicted. The last one is only if
// the model is no longer configured, or may be loaded again on request (mayReturn) and the
// other model has a replica and far more demand. Otherwise one too many is, if it was not
// loaded recently; for a model that has no replica, any is.
func (p *plan) evictable(e *EngineView, model, other string) bool {
	forFirstReplica := p.replicas[other] == 0
	if p.replicas[model] <= 1 {
		_, configured := p.in.Spec.Model(model)
		return !configured || !forFirstReplica && p.outweighs(other, model) && p.mayReturn(e, model)
	}
	if forFirstReplica {
		return true
	}
	return !e.RecentlyLoaded[model] && p.replicas[model] > p.targets[model]
}

// outweighs reports whether a further replica of a model is worth the last one of another.
func (p *plan) outweighs(model, last string) bool {
	return p.demandPerReplica(model) > lastReplicaFactor*p.in.Demands[last].TokensPerSecond
}

// mayReturn reports whether the last replica of a model may leave an engine, to be loaded
// again when there is a request for it.
func (p *plan) mayReturn(e *EngineView, model string) bool {
	if p.in.Demands[model].Waiting > 0 || e.RecentlyLoaded[model] {
		return false
	}
	switch p.residences[model] {
	case onRequest:
		return true
	case whileCached:
		return SourceOf(e.CachedInMemory, e.CachedOnDisk, model) != FromStore
	}
	return false
}

// evictionCost returns what the evictions for a model cost, in seconds of loading: each by
// its share of the demand that it and the new replica serve.
func (p *plan) evictionCost(m table.ModelSpec, evictions []string) float64 {
	sum := 0.0
	for _, model := range evictions {
		lost := p.demandPerReplica(model)
		// The 1, a token a second, only keeps the share defined without demand.
		sum += evictionPenalty * lost / (p.demandPerReplica(m.Name) + lost + 1)
	}
	return sum
}

// demandPerReplica is the demand that one replica of a model serves, in tokens a second.
func (p *plan) demandPerReplica(model string) float64 {
	return p.in.Demands[model].TokensPerSecond / float64(max(p.replicas[model], 1))
}

// missingMemory returns how much memory an engine lacks for a model, in MB; the memory that
// its adapter slots may take, or its adapters do take, stays reserved.
func (p *plan) missingMemory(e *EngineView, m table.ModelSpec) float64 {
	spec := p.in.Spec
	bare := Free(spec, withoutAdapters(e.Residents))
	adapters := max(adapterReserve(spec), bare-Free(spec, e.Residents))
	return m.WeightsMB + adapters - bare
}

// Free returns the memory that an engine has left beside its residents, in MB.
func Free(spec *table.EngineSpec, residents []backend.Resident) float64 {
	free := spec.WeightsMB
	for _, r := range residents {
		free -= weightsOf(spec, r)
	}
	return free
}

// weightsOf returns the memory of a model with its adapters, in MB; 0 for one that is not
// configured, whose size nobody knows.
func weightsOf(spec *table.EngineSpec, r backend.Resident) float64 {
	m, ok := spec.Model(r.Model)
	if !ok {
		return 0
	}
	return m.WeightsMB + float64(len(r.Adapters))*m.AdapterMB
}

// adapterReserve returns the memory that an engine's adapter slots may take, in MB.
func adapterReserve(spec *table.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

// withoutAdapters returns the models alone.
func withoutAdapters(residents []backend.Resident) []backend.Resident {
	out := make([]backend.Resident, len(residents))
	for i, r := range residents {
		out[i] = backend.Resident{Model: r.Model}
	}
	return out
}
