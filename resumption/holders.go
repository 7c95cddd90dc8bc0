package resumption

import "rockcleat/rendezvous"

// A Node is a process that may hold records.
type Node struct {
	ID, Hall string
}

// Holders returns the IDs of the n nodes that hold the record of a stream, in order of preference. The first two are
// in different data halls if possible. Processes with the same list of nodes agree on the result, and a node that is
// added or removed changes it only where that node is a holder.
func Holders(nodes []Node, k Key, n int) []string {
	r := newRanking(nodes, k)
	var ids []string
	for len(ids) < min(n, len(nodes)) {
		next := -1
		if len(ids) == 1 {
			next = r.best(func(n Node) bool { return n.Hall != r.firstHall })
		}
		if next < 0 {
			next = r.best(func(Node) bool { return true })
		}
		if len(ids) == 0 {
			r.firstHall = nodes[next].Hall
		}
		r.taken[next] = true
		ids = append(ids, nodes[next].ID)
	}
	return ids
}

// A ranking orders nodes by their weight for one key.
type ranking struct {
	nodes   []Node
	weights []uint64
	taken   []bool
	// firstHall is the data hall of the first holder.
	firstHall string
}

func newRanking(nodes []Node, k Key) *ranking {
	r := &ranking{nodes: nodes, weights: make([]uint64, len(nodes)), taken: make([]bool, len(nodes))}
	hash := k.hash()
	for i, n := range nodes {
		r.weights[i] = rendezvous.Weight(n.ID, hash)
	}
	return r
}

// best returns the index of the node with the highest weight that is not taken and that allowed accepts, or -1.
func (r *ranking) best(allowed func(Node) bool) int {
	best := -1
	for i, n := range r.nodes {
		if !r.taken[i] && allowed(n) && (best < 0 || r.isAhead(i, best)) {
			best = i
		}
	}
	return best
}

// isAhead reports whether one node precedes another. Nodes of equal weight are ordered by ID.
func (r *ranking) isAhead(i, j int) bool {
	if r.weights[i] != r.weights[j] {
		return r.weights[i] > r.weights[j]
	}
	return r.nodes[i].ID < r.nodes[j].ID
}
