package planner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"rockcleat/fleet"
	"rockcleat/internal/inventory"
	"rockcleat/lease"
	"rockcleat/placement"
	"rockcleat/quarantine"
)

// Times of a cell's planning; docs/CAPACITY.md says what they cost.
const (
	// planEvery is the time between two plans after the cell's own records have changed.
	planEvery = 500 * time.Millisecond
	// idlePlanEvery is the time between other plans.
	idlePlanEvery = 2 * time.Second
	// busyEvery is the time between two exchanges with an agent that is loading or
	// unloading, or has an order.
	busyEvery = 500 * time.Millisecond
	// orderMemory is how long an order counts whose effect is not seen.
	orderMemory = 10 * time.Second
	// goneAfter is the number of exchange intervals without an answer after which a
	// backend server counts as gone.
	goneAfter = 2
	// goneGrace is added to it, for a short interval.
	goneGrace = time.Second
)

// A peer is the planner's account of one agent.
type peer struct {
	id string
	vm inventory.VM
	// record and demand are the agent's last, known says that there are any, and seen is
	// the record's version.
	record fleet.Server
	demand []fleet.Demand
	known  bool
	seen   uint64
	// pauses is the agent's count of its pauses, table its version of the table.
	pauses int
	table  uint64
	// lastSent and lastOK are when an exchange last began and succeeded, since is when
	// the agent joined the cell.
	lastSent, lastOK, since time.Time
	// inFlight says that an exchange is under way, urgent that the next one is due.
	inFlight, urgent bool
	// orders go with the next exchange.
	orders []placement.Order
	// quarantine exchanges with the agent.
	quarantine *quarantine.Link
}

// A pendingOrder is an order issued whose effect has not been seen.
type pendingOrder struct {
	order placement.Order
	at    time.Time
}

// A cellPlanner plans one cell while its lease is held.
type cellPlanner struct {
	*Planner
	id     string
	holder *lease.Holder
	token  lease.Token
	plan   *placement.Planner
	loads  *rate.Limiter

	// superseded tells that an agent knows a newer planner.
	superseded atomic.Bool

	mu      sync.Mutex
	peers   map[string]*peer
	pending []pendingOrder
	grants  *grantBook
	// version is the cell's, planned what it was at the last plan.
	version, planned uint64
	lastPlan         time.Time
}

// newCellPlanner begins to plan a cell with the records that its last planner published, so
// that requests go on being routed.
func newCellPlanner(p *Planner, id string, h *lease.Holder, token lease.Token) *cellPlanner {
	c := &cellPlanner{
		Planner: p, id: id, holder: h, token: token, peers: make(map[string]*peer), grants: newGrantBook(), version: 1,
	}
	n := max(len(p.cells), 1)
	c.plan = placement.NewPlanner(placement.Options{
		Headroom: p.Settings.Headroom, Hold: p.Settings.Hold.Std(), MaxLoads: max(p.Settings.MaxLoads/n, 1),
	})
	c.loads = rate.NewLimiter(rate.Limit(p.Settings.LoadsPerSecond/float64(n)), max(p.Settings.MaxLoads/n, 1))
	old, _ := p.View.Cell(id)
	for i := range old {
		old[i].Version = 1
	}
	p.View.Merge([]fleet.CellDelta{{
		CellVersion: fleet.CellVersion{Cell: id, Epoch: int64(token), Version: 1}, Full: true, Servers: old,
	}})
	return c
}

// step starts the exchanges that are due and makes a plan when it is time. While
// the lease has lapsed, because the service is out, it sends no orders and no
// grants, but the table and the records go on travelling.
func (c *cellPlanner) step(now time.Time, servers []string, vms map[string]inventory.VM) {
	if c.superseded.Load() {
		return
	}
	_, held := c.holder.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncPeers(now, servers, vms)
	if held && now.Sub(c.lastPlan) >= c.planInterval() {
		c.makePlan(now)
		c.lastPlan, c.planned = now, c.version
	}
	for _, p := range c.peers {
		if !p.inFlight && now.Sub(p.lastSent) >= c.interval(p) {
			c.send(p, held, now)
		}
	}
}

