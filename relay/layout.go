package relay

import (
	"cmp"
	"slices"
)

// noParent marks a node whose parent is the root.
const noParent = -1

// A layout assigns each member of a tree, by its index, a node below the root. Nodes have the
// numbers of the members that they are assigned to.
//
// A node takes its children from its own data hall. Members for which the nodes of their data hall
// have no room down to the least possible depth go to nodes of their region, and only then elsewhere.
// So few updates pass between data halls, however many members there are.
type layout struct {
	members  []Member
	parents  []int
	depths   []int
	children []int
	// minDepth is the depth of a tree of so many members in one data hall, depth that of this one.
	minDepth, depth int
	// unplaced holds the members of each data hall that have no node yet.
	unplaced map[string][]int
	// halls holds the names of the data halls, sorted.
	halls []string
}

// newLayout returns the layout of the members, which depends on their order.
func newLayout(members []Member) *layout {
	l := &layout{
		members: members, parents: make([]int, len(members)), depths: make([]int, len(members)),
		children: make([]int, len(members)), unplaced: make(map[string][]int),
	}
	for room := 0; room < len(members); room = Fanout * (1 + room) {
		l.minDepth++
	}
	for i, m := range members {
		if _, known := l.unplaced[m.Hall]; !known {
			l.halls = append(l.halls, m.Hall)
		}
		l.unplaced[m.Hall] = append(l.unplaced[m.Hall], i)
	}
	slices.Sort(l.halls)
	level := l.firstLevel(min(Fanout, len(members)))
	for placed := len(level); placed < len(members); placed += len(level) {
		level = l.nextLevel(level)
	}
	return l
}

// firstLevel places n members below the root. Each goes to the data hall with the most members
// waiting for each one placed there.
func (l *layout) firstLevel(n int) []int {
	level := make([]int, 0, n)
	inHall := make(map[string]int)
	for len(level) < n {
		hall := slices.MaxFunc(l.halls, func(a, b string) int {
			return cmp.Compare(len(l.unplaced[a])*(1+inHall[b]), len(l.unplaced[b])*(1+inHall[a]))
		})
		inHall[hall]++
		level = append(level, l.place(hall, noParent, 1))
	}
	return level
}

// nextLevel places up to Fanout children of each node of a level and returns them.
func (l *layout) nextLevel(level []int) []int {
	next := l.placeChildren(level, l.hallOf)
	overflow := l.overflow(next)
	for _, isNear := range []func(parent Member, hall string) bool{l.isSameRegion, isAnywhere} {
		next = append(next, l.placeChildren(level, func(parent Member) (hall string, ok bool) {
			hall, ok = fullestHall(overflow, func(hall string) bool { return isNear(parent, hall) })
			if ok {
				overflow[hall]--
			}
			return hall, ok
		})...)
	}
	return next
}

// overflow returns, for each data hall, how many of its unplaced members have no room below its own
// nodes of a level.
func (l *layout) overflow(level []int) map[string]int {
	overflow := make(map[string]int, len(l.halls))
	for _, hall := range l.halls {
		overflow[hall] = len(l.unplaced[hall])
	}
	for _, node := range level {
		room := 0
		for depth := l.depths[node]; depth < l.minDepth; depth++ {
			room = Fanout * (1 + room)
		}
		overflow[l.members[node].Hall] -= room
	}
	return overflow
}

// placeChildren places one child of each parent after the other, until no parent can take one. The
// child is an unplaced member of the data hall that choose returns for the parent.
func (l *layout) placeChildren(level []int, choose func(parent Member) (hall string, ok bool)) []int {
	var placed []int
	for {
		before := len(placed)
		for _, parent := range level {
			if l.children[parent] == Fanout {
				continue
			}
			if hall, ok := choose(l.members[parent]); ok {
				placed = append(placed, l.place(hall, parent, l.depths[parent]+1))
			}
		}
		if len(placed) == before {
			return placed
		}
	}
}

// hallOf returns the data hall of a member, if members of it are unplaced.
func (l *layout) hallOf(m Member) (hall string, ok bool) { return m.Hall, len(l.unplaced[m.Hall]) > 0 }

// fullestHall returns the data hall with the highest positive count among those that are near.
func fullestHall(counts map[string]int, isNear func(hall string) bool) (hall string, ok bool) {
	most := 0
	for h, n := range counts {
		if (n > most || n == most && h < hall) && n > 0 && isNear(h) {
			hall, most = h, n
		}
	}
	return hall, most > 0
}

func (l *layout) isSameRegion(parent Member, hall string) bool {
	waiting := l.unplaced[hall]
	return len(waiting) > 0 && l.members[waiting[0]].Region == parent.Region
}

func isAnywhere(Member, string) bool { return true }

// place gives the next member of a data hall a node and returns the node.
func (l *layout) place(hall string, parent, depth int) int {
	node := l.unplaced[hall][0]
	l.unplaced[hall] = l.unplaced[hall][1:]
	l.parents[node], l.depths[node] = parent, depth
	l.depth = max(l.depth, depth)
	if parent != noParent {
		l.children[parent]++
	}
	return node
}

// substitute returns the member that takes the node of a member which is the root: one of the deepest
// nodes, if possible of the same data hall or region, so that the others keep their parents. If the
// root's node is one of the deepest, it stays empty, and substitute returns the root.
func (l *layout) substitute(root int) int {
	best, bestDistance := root, farthest+1
	if l.depths[root] == l.depth {
		return best
	}
	for i, depth := range l.depths {
		if distance := l.members[i].distance(l.members[root]); depth == l.depth && distance < bestDistance {
			best, bestDistance = i, distance
		}
	}
	return best
}
