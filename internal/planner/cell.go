package planner

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"rockcleat/fleet"
	"rockcleat/internal/inventory"
	"rockcleat/internal/wire"
	"rockcleat/lease"
	"rockcleat/ledger"
	"rockcleat/placement"
	"rockcleat/table"
)

// Times of a cell's planning.
const (
	// planEvery is the time between two plans after the cell's own records have
	// changed, idlePlanEvery the time between others.
	planEvery     = 500 * time.Millisecond
	idlePlanEvery = 2 * time.Second
	// busyEvery is the time between two exchanges with an agent that is loading,
	// unloading or has been given an order.
	busyEvery = 500 * time.Millisecond
	// orderMemory is how long an order counts as given without being seen.
	orderMemory = 10 * time.Second
	// goneAfter is the number of exchange intervals without an answer after which
	// a backend server counts as gone.
	goneAfter = 2
	// goneGrace is added to it, for a short interval.
	goneGrace = time.Second
)

// A peer is the planner's account of one agent.
type peer struct {
	id       string
	vm       inventory.VM
	record   fleet.Server
	demand   []fleet.Demand
	known    bool
	seen     uint64
	pauses   int
	table    uint64
	lastSent time.Time
	lastOK   time.Time
	since    time.Time
	inFlight bool
	urgent   bool
	orders   []placement.Order
}

// A pendingOrder is an order given whose effect has not been seen.
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

	mu       sync.Mutex
	peers    map[string]*peer
	pending  []pendingOrder
	grants   *grantBook
	version  uint64
	lastPlan time.Time
	// planned is the cell's version at the last plan.
	planned uint64
}

