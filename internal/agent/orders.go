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

// orderTimeout bounds the recording and sending of one exchange's orders.
const orderTimeout = 5 * time.Second

// stepArm gets the agent its fencing token, however long the platform's service is out.
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
		a.log.Warn("no fencing token yet; serving without issuing orders", zap.Error(err))
		return
	}
	a.mu.Lock()
	a.server.ledger.Restore(intents)
	a.server.armedAt, a.server.current = a.clock.Now(), false
	a.mu.Unlock()
	a.log.Info("took over the backend server", zap.Int64("fence", a.record.value.Fence), zap.Int("open_intents", len(intents)))
}

// carryOut records the orders' intents and sends the orders.
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
		a.log.Warn("orders not issued: intents not recorded", zap.Error(err))
		if errors.Is(err, errSuperseded) {
			a.LeaveForGood("superseded by another agent")
		}
		return
	}
	for _, i := range intents {
		a.send(ctx, i)
	}
}

// reserve counts the orders in the ledger and returns those that may be issued.
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
			a.log.Debug("order not taken", zap.String("name", o.Name), zap.String("op", string(o.Op)), zap.Error(err))
			continue
		}
		a.log.Info("order", zap.String("op", string(o.Op)), zap.String("name", o.Name),
			zap.Int("accelerator", o.Accelerator), zap.String("reason", o.Reason), zap.String("order", i.ID))
		intents = append(intents, i)
	}
	return intents
}

// drained stops new requests to the copy that an order unloads and reports
// whether none runs on it; if one does, stepUnloads issues the order later.
// a.mu is held.
func (a *Agent) drained(o placement.Order) bool {
	p := copyID{name: o.Name, acc: o.Accelerator}
	if a.server.slots.drain(p) {
		delete(a.server.unloads, p)
		return true
	}
	a.server.unloads[p] = o
	return false
}

// stepUnloads issues the unload orders whose copies have drained.
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

// writeIntents records all intents in the platform's service.
func (a *Agent) writeIntents(ctx context.Context) error {
	a.mu.Lock()
	all := a.server.ledger.Intents()
	a.mu.Unlock()
	return a.record.write(ctx, all)
}

// cancel takes back intents whose orders were not sent.
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

// send sends one order; whatever comes of it, its intent counts until the
// engine lists it as finished or its lifetime is over.
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
		a.log.Warn("no answer to an order", zap.String("order", i.ID), zap.Error(err))
	}
	a.metrics.Order(string(i.Op), result)
}
