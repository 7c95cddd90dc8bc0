package relay_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/relay"
)

func members(n int) []relay.Member {
	list := make([]relay.Member, n)
	for i := range list {
		list[i] = relay.Member{ID: fmt.Sprint("g", i), Addr: fmt.Sprint("addr", i)}
	}
	return list
}

// TestEveryMemberReachesTheRoot checks that each member's chain of parents ends at the root, that
// the tree has the least possible depth, and that no process has more than Fanout children.
func TestEveryMemberReachesTheRoot(t *testing.T) {
	tests := map[string]struct{ members, depth int }{
		"two":              {members: 2, depth: 1},
		"nine":             {members: 9, depth: 1},
		"ten":              {members: 10, depth: 2},
		"103":              {members: 103, depth: 3},
		"340":              {members: 340, depth: 3},
		"1000":             {members: 1000, depth: 4},
		"one without root": {members: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := members(test.members)
			tree := relay.New(list)
			root := list[test.members/2].Addr
			children := make(map[string]int)
			deepest := 0
			for _, m := range list {
				p, ok := tree.Position(m.Addr, root)
				assert.Assert(t, ok)
				assert.Equal(t, len(p.Parents), p.Depth)
				deepest = max(deepest, p.Depth)
				if p.Depth > 0 {
					children[p.Parents[0]]++
					assert.Equal(t, p.Parents[p.Depth-1], root)
					above, ok := tree.Position(p.Parents[0], root)
					assert.Assert(t, ok)
					assert.Equal(t, above.Depth, p.Depth-1)
				}
			}
			assert.Equal(t, deepest, test.depth)
			for addr, n := range children {
				assert.Assert(t, n <= relay.Fanout, "%s has %d children", addr, n)
			}
		})
	}
}

// TestNoRoot checks that without a root the members at depth 1 have no parent and deeper members
// keep theirs.
func TestNoRoot(t *testing.T) {
	list := members(30)
	tree := relay.New(list)
	first := 0
	for _, m := range list {
		p, ok := tree.Position(m.Addr, "")
		assert.Assert(t, ok)
		assert.Equal(t, len(p.Parents), p.Depth-1)
		if p.Depth == 1 {
			first++
		}
	}
	assert.Equal(t, first, relay.Fanout)
	_, ok := tree.Position("elsewhere", "")
	assert.Assert(t, !ok)
}

// TestAnotherRootMovesFewMembers checks that a change of the root changes the parents of few
// members.
func TestAnotherRootMovesFewMembers(t *testing.T) {
	list := members(103)
	tree := relay.New(list)
	for i := 1; i < len(list); i++ {
		before, after := list[0].Addr, list[i].Addr
		moved := 0
		for _, m := range list {
			p, _ := tree.Position(m.Addr, before)
			q, _ := tree.Position(m.Addr, after)
			if p.Depth > 1 && (q.Depth == 0 || p.Parents[0] != q.Parents[0]) {
				moved++
			}
		}
		assert.Assert(t, moved <= 2*relay.Fanout+2, "%d of %d move", moved, len(list))
	}
}

// TestRootOutsideTheTree covers a root that is not in the list of members yet, such as a process
// that has just started.
func TestRootOutsideTheTree(t *testing.T) {
	p, ok := relay.New(members(3)).Position("addr0", "elsewhere")
	assert.Assert(t, ok)
	assert.DeepEqual(t, p, relay.Position{Depth: 1, Parents: []string{"elsewhere"}})
}

// TestEdgesBetweenHalls checks that the number of members whose parent is in another data hall is
// bounded by the children of the root and a few for halls of uneven size, whatever the number of
// members, and that few of these edges pass between regions.
func TestEdgesBetweenHalls(t *testing.T) {
	// A layout describes where members are.
	type layout struct{ halls, regions int }
	tests := map[string]layout{"one region": {halls: 5, regions: 1}, "two regions": {halls: 6, regions: 2}}
	const maxBetweenHalls = 2 * relay.Fanout
	for name, test := range tests {
		for _, n := range []int{22, 103, 356, 712} {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				list := members(n)
				byAddr := make(map[string]relay.Member)
				for i := range list {
					// The first hall has twice as many members as each other.
					hall := max(i%(test.halls+1), 1)
					list[i].Hall, list[i].Region = fmt.Sprint("hall-", hall), fmt.Sprint("region-", hall%test.regions)
					byAddr[list[i].Addr] = list[i]
				}
				tree := relay.New(list)
				maxDepth := 1 + depthOf(n)
				for _, root := range []relay.Member{list[0], list[n/2], list[n-1]} {
					betweenHalls, betweenRegions, first := 0, 0, 0
					children := make(map[string]int)
					for _, m := range list {
						p, ok := tree.Position(m.Addr, root.Addr)
						assert.Assert(t, ok)
						if p.Depth == 0 {
							continue
						}
						assert.Assert(t, p.Depth <= maxDepth, "depth %d with %d members", p.Depth, n)
						children[p.Parents[0]]++
						assert.Assert(t, children[p.Parents[0]] <= relay.Fanout)
						if p.Depth == 1 {
							first++
						}
						parent := byAddr[p.Parents[0]]
						if parent.Hall != m.Hall {
							betweenHalls++
						}
						if parent.Region != m.Region {
							betweenRegions++
						}
					}
					assert.Equal(t, len(tree.FirstLevel(root.Addr)), first)
					assert.Assert(t, betweenHalls <= maxBetweenHalls, "%d of %d", betweenHalls, n)
					assert.Assert(t, betweenRegions <= relay.Fanout, "%d of %d", betweenRegions, n)
				}
			})
		}
	}
}

// depthOf returns the least depth of a tree of n members.
func depthOf(n int) int {
	depth := 0
	for room := 1; room < n; room = 1 + relay.Fanout*room {
		depth++
	}
	return depth
}