// newCellPlanner takes the cell over with the records that its last planner
// published, so that requests go on being routed.
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
// the lease has lapsed, because the service is out, it gives no orders and no
// grants, but the table and the records go on travelling.
func (c *cellPlanner) step(now time.Time, servers []string, vms map[string]inventory.VM) {
	if c.superseded.Load() {
		return
	}
	_, held := c.holder.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follow(now, servers, vms)
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

func (c *cellPlanner) busy(p *peer) bool {
	moving := slices.ContainsFunc(p.record.Residents, func(r fleet.Resident) bool { return r.State != fleet.StateReady })
	return moving || slices.ContainsFunc(c.pending, func(o pendingOrder) bool { return o.order.Server == p.id })
}

// follow makes the peers those of the cell; c.mu is held.
func (c *cellPlanner) follow(now time.Time, servers []string, vms map[string]inventory.VM) {
	for _, id := range servers {
		vm, listed := vms[id]
		if !listed {
			continue
		}
		p, ok := c.peers[id]
		if !ok {
			p = &peer{id: id, since: now}
			c.peers[id] = p
		}
		p.urgent = p.urgent || vm.State != p.vm.State && p.vm.ID != ""
		p.vm = vm
		if p.known && p.record.Addr != vm.Addr {
			p.record.Addr = vm.Addr
			c.publish(p.record)
		}
		c.judge(p, now)
	}
	for id, p := range c.peers {
		if _, listed := vms[id]; !listed || !slices.Contains(servers, id) {
			c.grants.forget(id)
			delete(c.peers, id)
			c.publishGone(p)
		}
	}
}

// judge marks a server gone that has not answered for long; c.mu is held.
func (c *cellPlanner) judge(p *peer, now time.Time) {
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

// complete reports whether every agent of the cell has been heard of; c.mu is held.
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

// send starts one exchange, with orders and grants only if the lease is held;
// c.mu is held.
func (c *cellPlanner) send(p *peer, held bool, now time.Time) {
	t := c.Replica.Current()
	x := wire.Exchange{
		From: c.Addr, Cell: c.id, Token: int64(c.token), Incarnation: p.record.Incarnation, Seen: p.seen,
		TableVersion: t.Version(), Leaving: p.vm.State == inventory.VMLeaving,
		List: c.Members.Version(), Lapsed: !held, Pauses: p.pauses,
	}
	if p.known {
		x.Table = t.Since(p.table)
	}
	if held {
		x.Orders, p.orders = p.orders, nil
	}
	if held && c.grants.knows(p.id) {
		x.Grants = c.grants.next(p.id, t.Rows(), c.servers(), cellPart(c.id, c.cellIDs()), c.complete())
		c.grants.sending(p.id, x.Grants)
	}
	p.urgent, p.inFlight, p.lastSent = false, true, now
	go c.exchange(p, x)
}

// servers returns the peers' records; c.mu is held.
func (c *cellPlanner) servers() []fleet.Server {
	var all []fleet.Server
	for _, p := range c.peers {
		if p.known {
			all = append(all, p.record)
		}
	}
	return all
}

// exchange sends one message and takes the answer over.
func (c *cellPlanner) exchange(p *peer, x wire.Exchange) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	var a wire.ExchangeAnswer
	err := c.Agents.Call(ctx, http.MethodPost, p.vm.Control, wire.PathExchange, x, &a)
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight = false
	if err != nil {
		c.Log.Debug("no answer from agent", zap.String("server", p.id), zap.Error(err))
		return
	}
	if a.Token > int64(c.token) {
		c.superseded.Store(true)
		c.Log.Warn("agent knows a newer planner", zap.String("server", p.id), zap.Int64("token", a.Token))
		return
	}
	c.take(p, a, now)
}

// take takes an agent's answer over; c.mu is held.
func (c *cellPlanner) take(p *peer, a wire.ExchangeAnswer, now time.Time) {
	first := !p.known
	p.urgent = p.urgent || p.pauses != a.Pauses
	p.pauses = a.Pauses
	p.lastOK, p.known, p.table = now, true, a.TableVersion
	c.grants.report(p.id, a.Grants)
	if a.Server == nil {
		if p.record.Gone {
			p.record.Gone = false
			c.publish(p.record)
		}
		return
	}
	// A table that the agent lacks and orders for a new incarnation are sent at once.
	p.urgent = p.urgent || first || a.Incarnation != p.record.Incarnation
	p.seen = a.RecordSeen
	next := *a.Server
	p.demand, next.Demand = next.Demand, nil
	// The platform's list says where the server is reached.
	next.Addr = p.vm.Addr
	if !next.Same(p.record) {
		p.record = next
		c.publish(p.record)
	}
	c.dropSeen(p)
}

// dropSeen forgets the orders whose effect shows in the server's record; c.mu is held.
func (c *cellPlanner) dropSeen(p *peer) {
	c.pending = slices.DeleteFunc(c.pending, func(o pendingOrder) bool {
		return o.order.Server == p.id && shows(p.record, o.order)
	})
}

func shows(s fleet.Server, o placement.Order) bool {
	i := slices.IndexFunc(s.Residents, func(r fleet.Resident) bool {
		return r.Name == o.Name && r.Accelerator == o.Accelerator
	})
	if o.Op == ledger.OpLoad {
		return i >= 0
	}
	return i < 0 || s.Residents[i].State != fleet.StateReady
}

// makePlan decides on orders and hands them to the servers' next exchanges;
// c.mu is held.
func (c *cellPlanner) makePlan(now time.Time) {
	sizes := c.Sizes()
	if len(sizes) == 0 || !c.settled() || c.Replica.Current().Version() == 0 {
		return
	}
	c.pending = slices.DeleteFunc(c.pending, func(o pendingOrder) bool { return now.Sub(o.at) > orderMemory })
	own := c.publishDemand()
	in := placement.Input{Cell: c.id, Rows: placeable(c.Replica.Current(), sizes), Sizes: sizes, Now: now}
	for _, id := range c.cellIDs() {
		servers, _ := c.View.Cell(id)
		x := placement.Cell{ID: id, Servers: servers, Demand: own}
		if id == c.id {
			x.Servers = c.withPending(servers)
		} else {
			x.Demand = slotsOf(c.View.Demand(id))
		}
		in.Cells = append(in.Cells, x)
	}
	for _, o := range c.plan.Plan(in) {
		if o.Op == ledger.OpLoad && !c.loads.AllowN(now, 1) {
			break
		}
		c.give(o, now)
	}
}

// slotsOf returns demands in busy slots by row.
func slotsOf(demand []fleet.Demand) map[string]float64 {
	slots := make(map[string]float64)
	for _, d := range demand {
		slots[d.Name] += placement.DemandOf(d.Level)
	}
	return slots
}

// demandStep is by how many levels a row's demand must change to be published.
const demandStep = 2

// publishDemand adds up the agents' demand, publishes what has changed much, and
// returns the sums; c.mu is held.
func (c *cellPlanner) publishDemand() map[string]float64 {
	own := make(map[string]float64)
	for _, p := range c.peers {
		if p.record.Gone {
			continue
		}
		for name, slots := range slotsOf(p.demand) {
			own[name] += slots
		}
	}
	before := make(map[string]int)
	for _, d := range c.View.Demand(c.id) {
		before[d.Name] = d.Level
	}
	var changed []fleet.Demand
	for name, slots := range own {
		level := placement.LevelOf(slots)
		if diff := level - before[name]; diff >= demandStep || -diff >= demandStep || before[name] == 0 && level > 0 {
			changed = append(changed, fleet.Demand{Name: name, Level: level, Version: c.version + 1})
		}
	}
	for name, level := range before {
		if _, has := own[name]; !has && level > 0 {
			changed = append(changed, fleet.Demand{Name: name, Version: c.version + 1})
		}
	}
	if len(changed) > 0 {
		c.version++
		c.View.Merge([]fleet.CellDelta{{
			CellVersion: fleet.CellVersion{Cell: c.id, Epoch: int64(c.token), Version: c.version}, Demand: changed,
		}})
	}
	return own
}

// placeable returns the rows that the weight store holds.
func placeable(t *table.Table, sizes map[string]placement.Size) []table.Row {
	return slices.DeleteFunc(t.Rows(), func(r table.Row) bool {
		_, ok := sizes[r.Name]
		return !ok && r.Kind != table.KindService
	})
}

// give hands an order to its server's next exchange; c.mu is held.
func (c *cellPlanner) give(o placement.Order, now time.Time) {
	p, ok := c.peers[o.Server]
	if !ok {
		return
	}
	p.orders = append(p.orders, o)
	p.urgent = true
	c.pending = append(c.pending, pendingOrder{order: o, at: now})
	c.Recorder.Record(wire.Decision{
		Time: now.UnixMilli(), Kind: string(o.Op), Name: o.Name, Server: o.Server, Reason: o.Reason,
	})
	c.Log.Info("order", zap.String("op", string(o.Op)), zap.String("name", o.Name), zap.String("server", o.Server),
		zap.Int("accelerator", o.Accelerator), zap.String("reason", o.Reason))
}

// withPending returns the records as they will be when the orders given have
// taken effect; c.mu is held.
func (c *cellPlanner) withPending(servers []fleet.Server) []fleet.Server {
	byID := make(map[string]*fleet.Server, len(servers))
	for i := range servers {
		servers[i].Residents = slices.Clone(servers[i].Residents)
		servers[i].Accelerators = slices.Clone(servers[i].Accelerators)
		byID[servers[i].ID] = &servers[i]
	}
	for _, o := range c.pending {
		if s, ok := byID[o.order.Server]; ok {
			overlay(s, o.order)
		}
	}
	slices.SortFunc(servers, func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// overlay applies one order to a record.
func overlay(s *fleet.Server, o placement.Order) {
	i := slices.IndexFunc(s.Residents, func(r fleet.Resident) bool {
		return r.Name == o.Name && r.Accelerator == o.Accelerator
	})
	if o.Op == ledger.OpUnload {
		if i >= 0 {
			s.Residents[i].State = fleet.StateUnloading
		}
		return
	}
	if i >= 0 || o.Accelerator >= len(s.Accelerators) {
		return
	}
	mib := o.Size.TotalMiB()
	s.Residents = append(s.Residents, fleet.Resident{
		Name: o.Name, Accelerator: o.Accelerator, State: fleet.StateLoading, MemoryMiB: mib,
	})
	s.Accelerators[o.Accelerator].ReservedMiB += mib
}

// tableVersions returns each agent's table version as it last said.
func (c *cellPlanner) tableVersions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := make(map[string]uint64, len(c.peers))
	for id, p := range c.peers {
		versions[id] = p.table
	}
	return versions
}

// TableVersions returns the table version of each agent planned here.
func (p *Planner) TableVersions() map[string]uint64 {
	p.mu.Lock()
	active := slices.Collect(maps.Values(p.active))
	p.mu.Unlock()
	all := make(map[string]uint64)
	for _, c := range active {
		maps.Copy(all, c.tableVersions())
	}
	return all
}
