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
func (c *cellPlanner) send(p *peer, held bool, now time.Time) {
	t := c.Replica.Current()
	msg := wire.Exchange{
		From: c.Addr, Cell: c.id, Token: int64(c.token), Incarnation: p.record.Incarnation, Seen: p.recordVersion,
		TableVersion: t.Version(), Leaving: p.vm.State == inventory.VMLeaving,
		List: c.Members.Version(), Lapsed: !held, Pauses: p.pauses, Quarantine: p.quarantine.Message(p.id),
	}
	if p.hasReported {
		msg.Table = t.DeltaSince(p.tableVersion)
	}
	if held {
		msg.Orders, p.orders = p.orders, nil
	}
	if held && c.grants.hasReported(p.id) {
		msg.Grants = c.grants.next(p.id, t.Rows(), c.servers(), cellShare(c.id, c.cellIDs()), c.allGrantsReported())
		c.grants.recordSend(p.id, msg.Grants)
	}
	p.urgent, p.inFlight, p.lastSent = false, true, now
	go c.exchange(p, msg)
}

// servers returns the records of the peers that have reported. c.mu must be held.
func (c *cellPlanner) servers() []fleet.Server {
	var all []fleet.Server
	for _, p := range c.peers {
		if p.hasReported {
			all = append(all, p.record)
		}
	}
	return all
}

// exchange sends one message and applies the response.
func (c *cellPlanner) exchange(p *peer, msg wire.Exchange) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	var a wire.ExchangeResponse
	err := c.Agents.Post(ctx, p.vm.Control, wire.PathExchange, msg, &a)
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight = false
	if err != nil {
		c.Log.Debug("exchange with agent failed", zap.String("server", p.id), zap.Error(err))
		return
	}
	if a.Token > int64(c.token) {
		c.superseded.Store(true)
		c.Log.Warn("cell planner superseded by a newer one", zap.String("server", p.id), zap.Int64("token", a.Token))
		return
	}
	c.apply(p, a, now)
}

// apply applies an agent's response. c.mu must be held.
func (c *cellPlanner) apply(p *peer, a wire.ExchangeResponse, now time.Time) {
	p.quarantine.ApplyReply(a.Quarantine)
	first := !p.hasReported
	p.urgent = p.urgent || p.pauses != a.Pauses
	p.pauses = a.Pauses
	p.lastSuccess, p.hasReported, p.tableVersion = now, true, a.TableVersion
	c.grants.report(p.id, a.Grants)
	if a.Server == nil {
		if p.record.Removed {
			p.record.Removed = false
			c.publish(p.record)
		}
		return
	}
	// The first message contains no table, and an agent ignores orders addressed to a previous
	// incarnation. The next message follows at once in both cases.
	p.urgent = p.urgent || first || a.Incarnation != p.record.Incarnation
	p.recordVersion = a.RecordSeen
	next := *a.Server
	p.demand, next.Demand = next.Demand, nil
	// The address in the platform's list of VMs overrides the reported one.
	next.Addr = p.vm.Addr
	if !next.EqualExceptVersion(p.record) {
		p.record = next
		c.publish(p.record)
	}
	c.removeVisible(p)
}

// removeVisible removes the pending orders whose effect is visible in the server's record. c.mu
// must be held.
func (c *cellPlanner) removeVisible(p *peer) {
	c.pending = slices.DeleteFunc(c.pending, func(o pendingOrder) bool {
		return o.order.Server == p.id && isVisible(p.record, o.order)
	})
}

// isVisible reports whether the effect of an order is visible in a server's record.
func isVisible(s fleet.Server, o placement.Order) bool {
	i := slices.IndexFunc(s.Residents, func(r fleet.Resident) bool {
		return r.Name == o.Name && r.Accelerator == o.Accelerator
	})
	if o.Op == ledger.OpLoad {
		return i >= 0
	}
	return i < 0 || s.Residents[i].State != fleet.StateReady
}
