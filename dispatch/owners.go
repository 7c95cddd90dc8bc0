package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/rendezvous"
)

// A Gateway is a process that sends requests to backend servers.
type Gateway struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
	// Cores is the processor that its VM has, in cores; 0 if it is not known.
	Cores float64 `json:"cores,omitempty"`
}

// ownership assigns each engine to one gateway by rendezvous hashing. The owner admits all requests
// to its engine, because prompts that arrive together delay every stream there and gateways learn
// of each other's requests only with a delay.
type ownership struct {
	self string
	// isCounted reports whether the servers of a service are counted. Their owners are chosen by capacity.
	isCounted func(service string) bool
	gateways  []Gateway
	// byServer caches the owner by server ID.
	byServer map[string]string
	// suspendedUntil holds, for each owner that did not respond, the time until which it is not
	// asked.
	suspendedUntil map[string]time.Time
	// lastSuspension holds the last suspension of each owner of a counted server that has not responded since.
	lastSuspension map[string]time.Duration
}

func newOwnership(self string, isCounted func(service string) bool) ownership {
	return ownership{self: self, isCounted: isCounted, byServer: make(map[string]string), suspendedUntil: make(map[string]time.Time), lastSuspension: make(map[string]time.Duration)}
}

// setGateways replaces the list of gateways and reports whether it has changed.
func (o *ownership) setGateways(list []Gateway) bool {
	if slices.Equal(list, o.gateways) {
		return false
	}
	o.gateways = list
	o.byServer = make(map[string]string)
	return true
}

// isListed reports whether a gateway is on the list.
func (o *ownership) isListed(id string) bool {
	return slices.ContainsFunc(o.gateways, func(g Gateway) bool { return g.ID == id })
}

func (o *ownership) removeServer(server string) { delete(o.byServer, server) }

// owns reports whether this gateway owns the server. Without a list of gateways it owns all
// servers.
func (o *ownership) owns(s *backend.Server) bool {
	return len(o.gateways) == 0 || o.ownerOf(s) == o.self
}

// ownerOf returns the ID of the gateway that owns the server.
func (o *ownership) ownerOf(s *backend.Server) string {
	owner, ok := o.byServer[s.ID]
	if !ok {
		owner = findOwner(o.gateways, s, o.isCounted(s.Service))
		o.byServer[s.ID] = owner
	}
	return owner
}

// isAvailable reports whether an owner is not suspended.
func (o *ownership) isAvailable(owner string, now time.Time) bool {
	return !now.Before(o.suspendedUntil[owner])
}

// availableFrom returns the end of the suspension of a server's owner.
func (o *ownership) availableFrom(s *backend.Server) time.Time { return o.suspendedUntil[o.ownerOf(s)] }

// suspend suspends an owner until a given time and reports whether it was not suspended before.
func (o *ownership) suspend(owner string, until, now time.Time) bool {
	if !o.isAvailable(owner, now) {
		return false
	}
	o.suspendedUntil[owner] = until
	return true
}

// nextSuspension returns how long the owner of a counted server that did not respond is suspended.
func (o *ownership) nextSuspension(owner string) time.Duration {
	period := min(cmp.Or(2*o.lastSuspension[owner], firstOwnerSuspension), ownerSuspension)
	o.lastSuspension[owner] = period
	return period
}

// recordReply records that an owner of a counted server has responded.
func (o *ownership) recordReply(owner string) { delete(o.lastSuspension, owner) }

// turn returns this gateway's place in the order of all gateways, from 0. The order is that of their IDs and begins at a
// different gateway for each server.
func (o *ownership) turn(server string) int {
	rank := 0
	for _, g := range o.gateways {
		if g.ID < o.self {
			rank++
		}
	}
	first := rendezvous.Key(server) % uint64(len(o.gateways))
	return (rank + int(first)) % len(o.gateways)
}

// jitter returns this gateway's value of Candidate.Jitter for a server.
func (o *ownership) jitter(server string) Milliseconds {
	weight := rendezvous.Weight(o.self, rendezvous.Key(server))
	return maxJitter * Milliseconds(weight) / math.MaxUint64
}

// findOwner returns the gateway with the highest rendezvous weight for the server, preferring
// gateways in the server's data hall. If byCapacity is set, only those on the larger VMs are considered.
func findOwner(list []Gateway, s *backend.Server, byCapacity bool) string {
	key := rendezvous.Key(s.ID)
	minCores := 0.0
	if byCapacity {
		minCores = minOwnerCores(list, s.Hall)
	}
	best, bestSameHall, bestWeight := "", false, uint64(0)
	for _, g := range list {
		sameHall := g.Hall == s.Hall
		if g.Cores < minCores {
			continue
		}
		weight := rendezvous.Weight(g.ID, key)
		if best == "" || sameHall && !bestSameHall || sameHall == bestSameHall && weight > bestWeight {
			best, bestSameHall, bestWeight = g.ID, sameHall, weight
		}
	}
	return best
}

// ownerCoresShare is the processor of the smallest VM that owns counted servers, as a part of the largest in its data hall. The
// requests of all gateways pass the owner, and on a small VM its own requests already take most of the processor.
const ownerCoresShare = 0.5

// minOwnerCores returns the processor that the owner of a counted server in a data hall must have, in cores.
func minOwnerCores(list []Gateway, hall string) float64 {
	inHall, anywhere := 0.0, 0.0
	for _, g := range list {
		anywhere = max(anywhere, g.Cores)
		if g.Hall == hall {
			inHall = max(inHall, g.Cores)
		}
	}
	return ownerCoresShare * cmp.Or(inHall, anywhere)
}
