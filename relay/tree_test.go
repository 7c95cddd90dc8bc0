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
// the tree has the least possible depth, and that no process has more than Width children.
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
				assert.Assert(t, n <= relay.Width, "%s has %d children", addr, n)
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
	assert.Equal(t, first, relay.Width)
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
		assert.Assert(t, moved <= 2*relay.Width+2, "%d of %d move", moved, len(list))
	}
}

// TestRootOutsideTheTree covers a root that is not in the list of members yet, such as a process
// that has just started.
func TestRootOutsideTheTree(t *testing.T) {
	p, ok := relay.New(members(3)).Position("addr0", "elsewhere")
	assert.Assert(t, ok)
	assert.DeepEqual(t, p, relay.Position{Depth: 1, Parents: []string{"elsewhere"}})
}
