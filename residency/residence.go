package residency

import "rockcleat/table"

// A residence says when a model needs a replica.
type residence int

const (
	// always: its requests cannot wait for a load.
	always residence = iota
	// whileCached: its demand is not expected to rise; the last replica may leave an engine
	// whose machine keeps the weights cached, from where it is back in a second or two.
	whileCached
	// onRequest: its requests can wait until it is loaded.
	onRequest
)

// When the last replica of a model may go: one of each would take most of the engines' memory for
// models that few ask for.
const (
	// onRequestLoads is how many times a model must be loadable from a disk within the
	// objective of its requests: once for the unload before it and once for itself.
	onRequestLoads = 2
	// lastReplicaFactor is how many times the demand of a last replica's model the demand on
	// each replica of the model in its place must be: a load on
	// request takes its objective from each request that waits for it.
	lastReplicaFactor = 40
	// leastShare is the part of all demand, measured or expected, from which on a model
	// always has a replica, since it would be loaded again at once.
	leastShare = 0.02
	// leastConfidence is how sure the order of rises must be for a model that is not next to
	// count as not expected to rise.
	leastConfidence = 0.5
)

// residences returns when each model needs a replica, by name. Demands are those expected;
// of a model that was never asked for nobody knows how long its requests can wait.
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
