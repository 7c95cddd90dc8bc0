package residency

import (
	"container/heap"
	"math"

	"rockcleat/table"
)

// replicaOffset is added to a model's number of replicas when its demand is divided by
// them: below 1, so that a model's second replica counts for more than in proportion.
const replicaOffset = 0.5

// demandExponent is the power of demand by which the spare memory is divided: less than in
// proportion, so that models with little demand have replicas when theirs rises, which takes longer
// to follow than to serve what there is. With many engines, where the busiest model needs some 30
// replicas, the root leaves it with ten.
const demandExponent = 0.75

// replicaTargets divides the memory of a number of engines among the models: one replica
// each, but for those that need none and that nobody waits for, and the rest to whichever
// model has the largest share of demand on each replica, until nothing fits any more. At
// most one replica of a model fits on an engine.
func replicaTargets(spec *table.EngineSpec, demands map[string]Demand, residences map[string]residence, engines int) map[string]int {
	room := spec.WeightsMB * float64(engines)
	var candidates replicaHeap
	targets := make(map[string]int, len(spec.Models))
	for i, m := range spec.Models {
		d := demands[m.Name]
		if residences[m.Name] != always && d.Waiting == 0 {
			continue
		}
		targets[m.Name] = 1
		room -= m.WeightsMB
		if d.TokensPerSecond > 0 {
			candidates = append(candidates, replicaCandidate{
				index: i, replicas: 1, share: math.Pow(d.TokensPerSecond, demandExponent),
			})
		}
	}
	heap.Init(&candidates)
	for len(candidates) > 0 {
		c := &candidates[0]
		m := &spec.Models[c.index]
		if c.replicas >= engines || m.WeightsMB > room {
			// Room only shrinks, so the model gets no further replica.
			heap.Pop(&candidates)
			continue
		}
		room -= m.WeightsMB
		c.replicas++
		targets[m.Name] = c.replicas
		heap.Fix(&candidates, 0)
	}
	return targets
}

// A replicaCandidate is a model that may get a further replica.
type replicaCandidate struct {
	index    int
	replicas int
	// share is the model's demand to the power of demandExponent.
	share float64
}

// priority is the share on each replica.
func (c replicaCandidate) priority() float64 {
	return c.share / (float64(c.replicas) + replicaOffset)
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
