package dispatch

import (
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
}

// owners assigns each engine to one gateway by rendezvous hashing. The owner admits all requests to
// its engine, because prompts that arrive together delay every stream there and gateways learn of
// each other's requests only with a delay.
type owners struct {
	self     string
	gateways []Gateway
	// byServer caches the owner by server ID.
	byServer map[string]string
	// suspendedUntil holds, for each owner that did not answer, the time until which it is not
	// asked.
	suspendedUntil map[string]time.Time
}

func newOwners(self string) owners {
	return owners{self: self, suspendedUntil: make(map[string]time.Time)}
}

// set replaces the list of gateways.
func (o *owners) set(list []Gateway) {
	if slices.Equal(list, o.gateways) {
		return
	}
	o.gateways = list
	o.byServer = make(map[string]string)
}

func (o *owners) forget(server string) { delete(o.byServer, server) }

// owns reports whether this gateway owns the server. Without a list of gateways it owns all
// servers.
func (o *owners) owns(s *backend.Server) bool {
	return len(o.gateways) == 0 || o.of(s) == o.self
}

// of returns the ID of the gateway that owns the server.
func (o *owners) of(s *backend.Server) string {
	owner, ok := o.byServer[s.ID]
	if !ok {
		owner = ownerAmong(o.gateways, s)
		o.byServer[s.ID] = owner
	}
	return owner
}

// mayAsk reports whether an owner is not suspended.
func (o *owners) mayAsk(owner string, now time.Time) bool {
	return !now.Before(o.suspendedUntil[owner])
}

// suspend suspends an owner for ownerSuspension and reports whether it was not suspended before.
func (o *owners) suspend(owner string, now time.Time) bool {
	if !o.mayAsk(owner, now) {
		return false
	}
	o.suspendedUntil[owner] = now.Add(ownerSuspension)
	return true
}

// jitter returns this gateway's value of Candidate.Jitter for a server.
func (o *owners) jitter(server string) Milliseconds {
	weight := rendezvous.Weight(o.self, rendezvous.Key(server))
	return msJitter * Milliseconds(weight) / math.MaxUint64
}

// ownerAmong returns the gateway with the highest rendezvous weight for the server, preferring
// gateways in the server's data hall.
func ownerAmong(list []Gateway, s *backend.Server) string {
	key := rendezvous.Key(s.ID)
	best, bestNear, bestWeight := "", false, uint64(0)
	for _, g := range list {
		near := g.Hall == s.Hall
		weight := rendezvous.Weight(g.ID, key)
		if best == "" || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = g.ID, near, weight
		}
	}
	return best
}
