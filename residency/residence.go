package residency

import "rockcleat/table"

// A residence says when a model needs at least one replica.
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
	// loadsWithinObjective is the number of loads from disk that must fit into the objective of a model's requests:
	// one for the unload that makes room and one for the load.
	loadsWithinObjective = 2
	// lastReplicaDemandRatio is the least ratio between the demand per replica of the model to load and the demand
	// of the model whose last replica is evicted. It is high because every request that waits for the evicted
	// model to be loaded again uses up its objective.
	lastReplicaDemandRatio = 40
	// alwaysLoadedShare is the fraction of the total demand, measured or expected, at or above which a model always
	// has a replica, since it would be loaded again at once.
	alwaysLoadedShare = 0.02
	// minConfidence is the confidence in the order of rises above which a model that is not next in that
	// order is not expected to rise.
	minConfidence = 0.5
)

// loadPolicys returns the residence of each model, by name. The demands are those of Forecast. For a model that
// was never requested it is unknown how long its requests can wait, so it is never loadOnRequest.
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
