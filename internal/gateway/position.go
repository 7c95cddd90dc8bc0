package gateway

import (
	"math/rand/v2"
	"time"
)

// Who asks the store when the leader's view does not come.
const (
	// levelPatience is the part of the age that a view may have by which each level of the tree waits
	// longer before it asks the store itself: the level above has asked by then and hands on what it
	// got.
	levelPatience = 0.25
	// listPatience is how long a gateway that starts waits for the list of servers and the
	// configuration from others, firstListPatience the same when the whole system starts for the first
	// time, without callers yet. A gateway that runs answers within some 50 ms; where all have
	// restarted together nobody does, and callers wait: with 0.6 s 126 requests instead of 311 were in
	// time in the 2 s after all had lost their power.
	listPatience      = 150 * time.Millisecond
	firstListPatience = 600 * time.Millisecond
	// contentionStep is how much longer each level leaves a free lease to the one above, with as much
	// jitter: some ten times what it takes to write the record and hand it on.
	contentionStep = 300 * time.Millisecond
	// fleetProbes is the number of calls a second that all gateways below the first level make
	// together to a store that fails.
	fleetProbes = 8
)

// extraAge returns how much longer this gateway waits than those of the first level before it asks
// the store itself, by the age that their view may have.
func (d *directory) extraAge(leader string, maxAge time.Duration) time.Duration {
	levels := max(d.depth(leader)-1, 0)
	return time.Duration(levelPatience * float64(levels) * float64(maxAge))
}

// probePause returns for how long this gateway does not ask a store that failed: the leader and the
// first level ask it always.
func (d *directory) probePause(leader string) time.Duration {
	if d.depth(leader) <= 1 {
		return 0
	}
	pause := time.Second * time.Duration(d.count()) / fleetProbes
	return pause/2 + rand.N(pause)
}

// contentionDelay returns how long this gateway leaves a free lease to others: none on the first
// level, longer on each further one, so that not all gateways contend at once.
func (d *directory) contentionDelay(leader string) time.Duration {
	depth := d.depth(leader)
	if depth <= 1 {
		return 0
	}
	return time.Duration(depth-1)*contentionStep + rand.N(contentionStep)
}

// depth returns the level of this gateway in the tree. While it does not know the tree, one that
// others ask first is on the first level, and so is one that knows nobody to ask.
func (d *directory) depth(leader string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.tree.Position(d.self, leader); ok {
		return p.Depth
	}
	if d.hasNobodyToAsk() {
		return 1
	}
	return 2
}

// hasNobodyToAsk reports whether a gateway that does not know the tree goes to the store at once: it
// knows no other, or is one that others ask first. The directory is locked.
func (d *directory) hasNobodyToAsk() bool { return len(d.seeds) == 0 || d.isSeed }

// sources returns whom this gateway asks for changes of the store, the first one first: those above
// it in the tree; while it does not know the tree, the gateways that its settings name.
func (d *directory) sources(leader string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.tree.Position(d.self, leader); ok {
		return p.Parents
	}
	list := make([]string, 0, len(d.seeds)+1)
	if leader != "" {
		list = append(list, leader)
	}
	for _, i := range rand.Perm(len(d.seeds)) {
		list = append(list, d.seeds[i])
	}
	return list
}

// listWait returns how long a gateway that knows nothing yet waits for others to tell.
func (d *directory) listWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hasNobodyToAsk() {
		return 0
	}
	if d.firstStart {
		return firstListPatience
	}
	return listPatience
}
