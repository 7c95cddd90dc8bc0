package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/rendezvous"
)

// TestValuesNeverChange pins hash values, since processes of different versions must agree on them.
func TestValuesNeverChange(t *testing.T) {
	assert.Equal(t, rendezvous.Key(""), uint64(0xcbf29ce484222325))
	assert.Equal(t, rendezvous.Key("renewal-7"), uint64(0x8c7fcbbc99b980c7))
	assert.Equal(t, rendezvous.Weight("entry-1", 7), uint64(0xd0262d98fa8b1030))
}

// TestNodeThatGoesMovesOnlyItsKeys checks that removing a node reassigns only the keys of that
// node.
func TestNodeThatGoesMovesOnlyItsKeys(t *testing.T) {
	nodes := []string{"a", "b", "c", "d"}
	owned := make(map[string]int)
	for i := range 1000 {
		key := rendezvous.Key(fmt.Sprint("key", i))
		before, after := rendezvous.Owner(nodes, key), rendezvous.Owner(nodes[:3], key)
		owned[before]++
		assert.Assert(t, before == after || before == "d", "key %d went from %s to %s", i, before, after)
	}
	for _, n := range nodes {
		assert.Assert(t, owned[n] > 150 && owned[n] < 350, "%v", owned)
	}
}

// TestTop compares the top nodes with the order of all nodes by Compare.
func TestTop(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := rendezvous.Key(fmt.Sprint("key", i))
		sorted := slices.SortedFunc(slices.Values(nodes), func(a, b string) int { return rendezvous.Compare(a, b, key) })
		for n := range len(nodes) + 2 {
			assert.DeepEqual(t, rendezvous.Top(nodes, key, n), sorted[:min(n, len(nodes))])
		}
		assert.Equal(t, sorted[0], rendezvous.Owner(nodes, key))
	}
	assert.DeepEqual(t, nodes, []string{"a", "b", "c", "d", "e"})
}

func TestOwner(t *testing.T) {
	assert.Equal(t, rendezvous.Owner(nil, 7), "")
	assert.Equal(t, rendezvous.Owner([]string{"a"}, 7), "a")
	assert.Equal(t, rendezvous.Owner([]string{"a", "b", "c"}, 7), rendezvous.Owner([]string{"c", "b", "a"}, 7), "in any order")
}
