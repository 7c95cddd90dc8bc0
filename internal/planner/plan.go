package planner

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/ledger"
	"rockcleat/placement"
	"rockcleat/table"
)

// makePlan computes the orders for the cell and queues them for the next exchanges. c.mu must be
// held.
func (c *cellPlanner) makePlan(now time.Time) {
	sizes := c.Sizes()
	if len(sizes) == 0 || !c.allReportedOrGone() || c.Replica.Current().Version() == 0 {
		return
	}
	c.pending = slices.DeleteFunc(c.pending, func(o pendingOrder) bool { return now.Sub(o.at) > pendingOrderTimeout })
	demand := c.publishDemand()
	in := placement.Input{Cell: c.id, Rows: placeable(c.Replica.Current(), sizes), Sizes: sizes, Now: now}
	for _, id := range c.cellIDs() {
		servers, _ := c.View.Cell(id)
		cell := placement.Cell{ID: id, Servers: servers, Demand: demand}
		if id == c.id {
			cell.Servers = c.withPendingOrders(servers)
		} else {
			cell.Demand = slotsByRow(c.View.Demand(id))
		}
		in.Cells = append(in.Cells, cell)
	}
	for _, o := range c.placement.Plan(in) {
		if o.Op == ledger.OpLoad && !c.loadLimiter.AllowN(now, 1) {
			break
		}
		c.issueOrder(o, now)
	}
}

// slotsByRow converts demands from levels to busy slots, by row.
func slotsByRow(demand []fleet.Demand) map[string]float64 {
	slots := make(map[string]float64)
	for _, d := range demand {
		slots[d.Name] += placement.DemandOf(d.Level)
	}
	return slots
}

// minDemandChange is the minimum change of a row's demand level that is published.
const minDemandChange = 2

// publishDemand returns the sum of the agents' demand by row, in busy slots, and publishes the rows
// whose level has changed by at least minDemandChange, has risen from 0 or has ended. c.mu must be
// held.
func (c *cellPlanner) publishDemand() map[string]float64 {
	total := make(map[string]float64)
	for _, a := range c.agents {
		if a.record.Removed {
			continue
		}
		for name, slots := range slotsByRow(a.demand) {
			total[name] += slots
		}
	}
	before := make(map[string]int)
	for _, d := range c.View.Demand(c.id) {
		before[d.Name] = d.Level
	}
	var changed []fleet.Demand
	for name, slots := range total {
		level := placement.LevelOf(slots)
		if diff := level - before[name]; diff >= minDemandChange || -diff >= minDemandChange || before[name] == 0 && level > 0 {
			changed = append(changed, fleet.Demand{Name: name, Level: level, Version: c.version + 1})
		}
	}
	for name, level := range before {
		if _, has := total[name]; !has && level > 0 {
			changed = append(changed, fleet.Demand{Name: name, Version: c.version + 1})
		}
	}
	if len(changed) > 0 {
		c.version++
		c.View.Merge([]fleet.CellDelta{{
			CellVersion: fleet.CellVersion{Cell: c.id, Epoch: int64(c.token), Version: c.version}, Demand: changed,
		}})
	}
	return total
}

// placeable returns the rows whose sizes are known from the weight store, and all service rows.
func placeable(t *table.Table, sizes map[string]placement.Size) []table.Row {
	return slices.DeleteFunc(t.Rows(), func(r table.Row) bool {
		_, ok := sizes[r.Name]
		return !ok && r.Kind != table.KindService
	})
}

// issueOrder queues an order for the server's next exchange, records it as a decision and adds it to
// the pending orders. c.mu must be held.
func (c *cellPlanner) issueOrder(o placement.Order, now time.Time) {
	a, ok := c.agents[o.Server]
	if !ok {
		return
	}
	a.orders = append(a.orders, o)
	a.urgent = true
	c.pending = append(c.pending, pendingOrder{order: o, at: now})
	c.Recorder.Record(wire.Decision{
		Time: now.UnixMilli(), Kind: string(o.Op), Name: o.Name, Server: o.Server, Reason: o.Reason,
	})
	c.Log.Info("order issued", zap.String("op", string(o.Op)), zap.String("name", o.Name), zap.String("server", o.Server),
		zap.Int("accelerator", o.Accelerator), zap.String("reason", o.Reason))
}

// withPendingOrders returns the records, ordered by id, with the pending orders applied. c.mu must
// be held.
func (c *cellPlanner) withPendingOrders(servers []fleet.Server) []fleet.Server {
	byID := make(map[string]*fleet.Server, len(servers))
	for i := range servers {
		servers[i].Residents = slices.Clone(servers[i].Residents)
		servers[i].Accelerators = slices.Clone(servers[i].Accelerators)
		byID[servers[i].ID] = &servers[i]
	}
	for _, o := range c.pending {
		if s, ok := byID[o.order.Server]; ok {
			applyOrder(s, o.order)
		}
	}
	slices.SortFunc(servers, func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// applyOrder applies one order to a record.
func applyOrder(s *fleet.Server, o placement.Order) {
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
