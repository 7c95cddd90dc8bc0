package dispatch

import (
	"math"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/route"
)

// A Gateway is one of the processes that send requests.
type Gateway struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
}

// SetGateways tells which gateways there are, so that each engine is fed first
// by one of them, in its own data hall where there is one: what the others have
// sent is known late, and engines are spoilt by prompts that come together.
func (d *Dispatcher) SetGateways(list []Gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(list, d.gateways) {
		return
	}
	d.gateways = list
	d.owners = make(map[string]string)
}

// owns reports whether this gateway is the one that feeds the server first.
func (d *Dispatcher) owns(s *backend.Server) bool {
	return len(d.gateways) == 0 || d.ownerOf(s) == d.opts.ID
}

// ownerOf returns the gateway that feeds the server first.
func (d *Dispatcher) ownerOf(s *backend.Server) string {
	owner, ok := d.owners[s.ID]
	if !ok {
		owner = ownerOf(s, d.gateways)
		d.owners[s.ID] = owner
	}
	return owner
}

// spread returns this gateway's own part of a server's cost, in milliseconds.
func (d *Dispatcher) jitter(server string) float64 {
	weight := route.Rendezvous(d.opts.ID, route.Hash(server))
	return msJitter * float64(weight) / math.MaxUint64
}

// asks reports whether a gateway is to be asked for places now.
func (d *Dispatcher) asksOwner(owner string, now time.Time) bool {
	return d.opts.Owners != nil && len(d.gateways) > 0 && !now.Before(d.suspended[owner])
}

// ownerOf returns the gateway with the highest weight for the server, those of
// its data hall before others.
func ownerOf(s *backend.Server, list []Gateway) string {
	key := route.Hash(s.ID)
	best, bestNear, bestWeight := "", false, uint64(0)
	for _, g := range list {
		near := g.Hall == s.Hall
		weight := route.Rendezvous(g.ID, key)
		if best == "" || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = g.ID, near, weight
		}
	}
	return best
}
