package residency

import "rockcleat/table"

// A loadPolicy says when a model needs a replica.
type loadPolicy int

const (
	// alwaysLoaded requires a replica at all times, since requests cannot wait for a load.
	alwaysLoaded loadPolicy = iota
	// unloadIfCached allows the last replica to be evicted from an engine whose machine has the weights cached
	// and can load them again quickly. It applies to models whose demand is not expected to rise.
	unloadIfCached
	// loadOnRequest allows the last replica to be evicted, since requests can wait for a load.
	loadOnRequest
)

// Conditions under which the last replica of a model may be evicted. Without eviction, models with little
// demand would take most of the engines' memory.
const (
	// loadsWithinObjective is the number of load times from disk that must fit into the objective of a model's
	// requests: one for the unload that makes room and one for the load.
	loadsWithinObjective = 2
	// lastReplicaDemandRatio is the ratio that must be exceeded between the demand per replica of the model to load
	// and the demand of the model whose last replica is evicted. It is high because requests that wait for the
	// evicted model to be loaded again use up their objective.
	lastReplicaDemandRatio = 40
	// alwaysLoadedShare is the fraction of the total demand, measured or expected, at or above which a model always
	// has a replica, since it would be loaded again at once.
	alwaysLoadedShare = 0.02
	// minConfidence is the Confidence above which the demand of a model that is not next in the order of the list
	// is not expected to rise.
	minConfidence = 0.5
)

// loadPolicies returns the policy of each model, by name; a model without one is alwaysLoaded. The demands are those
// of Forecast. A model that was never requested is never loadOnRequest, since it is unknown how long its requests can
// wait.
func loadPolicies(spec *table.EngineSpec, demands map[string]Demand, confidence float64) map[string]loadPolicy {
	total := 0.0
	for _, d := range demands {
		total += d.TokensPerSecond
	}
	out := make(map[string]loadPolicy, len(spec.Models))
	for _, m := range spec.Models {
		d := demands[m.Name]
		canWait := d.Asked && m.DiskLoadTime > 0 && d.Objective >= loadsWithinObjective*m.DiskLoadTime
		switch {
		case d.TokensPerSecond >= alwaysLoadedShare*total:
			out[m.Name] = alwaysLoaded
		case canWait:
			out[m.Name] = loadOnRequest
		case confidence > minConfidence:
			out[m.Name] = unloadIfCached
		}
	}
	return out
}
