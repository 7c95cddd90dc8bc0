package gateway

import (
	"math/rand/v2"
	"time"

	"rockcleat/relay"
)

// Timing of the fallback to the store, when the leader's view does not arrive.
const (
	// levelDelayFraction is the fraction of a view's maximum age by which each level of the tree waits longer than the
	// one above before it reads the store itself. The level above has then read the store and passes on the result.
	levelDelayFraction = 0.25
	// listWaitTime is how long a starting gateway waits to get the servers and the configuration from other gateways
	// before it reads the store. A running gateway responds within some 50 ms. The time is short because, after a restart
	// of all gateways, none can respond and callers wait: with 600 ms, under half as many requests were served in time in
	// the 2 s after a loss of all gateways. firstListWaitTime applies when the whole system is started for the first time
	// and has no callers yet.
	listWaitTime      = 150 * time.Millisecond
	firstListWaitTime = 600 * time.Millisecond
	// treeWaitTime is how long a starting gateway waits for the list of gateways, from which it learns its place in the
	// tree. It exceeds fleetLoadDelay by the time of a read of the store.
	treeWaitTime = 400 * time.Millisecond
	// levelListWaitTime is what each level of the tree below the first adds to listWaitTime: the time in which the level
	// above starts and responds. While that one reads the list, a gateway waits longer (kv.Fanout.ExtendListWait).
	levelListWaitTime = 350 * time.Millisecond
	// contentionDelayStep is the additional delay, per level of the tree, before a gateway contends for a free lease. A
	// random delay of up to the same amount is added. It is long enough to write the record and distribute it.
	contentionDelayStep = 300 * time.Millisecond
	// maxShortfallDelay is the additional delay of a gateway whose VM has nothing of what a leader needs. It exceeds the
	// delays of gateways on the first three levels, so that a VM that can lead is first.
	maxShortfallDelay = 1500 * time.Millisecond
	// fleetProbesPerSecond is the total number of calls per second that the gateways below the first level make to a
	// failed store.
	fleetProbesPerSecond = 8
)

// fallbackDelay returns how much longer this gateway waits than the first level before it reads the store itself. maxAge
// is the maximum age of a view on the first level.
func (d *directory) fallbackDelay(leader string, maxAge time.Duration) time.Duration {
	levels := max(d.depth(leader)-1, 0)
	return time.Duration(levelDelayFraction * float64(levels) * float64(maxAge))
}

// isRelay reports whether other gateways get this gateway's view of the store while there is no leader: it is on the
// first level, and there are further levels.
func (d *directory) isRelay(leader string) bool {
	return d.count() > relay.Fanout+1 && d.depth(leader) <= 1
}

// probeBackoff returns how long this gateway waits before it calls a failed store again. It is 0 for the leader and the
// first level.
func (d *directory) probeBackoff(leader string) time.Duration {
	if d.depth(leader) <= 1 {
		return 0
	}
	pause := time.Second * time.Duration(d.count()) / fleetProbesPerSecond
	return pause/2 + rand.N(pause)
}

// contentionDelay returns how long this gateway waits before it contends for a free lease. The delay grows with each
// level below the first, so that not all gateways contend at once, and with what the VM lacks to lead all gateways.
func (d *directory) contentionDelay(leader string) time.Duration {
	delay := time.Duration(d.vm.leaderShortfall(d.count()) * float64(maxShortfallDelay))
	depth := d.depth(leader)
	if depth <= 1 {
		return delay
	}
	return delay + time.Duration(depth-1)*contentionDelayStep + rand.N(contentionDelayStep)
}

// What a leader needs for each gateway; docs/CAPACITY.md has the measured load.
const (
	// leaderCoresPerGateway is a share of a processor core.
	leaderCoresPerGateway = 0.0012
	// leaderMbpsPerGateway is the bandwidth of the link in Mbit/s. A new leader sends its whole state to all gateways.
	leaderMbpsPerGateway = 0.1
)

// A vmCapacity is the capacity of a VM: its share of processor cores and the bandwidth of its link in Mbit/s. 0 means
// that it is not known.
type vmCapacity struct{ cores, linkMbps float64 }

// leaderShortfall returns the fraction of what a leader of a number of gateways needs that the VM lacks, 0 to 1.
func (c vmCapacity) leaderShortfall(gateways int) float64 {
	shortfall := func(have, perGateway float64) float64 {
		if have == 0 {
			return 0
		}
		return max(1-have/(perGateway*float64(gateways)), 0)
	}
	return max(shortfall(c.cores, leaderCoresPerGateway), shortfall(c.linkMbps, leaderMbpsPerGateway))
}

// depth returns this gateway's level in the tree. While the tree is not known, seeds and gateways that know no other
// gateway count as first level, all others as second.
func (d *directory) depth(leader string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.tree.Position(d.self, leader); ok {
		return p.Depth
	}
	if d.readsStoreFirst() {
		return 1
	}
	return 2
}

// readsStoreFirst reports whether this gateway reads the store immediately while the tree is not known: it knows
// no other gateway, or is a seed itself. The caller must hold d.mu.
func (d *directory) readsStoreFirst() bool { return len(d.seeds) == 0 || d.isSeed }

// sources returns the addresses that this gateway polls for changes in the store, in order of preference: its ancestors
// in the tree or, while the tree is not known, the leader and the seeds.
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

// relays returns the addresses of the gateways on the first level of the tree, in random order.
func (d *directory) relays(leader string) []string {
	d.mu.Lock()
	tree := d.tree
	d.mu.Unlock()
	list := tree.FirstLevel(leader)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// prefixListWait returns how long a starting gateway waits to get the entries of a prefix from other gateways before it
// reads the store. If all gateways start together, the first level of the tree reads the store, and each other level
// gets the entries from the one above. The tree follows from the list of gateways, which a starting gateway reads from
// the store if no gateway leads.
func (d *directory) prefixListWait(leader string) time.Duration {
	d.mu.Lock()
	p, known := d.tree.Position(d.self, leader)
	d.mu.Unlock()
	base := d.listWait()
	switch {
	case known:
		return base + time.Duration(max(p.Depth-1, 0))*levelListWaitTime
	case base == 0:
		return 0
	}
	return max(base, treeWaitTime)
}

// listWait returns how long a starting gateway waits for data from other gateways before it reads the store, if its place
// in the tree does not matter.
func (d *directory) listWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readsStoreFirst() {
		return 0
	}
	if d.firstStart {
		return firstListWaitTime
	}
	return listWaitTime
}
