package residency

import (
	"cmp"
	"slices"

	"rockcleat/backend"
)

// streamEvictionCost is the cost of evicting a replica that streams need at its software version, in seconds of loading.
// It exceeds the load of any model and all other costs, so that a missing model is loaded elsewhere if it can be.
const streamEvictionCost = 100.0

// streamLoadGain is what a load is worth at a software version that streams need and at which no engine holds the model, in
// seconds of loading. It exceeds sameHallPenalty, and is about as long as a stream waits.
const streamLoadGain = 2.0

// A versionedModel is a model at one software version.
type versionedModel struct{ model, version string }

// isNeededByStreams reports whether the replica of a model on an engine is the last one at the engine's software version,
// and streams of the model need that version.
func (p *plan) isNeededByStreams(e *EngineView, model string) bool {
	return p.in.Demands[model].StreamVersions[e.Version] && p.replicasAt[versionedModel{model, e.Version}] <= 1
}

// streamGain returns streamLoadGain if streams of a model wait for it at an engine's software version, and 0 otherwise.
func (p *plan) streamGain(e *EngineView, model string) float64 {
	if p.in.Demands[model].StreamVersions[e.Version] && p.replicasAt[versionedModel{model, e.Version}] == 0 {
		return streamLoadGain
	}
	return 0
}

// neededByStreams returns those of the evictions from an engine that streams need.
func (p *plan) neededByStreams(e *EngineView, evictions []string) []string {
	var needed []string
	for _, model := range evictions {
		if p.isNeededByStreams(e, model) {
			needed = append(needed, model)
		}
	}
	return needed
}

// compareEviction orders the replicas on an engine by which is evicted first: those that streams need last, models that are
// not configured first, the others in increasing order of demand.
func (p *plan) compareEviction(e *EngineView, a, b string) int {
	return cmp.Or(compareBool(p.isNeededByStreams(e, a), p.isNeededByStreams(e, b)), compareBool(p.isConfigured(a), p.isConfigured(b)), cmp.Compare(p.demandPerReplica(a), p.demandPerReplica(b)))
}

func (p *plan) isConfigured(model string) bool {
	_, ok := p.in.Spec.Model(model)
	return ok
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// InterruptsStreams reports whether the unload of a model from an engine would leave streams of the model without a server
// of their software version. The unload makes room for the model named other, as planned earlier, and engines are the views
// after all planned moves. other is empty if the load was abandoned. InterruptsStreams returns false if other has no other
// replica: that each model can be reached comes first.
func InterruptsStreams(engines []EngineView, engine, model, other string, versions map[string]bool) bool {
	version, isFirst := "", other != ""
	for i := range engines {
		e := &engines[i]
		if e.ID == engine {
			version = e.Version
		} else if !e.Leaving && holds(e, other) {
			isFirst = false
		}
	}
	if isFirst || !versions[version] {
		return false
	}
	for i := range engines {
		e := &engines[i]
		if e.ID != engine && e.Version == version && !e.Leaving && e.Loading != model && holds(e, model) {
			return false
		}
	}
	return true
}

// isNeededByStreams reports whether streams of an adapter need the software version of an engine that holds it, and no
// other engine of the version does.
func (in *AdapterInput) isNeededByStreams(e *EngineView, a backend.Adapter) bool {
	if !in.StreamVersions[a][e.Version] {
		return false
	}
	return !slices.ContainsFunc(in.Engines, func(other EngineView) bool {
		return other.ID != e.ID && other.Version == e.Version && holdsAdapter(&other, a)
	})
}
