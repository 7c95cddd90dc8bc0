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

// Intervals and timeouts of planning a cell.
const (
	// busyPlanInterval is the interval between plans while the cell's records change or orders are
	// pending.
	busyPlanInterval = 500 * time.Millisecond
	// maxPlanInterval is the maximum interval between plans.
	maxPlanInterval = 2 * time.Second
	// busyExchangeInterval is the maximum interval between exchanges with an agent that is loading
	// or unloading, has a pending order or lacks the current table.
	busyExchangeInterval = 500 * time.Millisecond
	// pendingOrderTimeout is the time after which an order without a visible effect is no longer
	// pending.
	pendingOrderTimeout = 10 * time.Second
	// goneIntervals is the number of exchange intervals without a response after which a backend
	// server counts as gone.
	goneIntervals = 2
	// goneGrace is added to the time given by goneIntervals, in case the exchange interval is short.
	goneGrace = time.Second
)

// An agentState is the state that the planner keeps of one agent.
type agentState struct {
	id string
	vm inventory.VM
	// record and demand are those that the agent last reported, and recordVersion is the version of
	// the record. hasReported reports whether the agent has responded to this planner.
	record        fleet.Server
	demand        []fleet.Demand
	hasReported   bool
	recordVersion uint64
	// pauses is the agent's count of pauses of its process, tableVersion the version of its table.
	pauses       int
	tableVersion uint64
	// lastSent is the start of the last exchange, lastSuccess the end of the last successful one,
	// and joinedAt the time at which the agent joined the cell.
	lastSent, lastSuccess, joinedAt time.Time
	// inFlight reports whether an exchange is in progress, urgent whether the next one is due
	// immediately.
	inFlight, urgent bool
	// orders are sent with the next exchange.
	orders []placement.Order
	// quarantine exchanges quarantined requests with the agent.
	quarantine *quarantine.Link
}

// A pendingOrder is an issued order whose effect is not visible yet in the server's record.
type pendingOrder struct {
	order placement.Order
	at    time.Time
}

// A cellPlanner plans one cell while this entry holds the cell's lease.
type cellPlanner struct {
	*Planner
	id          string
	holder      *lease.Holder
	token       lease.Token
	placement   *placement.Planner
	loadLimiter *rate.Limiter

	// superseded reports whether an agent knows a planner with a newer token.
	superseded atomic.Bool

	mu      sync.Mutex
	agents  map[string]*agentState
	pending []pendingOrder
	grants  *grantTracker
	// version is the cell's version, plannedVersion the version at the last plan.
	version, plannedVersion uint64
	lastPlan                time.Time
}

// newCellPlanner returns a cellPlanner for a lease just acquired. It republishes the previous
// planner's records under its own epoch, so that requests are routed without interruption.
func newCellPlanner(p *Planner, id string, h *lease.Holder, token lease.Token) *cellPlanner {
	c := &cellPlanner{
		Planner: p, id: id, holder: h, token: token, agents: make(map[string]*agentState), grants: newGrantTracker(), version: 1,
	}
	n := max(len(p.cells), 1)
	c.placement = placement.NewPlanner(placement.Options{
		Headroom: p.Settings.TargetUtilization, EvictionDelay: p.Settings.Hold.Std(), MaxLoads: max(p.Settings.MaxLoads/n, 1),
	})
	c.loadLimiter = rate.NewLimiter(rate.Limit(p.Settings.LoadsPerSecond/float64(n)), max(p.Settings.MaxLoads/n, 1))
	old, _ := p.View.Cell(id)
	for i := range old {
		old[i].Version = 1
	}
	p.View.Merge([]fleet.CellDelta{{
		CellVersion: fleet.CellVersion{Cell: id, Epoch: int64(token), Version: 1}, Full: true, Servers: old,
	}})
	return c
}

// step starts the exchanges and the plan that are due. While the lease has expired because the
// key-value service is unavailable, exchanges contain no orders and no grants, but the table and
// the records are still exchanged.
func (c *cellPlanner) step(now time.Time, servers []string, vms map[string]inventory.VM) {
	if c.superseded.Load() {
		return
	}
	_, held := c.holder.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncAgents(now, servers, vms)
	if held && now.Sub(c.lastPlan) >= c.planInterval() {
		c.makePlan(now)
		c.lastPlan, c.plannedVersion = now, c.version
	}
	for _, a := range c.agents {
		if !a.inFlight && now.Sub(a.lastSent) >= c.exchangeInterval(a) {
			c.send(a, held, now)
		}
	}
}

