package planner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/internal/inventory"
	"rockcleat/internal/wire"
	"rockcleat/ledger"
	"rockcleat/placement"
)

// send starts an exchange with an agent. The message contains orders and grants only if the lease
// is held. c.mu must be held.
func (c *cellPlanner) send(a *agentState, held bool, now time.Time) {
	t := c.Replica.Current()
	msg := wire.Exchange{
		From: c.Addr, Cell: c.id, Token: int64(c.token), Incarnation: a.record.Incarnation, Seen: a.recordVersion,
		TableVersion: t.Version(), Leaving: a.vm.State == inventory.VMLeaving,
		List: c.Members.Version(), LeaseExpired: !held, Pauses: a.pauses, Quarantine: a.quarantine.Message(a.id),
	}
	if a.hasReported {
		msg.Table = t.DeltaSince(a.tableVersion)
	}
	if held {
		msg.Orders, a.orders = a.orders, nil
	}
	if held && c.grants.hasReported(a.id) {
		msg.Grants = c.grants.next(a.id, t.Rows(), c.servers(), cellShare(c.id, c.cellIDs()), c.allGrantsReported())
		c.grants.recordSend(a.id, msg.Grants)
	}
	a.urgent, a.inFlight, a.lastSent = false, true, now
	go c.exchange(a, msg)
}

// servers returns the records of the agents that have reported. c.mu must be held.
func (c *cellPlanner) servers() []fleet.Server {
	var all []fleet.Server
	for _, a := range c.agents {
		if a.hasReported {
			all = append(all, a.record)
		}
	}
	return all
}

// exchange sends one message and applies the response.
func (c *cellPlanner) exchange(p *agentState, msg wire.Exchange) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	var resp wire.ExchangeResponse
	err := c.Agents.Post(ctx, p.vm.Control, wire.PathExchange, msg, &resp)
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight = false
	if err != nil {
		c.Log.Debug("exchange with agent failed", zap.String("server", p.id), zap.Error(err))
		return
	}
	if resp.Token > int64(c.token) {
		c.superseded.Store(true)
		c.Log.Warn("cell planner superseded by a newer one", zap.String("server", p.id), zap.Int64("token", resp.Token))
		return
	}
	c.apply(p, resp, now)
}

// apply applies an agent's response. c.mu must be held.
func (c *cellPlanner) apply(p *agentState, resp wire.ExchangeResponse, now time.Time) {
	p.quarantine.ApplyReply(resp.Quarantine)
	first := !p.hasReported
	p.urgent = p.urgent || p.pauses != resp.Pauses
	p.pauses = resp.Pauses
	p.lastSuccess, p.hasReported, p.tableVersion = now, true, resp.TableVersion
	c.grants.report(p.id, resp.Grants)
	if resp.Server == nil {
		if p.record.Removed {
			p.record.Removed = false
			c.publish(p.record)
		}
		return
	}
	// The first message contains no table, and an agent ignores orders addressed to a previous
	// incarnation. In both cases the next message is due immediately.
	p.urgent = p.urgent || first || resp.Incarnation != p.record.Incarnation
	p.recordVersion = resp.RecordSeen
	next := *resp.Server
	p.demand, next.Demand = next.Demand, nil
	// The address in the platform's list of VMs overrides the reported one.
	next.Addr = p.vm.Addr
	if !next.EqualExceptVersion(p.record) {
		p.record = next
		c.publish(p.record)
	}
	c.removeVisibleOrders(p)
}

// removeVisibleOrders removes the pending orders whose effect is visible in the server's record.
// c.mu must be held.
func (c *cellPlanner) removeVisibleOrders(a *agentState) {
	c.pending = slices.DeleteFunc(c.pending, func(o pendingOrder) bool {
		return o.order.Server == a.id && isEffectVisible(a.record, o.order)
	})
}

// isEffectVisible reports whether the effect of an order is visible in a server's record.
func isEffectVisible(s fleet.Server, o placement.Order) bool {
	i := slices.IndexFunc(s.Residents, func(r fleet.Resident) bool {
		return r.Name == o.Name && r.Accelerator == o.Accelerator
	})
	if o.Op == ledger.OpLoad {
		return i >= 0
	}
	return i < 0 || s.Residents[i].State != fleet.StateReady
}
