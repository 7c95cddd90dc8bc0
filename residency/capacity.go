package residency

// slownessPenalty is the cost of loading a model on an engine that takes twice as long as the median engine, if the
// model has as much demand per replica as the average one, in seconds of loading. It does not exceed the load from the
// weight store of a small model, so that a fast engine is worth a load from disk instead of memory, but no more.
const slownessPenalty = 1.0

// maxDemandRatio bounds the demand per replica of a model, relative to the average, in slownessCost.
const maxDemandRatio = 4

// timeFactor returns TimeFactor, or 1 if it is not set.
func (e *EngineView) timeFactor() float64 {
	if e.TimeFactor <= 0 {
		return 1
	}
	return e.TimeFactor
}

// engineCapacity returns what a replica on an engine counts for: 1 on the median engine, less on a slow one.
func engineCapacity(e *EngineView) float64 { return 1 / e.timeFactor() }

// minCapacity returns the capacity from which a model has its target: less than half a replica is missing.
func (p *plan) minCapacity(model string) float64 { return float64(p.targets[model]) - 0.5 }

// slownessCost returns the cost of loading a model on an engine that takes twice as long as the median engine, in seconds
// of loading. It grows with the demand per replica of the model, so that busy models get the fast engines.
func (p *plan) slownessCost(model string) float64 {
	total, replicas := 0.0, 0
	for name, n := range p.replicas {
		total += p.in.Demands[name].TokensPerSecond
		replicas += n
	}
	if total == 0 {
		return 0
	}
	return slownessPenalty * min(p.demandPerReplica(model)/(total/float64(replicas)), maxDemandRatio)
}
