package residency

import "rockcleat/table"

// A residence says when a model needs at least one replica.
type residence int

const (
	// always requires a replica at all times, since requests cannot wait for a load.
	always residence = iota
	// whileCached allows the last replica to be evicted from an engine whose machine has the weights cached
	// and can load them again quickly. It applies to models whose demand is not expected to rise.
	whileCached
	// onRequest allows the last replica to be evicted, since requests can wait for a load.
	onRequest
)

// Conditions under which the last replica of a model may be evicted. Without eviction, models with little
// demand would take most of the engines' memory.
const (
	// onRequestLoads is the number of loads from disk that must fit into the objective of a model's requests:
	// one for the unload that makes room and one for the load.
	onRequestLoads = 2
	// lastReplicaFactor is the least ratio between the demand per replica of the model to load and the demand
	// of the model whose last replica is evicted. It is high because every request that waits for the evicted
	// model to be loaded again uses up its objective.
	lastReplicaFactor = 40
	// leastShare is the fraction of the total demand, measured or expected, at or above which a model always
	// has a replica, since it would be loaded again at once.
	leastShare = 0.02
	// leastConfidence is the confidence in the order of rises above which a model that is not next in that
	// order is not expected to rise.
	leastConfidence = 0.5
)

// residences returns the residence of each model, by name. The demands are those of Forecast. For a model that
// was never requested it is unknown how long its requests can wait, so it is never onRequest.
func residences(spec *table.EngineSpec, demands map[string]Demand, confidence float64) map[string]residence {
	total := 0.0
	for _, d := range demands {
		total += d.TokensPerSecond
	}
	out := make(map[string]residence, len(spec.Models))
	for _, m := range spec.Models {
		d := demands[m.Name]
		patient := d.Asked && m.DiskLoadTime > 0 && d.Objective >= onRequestLoads*m.DiskLoadTime
		switch {
		case d.TokensPerSecond >= leastShare*total:
			out[m.Name] = always
		case patient:
			out[m.Name] = onRequest
		case confidence > leastConfidence:
			out[m.Name] = whileCached
		}
	}
	return out
}
