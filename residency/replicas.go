package residency

import (
	"container/heap"
	"math"

	"rockcleat/table"
)

// replicaOffset is added to the number of replicas by which a model's demand is divided. A value below 1 raises
// the priority of a second replica.
const replicaOffset = 0.5

// demandExponent is the power of demand in proportion to which the spare memory is divided. A value below 1
// leaves more replicas to models with little demand, since replicas follow a rise in demand only with a delay. The
// square root would leave ten replicas to a model that needs 30.
const demandExponent = 0.75

// replicaTargets divides the memory of a number of engines among the models and returns the number of replicas
// of each. Every model gets one replica, except models that may be unloaded and have no waiting request. The
// remaining memory goes, one replica at a time, to the model with the highest priority, until no replica fits.
// An engine holds at most one replica of a model.
func replicaTargets(spec *table.EngineSpec, demands map[string]Demand, policies map[string]loadPolicy, engines int) map[string]int {
	freeMB := spec.WeightsMB * float64(engines)
	var candidates replicaHeap
	targets := make(map[string]int, len(spec.Models))
	for i, m := range spec.Models {
		d := demands[m.Name]
		if policies[m.Name] != alwaysLoaded && d.Waiting == 0 {
			continue
		}
		targets[m.Name] = 1
		freeMB -= m.WeightsMB
		if d.TokensPerSecond > 0 {
			candidates = append(candidates, replicaCandidate{
				index: i, replicas: 1, scaledDemand: math.Pow(d.TokensPerSecond, demandExponent),
			})
		}
	}
	heap.Init(&candidates)
	for len(candidates) > 0 {
		c := &candidates[0]
		m := &spec.Models[c.index]
		if c.replicas >= engines || m.WeightsMB > freeMB {
			// The remaining memory only shrinks, so the model gets no further replica.
			heap.Pop(&candidates)
			continue
		}
		freeMB -= m.WeightsMB
		c.replicas++
		targets[m.Name] = c.replicas
		heap.Fix(&candidates, 0)
	}
	return targets
}

// A replicaCandidate is a model that may get another replica.
type replicaCandidate struct {
	index    int
	replicas int
	// scaledDemand is the model's demand to the power of demandExponent.
	scaledDemand float64
}

// priority returns the scaled demand per replica.
func (c replicaCandidate) priority() float64 {
	return c.scaledDemand / (float64(c.replicas) + replicaOffset)
}

// replicaHeap is a heap of candidates, the one with the highest priority first.
type replicaHeap []replicaCandidate

// Len implements heap.Interface.
func (c replicaHeap) Len() int { return len(c) }

// Less implements heap.Interface.
func (c replicaHeap) Less(i, j int) bool {
	if a, b := c[i].priority(), c[j].priority(); a != b {
		return a > b
	}
	return c[i].index < c[j].index
}

// Swap implements heap.Interface.
func (c replicaHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *replicaHeap) Push(x any) { *c = append(*c, x.(replicaCandidate)) }

// Pop implements heap.Interface.
func (c *replicaHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}
