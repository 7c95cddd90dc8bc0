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

// stepArm acquires the fencing token unless the agent has one or was superseded. It is repeated
// until the key-value service is available.
func (a *Agent) stepArm(time.Time) {
	a.ordering.Lock()
	defer a.ordering.Unlock()
	if a.record.armed || a.record.superseded {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	intents, err := a.record.arm(ctx)
	if err != nil {
		a.log.Warn("acquiring a fencing token failed; serving without issuing orders", zap.Error(err))
		return
	}
	a.mu.Lock()
	a.server.ledger.Restore(intents)
	a.server.armedAt, a.server.current = a.clock.Now(), false
	a.mu.Unlock()
	a.log.Info("took over the backend server", zap.Int64("fence", a.record.value.Fence), zap.Int("open_intents", len(intents)))
}

// carryOut records the orders' intents and then sends the orders to the engine.
func (a *Agent) carryOut(orders []placement.Order) {
	a.ordering.Lock()
	defer a.ordering.Unlock()
	if !a.record.armed || a.record.superseded || len(orders) == 0 {
		return
	}
	intents := a.reserve(orders)
	if len(intents) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := a.writeIntents(ctx); err != nil {
		a.cancel(intents)
		a.log.Warn("recording intents failed; orders not sent", zap.Error(err))
		if errors.Is(err, errSuperseded) {
			a.LeaveForGood("superseded by another agent")
		}
		return
	}
	for _, i := range intents {
		a.send(ctx, i)
	}
}

// reserve reserves the orders' memory in the ledger and returns the intents of those that may be
// sent. It returns none without a status that the engine reported after the agent acquired its
// fencing token.
func (a *Agent) reserve(orders []placement.Order) []ledger.Intent {
	a.mu.Lock()
	defer a.mu.Unlock()
	var intents []ledger.Intent
	if !a.server.reported || !a.server.current {
		return nil
	}
	for _, o := range orders {
		if o.Op == ledger.OpUnload && !a.drained(o) {
			continue
		}
		i := ledger.Intent{
			ID: uuid.NewString(), Op: o.Op, Name: o.Name, Base: o.Base, Accelerator: o.Accelerator,
			MemoryMiB: o.Size.TotalMiB(), Until: a.clock.Now().Add(a.settings.Backend.OrderLifetime.Std()),
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

// drained stops new requests to the copy that an order unloads and reports whether none is running
// on it. Otherwise it keeps the order, which stepUnloads executes later. a.mu must be held.
func (a *Agent) drained(o placement.Order) bool {
	p := copyID{name: o.Name, acc: o.Accelerator}
	if a.server.slots.drain(p) {
		delete(a.server.unloads, p)
		return true
	}
	a.server.unloads[p] = o
	return false
}

// stepUnloads executes the unload orders whose copies have drained.
func (a *Agent) stepUnloads(time.Time) {
	a.mu.Lock()
	var orders []placement.Order
	for p, o := range a.server.unloads {
		if a.server.slots.running[p] == 0 {
			orders = append(orders, o)
		}
	}
	a.mu.Unlock()
	a.carryOut(orders)
}

// writeIntents records all open intents in the key-value service.
func (a *Agent) writeIntents(ctx context.Context) error {
	a.mu.Lock()
	all := a.server.ledger.Intents()
	a.mu.Unlock()
	return a.record.write(ctx, all)
}

// cancel removes the intents of orders that were not executed from the ledger and makes their
// copies accept requests again.
func (a *Agent) cancel(intents []ledger.Intent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, i := range intents {
		a.server.ledger.Cancel(i.ID)
		if i.Op == ledger.OpUnload {
			a.server.slots.undrain(copyID{name: i.Name, acc: i.Accelerator})
		}
	}
}

// send sends one order. Unless the engine rejects the fencing token, the intent stays in the ledger
// until the engine reports the order as finished or the order's lifetime has passed.
func (a *Agent) send(ctx context.Context, i ledger.Intent) {
	err := a.engine.Send(ctx, engine.Order{
		ID: i.ID, Fence: a.record.value.Fence, Op: i.Op, Name: i.Name, Base: i.Base,
		Accelerator: i.Accelerator, MemoryMiB: i.MemoryMiB,
	})
	result := "sent"
	switch {
	case errors.Is(err, engine.ErrFenced):
		result = "fenced"
		a.cancel([]ledger.Intent{i})
		a.record.superseded = true
		a.LeaveForGood("the engine has seen a newer agent")
	case err != nil:
		result = "unknown"
		a.log.Warn("sending an order failed; its outcome is unknown", zap.String("order", i.ID), zap.Error(err))
	}
	a.metrics.Order(string(i.Op), result)
}
