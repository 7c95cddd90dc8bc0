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

// When the last replica of a model may go. With 26 models on 12 engines of 3 places, one
// replica of each takes 26 of 36 places, most of them for models with 5 % of the requests or
// none. Worth of 25 days with trouble, and of the five of a site of 41 engines with 90
// models: 0.483 and not measured with a replica of each model; 0.486 and 0.572 with models
// on request; 0.511 and 0.668 with those and whileCached (trials).
const (
	// onRequestLoads is how many times a model must be loadable from a disk within the
	// objective of its requests: once for the unload before it and once for itself.
	// Chosen, not measured.
	onRequestLoads = 2
	// lastReplicaFactor is how many times the demand of a last replica's model the demand on
	// each replica of the model in its place must be. Worth of five days with trouble 0.514
	// without it, 0.500 at 20, 0.524 at 40; of five of a site where the requests that can wait
	// are as dear as others 0.761 without it, 0.786 at 20, 0.805 at 40, 0.803 at 60.
	lastReplicaFactor = 40
	// leastShare is the part of all demand, measured or expected, from which on a model
	// always has a replica, since it would be loaded again at once. Chosen, not measured.
	leastShare = 0.02
	// leastConfidence is how sure the order of rises must be for a model that is not next
	// to count as not expected to rise. At 0.8, some three rises in order and none out of it, 10
	// plays of a site where demand moves along the list gave 0.446 instead of 0.470 (trials).
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
