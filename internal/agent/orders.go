package agent

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"rockcleat/internal/engine"
	"rockcleat/ledger"
	"rockcleat/placement"
)

// orderTimeout bounds the recording and sending of the orders of one exchange, and one attempt to
// acquire a fencing token.
const orderTimeout = 5 * time.Second

// stepTakeOver acquires the fencing token unless the agent has one or was superseded. It is
// repeated until the key-value service is available.
func (a *Agent) stepTakeOver(time.Time) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if a.record.hasFence || a.record.superseded {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	intents, err := a.record.takeOver(ctx)
	if err != nil {
		a.log.Warn("acquiring a fencing token failed; serving without issuing orders", zap.Error(err))
		return
	}
	a.mu.Lock()
	a.server.ledger.Restore(intents)
	a.server.tookOverAt, a.server.statusCurrent = a.clock.Now(), false
	a.mu.Unlock()
	a.log.Info("took over the backend server", zap.Int64("fence", a.record.value.Fence), zap.Int("open_intents", len(intents)))
}

// executeOrders records the orders' intents and then sends the orders to the engine.
func (a *Agent) executeOrders(orders []placement.Order) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if !a.record.hasFence || a.record.superseded || len(orders) == 0 {
		return
	}
	intents := a.reserveOrders(orders)
	if len(intents) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := a.writeIntents(ctx); err != nil {
		a.cancelIntents(intents)
		a.log.Warn("recording intents failed; orders not sent", zap.Error(err))
		if errors.Is(err, errSuperseded) {
			a.LeavePermanently("superseded by another agent")
		}
		return
	}
	for _, i := range intents {
		a.sendOrder(ctx, i)
	}
}

// reserveOrders reserves the orders' memory in the ledger and returns the intents of those that may
// be sent. It returns none without a status that the engine reported after the agent acquired its
// fencing token.
func (a *Agent) reserveOrders(orders []placement.Order) []ledger.Intent {
	a.mu.Lock()
	defer a.mu.Unlock()
	var intents []ledger.Intent
	if !a.server.engineResponds || !a.server.statusCurrent {
		return nil
	}
	for _, o := range orders {
		if o.Op == ledger.OpUnload && !a.drainForUnload(o) {
			continue
		}
		i := ledger.Intent{
			ID: uuid.NewString(), Op: o.Op, Name: o.Name, Base: o.Base, Accelerator: o.Accelerator,
			MemoryMiB: o.Size.TotalMiB(), ExpiresAt: a.clock.Now().Add(a.settings.Backend.OrderLifetime.Std()),
		}
		if err := a.server.ledger.Reserve(i); err != nil {
			a.log.Debug("order rejected", zap.String("name", o.Name), zap.String("op", string(o.Op)), zap.Error(err))
			continue
		}
		a.log.Info("order accepted", zap.String("op", string(o.Op)), zap.String("name", o.Name),
			zap.Int("accelerator", o.Accelerator), zap.String("reason", o.Reason), zap.String("order", i.ID))
		intents = append(intents, i)
	}
	return intents
}

// drainForUnload stops new requests to the replica that an order unloads and reports whether none is
// running on it. Otherwise it keeps the order, which stepUnloads executes later. a.mu must be held.
func (a *Agent) drainForUnload(o placement.Order) bool {
	id := replicaID{name: o.Name, accelerator: o.Accelerator}
	if a.server.slots.drain(id) {
		delete(a.server.unloads, id)
		return true
	}
	a.server.unloads[id] = o
	return false
}

// stepUnloads executes the unload orders whose replicas have drained.
func (a *Agent) stepUnloads(time.Time) {
	a.mu.Lock()
	var orders []placement.Order
	for id, o := range a.server.unloads {
		if a.server.slots.running[id] == 0 {
			orders = append(orders, o)
		}
	}
	a.mu.Unlock()
	a.executeOrders(orders)
}

// writeIntents records all open intents in the key-value service.
func (a *Agent) writeIntents(ctx context.Context) error {
	a.mu.Lock()
	all := a.server.ledger.Intents()
	a.mu.Unlock()
	return a.record.write(ctx, all)
}

// cancelIntents removes the intents of orders that were not executed from the ledger and makes
// their replicas accept requests again.
func (a *Agent) cancelIntents(intents []ledger.Intent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, i := range intents {
		a.server.ledger.Cancel(i.ID)
		if i.Op == ledger.OpUnload {
			a.server.slots.resume(replicaID{name: i.Name, accelerator: i.Accelerator})
		}
	}
}

// sendOrder sends one order. Unless the engine rejects the fencing token, the intent stays in the
// ledger until the engine reports the order as finished or the order's lifetime has passed.
func (a *Agent) sendOrder(ctx context.Context, i ledger.Intent) {
	err := a.engine.SendOrder(ctx, engine.Order{
		ID: i.ID, Fence: a.record.value.Fence, Op: i.Op, Name: i.Name, Base: i.Base,
		Accelerator: i.Accelerator, MemoryMiB: i.MemoryMiB,
	})
	result := "sent"
	switch {
	case errors.Is(err, engine.ErrFenced):
		result = "fenced"
		a.cancelIntents([]ledger.Intent{i})
		a.record.superseded = true
		a.LeavePermanently("the engine has seen a newer agent")
	case err != nil:
		result = "unknown"
		a.log.Warn("sending an order failed; its outcome is unknown", zap.String("order", i.ID), zap.Error(err))
	}
	a.metrics.Order(string(i.Op), result)
}