// planInterval returns the time between two plans; c.mu is held.
func (c *cellPlanner) planInterval() time.Duration {
	if c.planned != c.version || len(c.pending) > 0 {
		return planEvery
	}
	return min(idlePlanEvery, c.Settings.ExchangeEvery.Std())
}

// nudge makes the next exchange with the server due, if it is of the cell.
func (c *cellPlanner) nudge(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[server]; ok {
		p.urgent = true
	}
}

// interval returns the time between two exchanges with the agent.
func (c *cellPlanner) interval(p *peer) time.Duration {
	switch {
	case p.urgent:
		return 0
	case !p.known || p.table < c.Replica.Current().Version() || c.busy(p):
		return min(busyEvery, c.Settings.ExchangeEvery.Std())
	}
	return c.Settings.ExchangeEvery.Std()
}

// busy reports whether the agent loads or unloads, or has an order; c.mu is held.
func (c *cellPlanner) busy(p *peer) bool {
	moving := slices.ContainsFunc(p.record.Residents, func(r fleet.Resident) bool { return r.State != fleet.StateReady })
	return moving || slices.ContainsFunc(c.pending, func(o pendingOrder) bool { return o.order.Server == p.id })
}

// syncPeers makes the peers those of the cell; c.mu is held.
func (c *cellPlanner) syncPeers(now time.Time, servers []string, vms map[string]inventory.VM) {
	for _, id := range servers {
		vm, listed := vms[id]
		if !listed {
			continue
		}
		p, ok := c.peers[id]
		if !ok {
			p = &peer{id: id, since: now, quarantine: quarantine.NewLink(c.Quarantine, quarantine.SharedEnds)}
			c.peers[id] = p
		}
		p.urgent = p.urgent || vm.State != p.vm.State && p.vm.ID != ""
		p.vm = vm
		if p.known && p.record.Addr != vm.Addr {
			p.record.Addr = vm.Addr
			c.publish(p.record)
		}
		c.markGone(p, now)
	}
	for id, p := range c.peers {
		if _, listed := vms[id]; !listed || !slices.Contains(servers, id) {
			c.grants.forget(id)
			delete(c.peers, id)
			c.publishGone(p)
		}
	}
}

// markGone marks a server gone that has not answered for long; c.mu is held.
func (c *cellPlanner) markGone(p *peer, now time.Time) {
	last := p.lastOK
	if last.IsZero() {
		last = p.since
	}
	limit := goneAfter*c.Settings.ExchangeEvery.Std() + goneGrace
	if now.Sub(last) > limit && !p.record.Gone {
		c.Log.Warn("backend server does not answer", zap.String("server", p.id), zap.String("cell", c.id))
		c.publishGone(p)
	}
}

// publishGone publishes that a server is gone; c.mu is held.
func (c *cellPlanner) publishGone(p *peer) {
	p.record.ID = p.id
	p.record.Gone = true
	c.publish(p.record)
}

// publish makes a record known under the cell's next version; c.mu is held.
func (c *cellPlanner) publish(s fleet.Server) {
	c.version++
	s.Version = c.version
	c.View.Merge([]fleet.CellDelta{{
		CellVersion: fleet.CellVersion{Cell: c.id, Epoch: int64(c.token), Version: c.version},
		Servers:     []fleet.Server{s},
	}})
}

// complete reports whether every agent of the cell has reported its grants; c.mu is held.
func (c *cellPlanner) complete() bool {
	for id := range c.peers {
		if !c.grants.knows(id) {
			return false
		}
	}
	return true
}

// settled reports whether every server has answered or counts as gone; c.mu is held.
func (c *cellPlanner) settled() bool {
	for _, p := range c.peers {
		if !p.known && !p.record.Gone {
			return false
		}
	}
	return true
}
