package residency

import (
	"container/heap"

	"rockcleat/table"
)

// replicaOffset is added to a model's number of replicas when its demand is divided by
// them: below 1, so that a model's second replica counts for more than in proportion.
// Chosen with the first path (docs/MEASUREMENTS.md, P1), not measured alone.
const replicaOffset = 0.5

// ReplicaTargets divides the memory of a number of engines among the models: one replica
// each, and the rest to whichever model has the most demand on each replica, until nothing
// fits any more. At most one replica of a model fits on an engine.
func ReplicaTargets(spec *table.EngineSpec, demands map[string]Demand, engines int) map[string]int {
	room := spec.WeightsMB * float64(engines)
	var candidates replicaHeap
	for i, m := range spec.Models {
		room -= m.WeightsMB
		c := replicaCandidate{index: i, replicas: 1, tokensPerSecond: demands[m.Name].TokensPerSecond}
		if c.tokensPerSecond > 0 {
			candidates = append(candidates, c)
		}
	}
	heap.Init(&candidates)
	targets := make(map[string]int, len(spec.Models))
	for _, m := range spec.Models {
		targets[m.Name] = 1
	}
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
	index           int
	replicas        int
	tokensPerSecond float64
}

// priority is the demand on each replica.
func (c replicaCandidate) priority() float64 {
	return c.tokensPerSecond / (float64(c.replicas) + replicaOffset)
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
