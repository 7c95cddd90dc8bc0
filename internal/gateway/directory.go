package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"

	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/relay"
)

// A directory holds the list of gateways that the leader last sent. It is safe for
// concurrent use.
type directory struct {
	// self is where this gateway takes messages.
	self string

	mu sync.Mutex
	// addrs is where each gateway takes messages, by id; others lists the other ones.
	addrs  map[string]string
	others []string
	number int
	// listed is the list itself.
	listed []placer.Gateway
	// leader is where the gateway takes messages that replied last that it leads.
	leader string
	// tree is that of the listed gateways.
	tree *relay.Tree
	// seeds are where the gateways take messages that the settings name, without this one; isSeed
	// says that it is one of them.
	seeds  []string
	isSeed bool
	// firstStart says that the whole system starts for the first time.
	firstStart bool
}

// newDirectory returns a directory that assumes a number of gateways until it has a list; seeds are
// where some of them take messages.
func newDirectory(self string, assumed int, seeds []string, firstStart bool) *directory {
	others := slices.DeleteFunc(slices.Clone(seeds), func(addr string) bool { return addr == self })
	return &directory{
		self: self, number: assumed, tree: relay.New(nil), seeds: others, isSeed: len(others) < len(seeds),
		firstStart: firstStart,
	}
}

// set sets the list and returns it as a Dispatcher needs it.
func (d *directory) set(gateways []placer.Gateway) []dispatch.Gateway {
	list := make([]dispatch.Gateway, len(gateways))
	addrs := make(map[string]string, len(gateways))
	members := make([]relay.Member, len(gateways))
	var others []string
	for i, x := range gateways {
		list[i] = x.Gateway
		addrs[x.ID] = x.Addr
		members[i] = relay.Member{ID: x.ID, Addr: x.Addr}
		if x.Addr != d.self {
			others = append(others, x.Addr)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addrs, d.others, d.number, d.listed, d.tree = addrs, others, len(gateways), gateways, relay.New(members)
	return list
}

// list returns the gateways that the leader last sent.
func (d *directory) list() []placer.Gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// noteLeader notes whether the gateway at an address replied that it leads.
func (d *directory) noteLeader(addr string, leads bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case leads:
		d.leader = addr
	case d.leader == addr:
		d.leader = ""
	}
}

// leaderOr returns where the leader takes messages: as it replied itself, or else as the lease's
// record says.
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
	return max(d.number, 1)
}

// isListed reports whether the list of gateways is known.
func (d *directory) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.addrs) > 0
}

// addr returns where a gateway takes messages; empty if that is not known.
func (d *directory) addr(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[id]
}

// random returns where any other gateway but one takes messages, by the list or else by the settings;
// empty if there is none.
func (d *directory) random(but string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := d.others
	if len(others) == 0 {
		others = d.seeds
	}
	list := slices.DeleteFunc(slices.Clone(others), func(addr string) bool { return addr == but })
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// gatewayIDs returns the ids of gateways.
func gatewayIDs(list []placer.Gateway) []string {
	ids := make([]string, len(list))
	for i, g := range list {
		ids[i] = g.ID
	}
	return ids
}