// planInterval returns the time between two plans. c.mu must be held.
func (c *cellPlanner) planInterval() time.Duration {
	if c.plannedVersion != c.version || len(c.pending) > 0 {
		return busyPlanInterval
	}
	return min(maxPlanInterval, c.Settings.ExchangeInterval.Std())
}

// requestExchange makes the next exchange with the server's agent due immediately if the server is
// in the cell.
func (c *cellPlanner) requestExchange(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.agents[server]; ok {
		a.urgent = true
	}
}

// exchangeInterval returns the time between two exchanges with the agent. c.mu must be held.
func (c *cellPlanner) exchangeInterval(a *agentState) time.Duration {
	switch {
	case a.urgent:
		return 0
	case !a.hasReported || a.tableVersion < c.Replica.Current().Version() || c.isBusy(a):
		return min(busyExchangeInterval, c.Settings.ExchangeInterval.Std())
	}
	return c.Settings.ExchangeInterval.Std()
}

// isBusy reports whether the agent is loading or unloading or has a pending order. c.mu must be held.
func (c *cellPlanner) isBusy(a *agentState) bool {
	changing := slices.ContainsFunc(a.record.Residents, func(r fleet.Resident) bool { return r.State != fleet.StateReady })
	return changing || slices.ContainsFunc(c.pending, func(o pendingOrder) bool { return o.order.Server == a.id })
}

// syncAgents adds the agents of servers that have joined the cell, updates those of present servers
// and removes those of servers that have left. c.mu must be held.
func (c *cellPlanner) syncAgents(now time.Time, servers []string, vms map[string]inventory.VM) {
	for _, id := range servers {
		vm, listed := vms[id]
		if !listed {
			continue
		}
		a, ok := c.agents[id]
		if !ok {
			a = &agentState{id: id, joinedAt: now, quarantine: quarantine.NewLink(c.Quarantine, quarantine.SharedRecords)}
			c.agents[id] = a
		}
		a.urgent = a.urgent || vm.State != a.vm.State && a.vm.ID != ""
		a.vm = vm
		if a.hasReported && a.record.Addr != vm.Addr {
			a.record.Addr = vm.Addr
			c.publish(a.record)
		}
		c.markGone(a, now)
	}
	for id, a := range c.agents {
		if _, listed := vms[id]; !listed || !slices.Contains(servers, id) {
			c.grants.remove(id)
			delete(c.agents, id)
			c.publishGone(a)
		}
	}
}

// markGone publishes that a server is gone if it has not responded within the limit. c.mu must be
// held.
func (c *cellPlanner) markGone(a *agentState, now time.Time) {
	last := a.lastSuccess
	if last.IsZero() {
		last = a.joinedAt
	}
	limit := goneIntervals*c.Settings.ExchangeInterval.Std() + goneGrace
	if now.Sub(last) > limit && !a.record.Removed {
		c.Log.Warn("backend server does not respond", zap.String("server", a.id), zap.String("cell", c.id))
		c.publishGone(a)
	}
}

// publishGone publishes that a server is gone. c.mu must be held.
func (c *cellPlanner) publishGone(a *agentState) {
	a.record.ID = a.id
	a.record.Removed = true
	c.publish(a.record)
}

// publish publishes a record under the cell's next version. c.mu must be held.
func (c *cellPlanner) publish(s fleet.Server) {
	c.version++
	s.Version = c.version
	c.View.Merge([]fleet.CellDelta{{
		CellVersion: fleet.CellVersion{Cell: c.id, Epoch: int64(c.token), Version: c.version},
		Servers:     []fleet.Server{s},
	}})
}

// allGrantsReported reports whether every agent of the cell has reported its grants. c.mu must be
// held.
func (c *cellPlanner) allGrantsReported() bool {
	for id := range c.agents {
		if !c.grants.hasReported(id) {
			return false
		}
	}
	return true
}

// allReportedOrGone reports whether every server has responded or counts as gone. c.mu must be
// held.
func (c *cellPlanner) allReportedOrGone() bool {
	for _, a := range c.agents {
		if !a.hasReported && !a.record.Removed {
			return false
		}
	}
	return true
}
