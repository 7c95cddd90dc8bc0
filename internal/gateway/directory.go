package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/relay"
	"rockcleat/resumption"
)

// A directory holds the list of gateways that the leader last sent. It is safe for concurrent use. All addresses
// in it are peer addresses, at which gateways receive messages from one another.
type directory struct {
	// self is the address of this gateway.
	self string

	mu sync.Mutex
	// addrs maps gateway ids to addresses. others holds the addresses of all gateways but this one.
	addrs        map[string]string
	others       []string
	gatewayCount int
	// gateways is the list as the leader sent it.
	gateways []placer.Gateway
	// holderNodes is the same list for package resumption.
	holderNodes []resumption.Node
	// leader is the address of the gateway that last replied as the leader; empty if there is none.
	leader string
	// tree is the distribution tree of the listed gateways. listed is closed when there is a list.
	tree       *relay.Tree
	listed     chan struct{}
	listedOnce sync.Once
	// seeds holds the addresses of gateways from the settings, without this one. isSeed reports whether the settings
	// name this gateway.
	seeds  []string
	isSeed bool
	// firstStart reports whether the whole system is being started for the first time.
	firstStart bool
	// vm is the capacity of this gateway's VM.
	vm vmCapacity
	// regions maps each data hall to its region.
	regions map[string]string
}

// newDirectory returns a directory that assumes the given number of gateways until it receives a list. seeds are
// the addresses in the settings.
func newDirectory(self string, assumed int, seeds []string, firstStart bool) *directory {
	others := slices.DeleteFunc(slices.Clone(seeds), func(addr string) bool { return addr == self })
	return &directory{
		self: self, gatewayCount: assumed, tree: relay.New(nil), seeds: others, isSeed: len(others) < len(seeds),
		firstStart: firstStart, listed: make(chan struct{}),
	}
}

// set replaces the list of gateways and returns it in the form that dispatch.Dispatcher takes.
func (d *directory) set(gateways []placer.Gateway) []dispatch.Gateway {
	list := make([]dispatch.Gateway, len(gateways))
	addrs := make(map[string]string, len(gateways))
	members := make([]relay.Member, len(gateways))
	nodes := make([]resumption.Node, len(gateways))
	var others []string
	for i, g := range gateways {
		list[i] = g.Gateway
		addrs[g.ID] = g.Addr
		members[i] = relay.Member{ID: g.ID, Addr: g.Addr, Hall: g.Hall, Region: d.regions[g.Hall]}
		nodes[i] = resumption.Node{ID: g.ID, Hall: g.Hall}
		if g.Addr != d.self {
			others = append(others, g.Addr)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(addrs) > 0 {
		d.listedOnce.Do(func() { close(d.listed) })
	}
	d.addrs, d.others, d.gatewayCount, d.gateways, d.tree = addrs, others, len(gateways), gateways, relay.New(members)
	d.holderNodes = nodes
	return list
}

func (d *directory) list() []placer.Gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gateways
}

// updateLeader records whether the gateway at an address replied as the leader.
func (d *directory) recordLeader(addr string, leads bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case leads:
		d.leader = addr
	case d.leader == addr:
		d.leader = ""
	}
}

// leaderOr returns the address of the gateway that last replied as the leader, or record, the address in the
// lease's record, if there is none.
func (d *directory) leaderOr(record string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" {
		return d.leader
	}
	return record
}

// count returns the number of gateways, at least 1.
func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.gatewayCount, 1)
}

// isListed reports whether a list of gateways has been received.
func (d *directory) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.addrs) > 0
}

// knowsOthers reports whether a list of gateways has been received, or there was none before the system's first start.
func (d *directory) knowsOthers() bool { return d.firstStart || d.isListed() }

// awaitList waits until this gateway knows the others, for at most the given time.
func (d *directory) awaitList(ctx context.Context, c clock.Service, wait time.Duration) {
	if !d.knowsOthers() {
		clock.Await(ctx, c, d.listed, wait)
	}
}

// addr returns the address of a gateway, or an empty string if it is not known.
func (d *directory) addr(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[id]
}

// random returns the address of a random gateway other than this one and except. It uses the seeds while there is no
// list, and returns an empty string if there is no such gateway.
func (d *directory) random(except string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := d.others
	if len(others) == 0 {
		others = d.seeds
	}
	list := slices.DeleteFunc(slices.Clone(others), func(addr string) bool { return addr == except })
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// nodes returns the listed gateways as holders of records of streams.
func (d *directory) nodes() []resumption.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holderNodes
}

// ids returns the IDs of the listed gateways.
func (d *directory) ids() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return gatewayIDs(d.gateways)
}

func gatewayIDs(list []placer.Gateway) []string {
	ids := make([]string, len(list))
	for i, g := range list {
		ids[i] = g.ID
	}
	return ids
}
