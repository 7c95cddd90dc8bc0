package rendezvous

import "hash/fnv"

// Weight returns the weight of a node for a key; the node with the highest weight has the key.
func Weight(node string, key uint64) uint64 { return mix(Key(node) ^ mix(key)) }

// Owner returns the node with the highest weight for a key, the first such one of the list; empty without nodes.
func Owner(nodes []string, key uint64) string {
	best, highest := "", uint64(0)
	for _, n := range nodes {
		if w := Weight(n, key); best == "" || w > highest {
			best, highest = n, w
		}
	}
	return best
}

// mix is the finalizer of SplitMix64 (Steele et al., OOPSLA 2014).
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Key returns the key of a text: its FNV-1a hash.
func Key(text string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
