package dispatch

import (
	"math"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/rendezvous"
)

// A Gateway is one of the processes that send requests.
type Gateway struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
}

// owners divides the engines among the gateways by rendezvous hashing: the owner of an
// engine admits all requests there, since what other gateways have sent is known late and
// prompts that come together delay every stream of an engine.
type owners struct {
	self     string
	gateways []Gateway
	// byServer remembers the owner of each server.
	byServer map[string]string
	// suspendedUntil is until when owners that did not answer are not asked.
	suspendedUntil map[string]time.Time
}

func newOwners(self string) owners {
	return owners{self: self, suspendedUntil: make(map[string]time.Time)}
}

// set sets the gateways.
func (o *owners) set(list []Gateway) {
	if slices.Equal(list, o.gateways) {
		return
	}
	o.gateways = list
	o.byServer = make(map[string]string)
}

// forget drops what is remembered of a server that has gone.
func (o *owners) forget(server string) { delete(o.byServer, server) }

// owns reports whether this gateway owns the server; it does as long as it knows of no
// gateways.
func (o *owners) owns(s *backend.Server) bool {
	return len(o.gateways) == 0 || o.of(s) == o.self
}

// of returns the gateway that owns the server.
func (o *owners) of(s *backend.Server) string {
	owner, ok := o.byServer[s.ID]
	if !ok {
		owner = ownerAmong(o.gateways, s)
		o.byServer[s.ID] = owner
	}
	return owner
}

// mayAsk reports whether an owner is to be asked for admission now.
func (o *owners) mayAsk(owner string, now time.Time) bool {
	return !now.Before(o.suspendedUntil[owner])
}

// suspend stops asking an owner for ownerSuspension and reports whether it was asked before.
func (o *owners) suspend(owner string, now time.Time) bool {
	if !o.mayAsk(owner, now) {
		return false
	}
	o.suspendedUntil[owner] = now.Add(ownerSuspension)
	return true
}

// jitter returns this gateway's own part of a server's cost.
func (o *owners) jitter(server string) Milliseconds {
	weight := rendezvous.Weight(o.self, rendezvous.Key(server))
	return msJitter * Milliseconds(weight) / math.MaxUint64
}

// ownerAmong returns the gateway with the highest weight for the server, those of its data
// hall before others.
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
