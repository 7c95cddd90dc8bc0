package relay

import (
	"cmp"
	"slices"

	"rockcleat/rendezvous"
)

// Width is the maximum number of children of a process. A tree of depth 1, 2 and 3 holds up to 9,
// 73 and 585 processes, the root included.
const Width = 8

// A Member is one process in a tree.
type Member struct {
	// ID is the unique name of the process, Addr the address at which it accepts requests.
	ID, Addr string
}

// A Tree holds the members from which positions are computed; the root is chosen per call. It is
// immutable and safe for concurrent use.
type Tree struct {
	// members are sorted by rendezvous weight, so the order depends only on their IDs.
	members []Member
}

// memberOrderKey is the rendezvous key by which members are ordered. Hashing separates members with
// similar names, which are likely to share a failure domain.
var memberOrderKey = rendezvous.Key("relay")

// New returns a tree of the given members.
func New(list []Member) *Tree {
	members := slices.Clone(list)
	slices.SortFunc(members, func(a, b Member) int {
		weights := cmp.Compare(rendezvous.Weight(b.ID, memberOrderKey), rendezvous.Weight(a.ID, memberOrderKey))
		return cmp.Or(weights, cmp.Compare(a.ID, b.ID))
	})
	return &Tree{members: members}
}

// A Position locates a process in a tree.
type Position struct {
	// Depth is the number of hops to the root; it is 0 for the root itself.
	Depth int
	// Parents are the addresses of the ancestors, nearest first. The last one is the root, if the
	// root is known.
	Parents []string
}

// Position returns the position of the member at address addr in the tree below root. If root is
// empty, members at depth 1 have no parent. The result is false if addr is neither the root nor a
// member.
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

// without returns the members except the one at addr. The last member takes its place, so that the
// others keep their positions.
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
