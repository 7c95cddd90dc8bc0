package rendezvous

import "hash/fnv"

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
