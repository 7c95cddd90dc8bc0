package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Weight returns the weight of a node for a key. The key is assigned to the node with the highest
// weight.
func Weight(node string, key uint64) uint64 { return splitMix64(Key(node) ^ splitMix64(key)) }

// Owner returns the node with the highest weight for a key, the first of them in the list on a tie.
// It returns the empty string if nodes is empty.
func Owner(nodes []string, key uint64) string {
	best, bestWeight := "", uint64(0)
	for _, n := range nodes {
		if w := Weight(n, key); best == "" || w > bestWeight {
			best, bestWeight = n, w
		}
	}
	return best
}

// Top returns the n nodes with the highest weights for a key, the highest first. It returns all nodes if there are fewer.
func Top(nodes []string, key uint64, n int) []string {
	n = min(n, len(nodes))
	rest := slices.Clone(nodes)
	top := make([]string, 0, n)
	for len(top) < n {
		best := Owner(rest, key)
		top = append(top, best)
		i := slices.Index(rest, best)
		rest = slices.Delete(rest, i, i+1)
	}
	return top
}

// Compare orders nodes by their weights for a key, the highest first.
func Compare(a, b string, key uint64) int { return cmp.Compare(Weight(b, key), Weight(a, key)) }

// splitMix64 is the SplitMix64 finalizer (Steele et al., OOPSLA 2014).
func splitMix64(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Key returns the 64-bit FNV-1a hash of a string.
func Key(text string) uint64 {
	h := fnv.New64a()
	// hash.Hash.Write never returns an error.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
