package relay

import (
	"cmp"
	"slices"

	"rockcleat/rendezvous"
)

// Fanout is the maximum number of children of a process. A tree of depth 1, 2 and 3 holds up to 9,
// 73 and 585 processes, the root included.
const Fanout = 8

// A Member is one process in a tree.
type Member struct {
	// ID is the unique name of the process, Addr the address at which it accepts requests.
	ID, Addr string
	// Hall is the data hall that the process is in, Region the region of that hall. They are empty if
	// not known.
	Hall, Region string
}

// farthest is the distance of members in different regions.
const farthest = 2

// distance returns 0 for members in the same data hall, 1 for those in the same region, else farthest.
func (m Member) distance(other Member) int {
	switch {
	case m.Hall == other.Hall:
		return 0
	case m.Region == other.Region:
		return 1
	}
	return farthest
}

// A Tree holds the members from which positions are computed; the root is chosen per call. It is
// immutable and safe for concurrent use.
type Tree struct {
	// members are sorted by rendezvous weight, so the order depends only on their IDs.
	members []Member
	layout  *layout
}

// memberOrderKey is the rendezvous key by which members are ordered. Hashing separates members with
// similar names, which are likely to share a failure domain.
var memberOrderKey = rendezvous.Key("relay")

// New returns a tree of the given members.
func New(list []Member) *Tree {
	members := slices.Clone(list)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(rendezvous.Compare(a.ID, b.ID, memberOrderKey), cmp.Compare(a.ID, b.ID))
	})
	return &Tree{members: members, layout: newLayout(members)}
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
	member := t.indexOf(addr)
	if member < 0 {
		return Position{}, false
	}
	swap := t.swapFor(root)
	node := swap.nodeOf(member)
	p := Position{Depth: t.layout.depths[node]}
	for node = t.layout.parents[node]; node != noParent; node = t.layout.parents[node] {
		p.Parents = append(p.Parents, t.members[swap.memberAt(node)].Addr)
	}
	if root != "" {
		p.Parents = append(p.Parents, root)
	}
	return p, true
}

// FirstLevel returns the addresses of the members at depth 1 below root, which may be empty.
func (t *Tree) FirstLevel(root string) []string {
	swap := t.swapFor(root)
	var list []string
	for node, depth := range t.layout.depths {
		if member := swap.memberAt(node); depth == 1 && member != swap.root {
			list = append(list, t.members[member].Addr)
		}
	}
	return list
}

// A rootSwap tells which member takes the node that the layout assigns to the root, as the root is above all nodes.
type rootSwap struct {
	// root is the index of the root, substitute that of the member that takes its node. Both are the same if the
	// root's node stays empty, and -1 if the root is not a member.
	root, substitute int
}

func (t *Tree) swapFor(root string) rootSwap {
	i := t.indexOf(root)
	if i < 0 {
		return rootSwap{root: -1, substitute: -1}
	}
	return rootSwap{root: i, substitute: t.layout.substitute(i)}
}

// memberAt returns the member that takes a node.
func (s rootSwap) memberAt(node int) int {
	if node == s.root {
		return s.substitute
	}
	return node
}

// nodeOf returns the node that a member other than the root takes.
func (s rootSwap) nodeOf(member int) int {
	if member == s.substitute {
		return s.root
	}
	return member
}

// indexOf returns the index of the member at an address, or -1 if there is none.
func (t *Tree) indexOf(addr string) int {
	return slices.IndexFunc(t.members, func(m Member) bool { return m.Addr == addr })
}
