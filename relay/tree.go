package relay

import (
	"cmp"
	"slices"

	"rockcleat/rendezvous"
)

// Width is the number of children of a process: 9 processes are one level below the root at most,
// 73 two and 585 three.
const Width = 8

// A Member is a process of a tree.
type Member struct {
	// ID names the process, Addr is where it takes messages.
	ID, Addr string
}

// A Tree holds the members of a tree without its root; it is not to be changed.
type Tree struct {
	// members are in an order that depends on their names alone.
	members []Member
}

// orderKey is the key by whose weights members are ordered, so that neighbours in name, which often
// share a machine room, are not neighbours in the tree.
var orderKey = rendezvous.Key("relay")

// New returns the tree of a list of members.
func New(list []Member) *Tree {
	members := slices.Clone(list)
	slices.SortFunc(members, func(a, b Member) int {
		weights := cmp.Compare(rendezvous.Weight(b.ID, orderKey), rendezvous.Weight(a.ID, orderKey))
		return cmp.Or(weights, cmp.Compare(a.ID, b.ID))
	})
	return &Tree{members: members}
}

// A Position is the place of a process in a tree.
type Position struct {
	// Depth is the number of hops to the root, 0 for the root itself.
	Depth int
	// Parents are the addresses of the process's parent, of that one's parent and so on. The last
	// is the root's, if one is known.
	Parents []string
}

// Position returns the place of the member at an address below the root at another; root is empty
// if none is known, which leaves the first level without a parent. It reports false if the tree
// does not have the member.
func (t *Tree) Position(addr, root string) (Position, bool) {
	if addr == root {
		return Position{}, true
	}
	members := t.without(root)
	i := indexOf(members, addr)
	if i < 0 {
		return Position{}, false
	}
	p := Position{Depth: 1}
	for i >= Width {
		i = i/Width - 1
		p.Depth++
		p.Parents = append(p.Parents, members[i].Addr)
	}
	if root != "" {
		p.Parents = append(p.Parents, root)
	}
	return p, true
}

// without returns the members without the one at an address; the last one takes its place, so that
// few others move.
func (t *Tree) without(addr string) []Member {
	i := indexOf(t.members, addr)
	if i < 0 {
		return t.members
	}
	last := len(t.members) - 1
	members := slices.Clone(t.members[:last])
	if i < last {
		members[i] = t.members[last]
	}
	return members
}

func indexOf(members []Member, addr string) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.Addr == addr })
}
