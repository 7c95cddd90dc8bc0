package placer

import (
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/internal/telemetry"
	"rockcleat/lease"
	"rockcleat/residency"
	"rockcleat/table"
)

// Rate of engine reports; see docs/design/0009.
const (
	// minRefreshInterval is the shortest interval between two reports of an engine without orders.
	minRefreshInterval = 6 * time.Second
	// enginesAtFullRate is the number of engines up to which intervals are shortest. Above it they grow with
	// the number of engines.
	enginesAtFullRate = 100
	// maxReportsPerStep is the maximum number of reports requested in one step.
	maxReportsPerStep = 30
)

// callIfDue starts the call to an engine that is due, if any: the request for a report, or the first pending
// order. A paused engine gets no calls.
func (p *Placer) callIfDue(s table.Service, e *engineState, now time.Time) {
	switch {
	case e.callInProgress, e.paused:
	case (!e.known || !e.nextReport.IsZero()) && !now.Before(e.nextReport):
		if p.reportsRequested < maxReportsPerStep {
			p.reportsRequested++
			p.fetchReport(e)
		}
	case e.known && len(e.pending) > 0 && !e.accepted && !now.Before(e.notBefore):
		if p.interruptsStreams(s, e, now) {
			p.withdrawMove(e)
			return
		}
		p.issueModelOrder(e, s.Engine, now)
	case e.isIdle() && e.hasRoomForAwaited(s.Engine):
		p.issueAdapterOrders(e, s.Engine, nil)
	}
}

// fetchReport requests a report from an engine and applies it.
func (p *Placer) fetchReport(e *engineState) {
	e.callInProgress = true
	server := e.server
	go func() {
		r, err := p.opts.Engines.Report(p.ctx, server)
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.opts.Clock.Now()
		e.callInProgress = false
		if err != nil {
			p.opts.Log.Warn("engine report failed", zap.String("server", server.ID), telemetry.Error(err))
			e.nextReport = now.Add(2 * pollInterval)
			if e.recordReportFailure() {
				p.opts.Log.Warn("engine ended", zap.String("server", server.ID))
				p.wakeSoon()
			}
			return
		}
		e.recordAnswer()
		p.applyReport(e, r, now)
	}()
}

// applyReport applies a report and schedules the next one.
func (p *Placer) applyReport(e *engineState, r backend.Report, now time.Time) {
	if e.isFromOtherInstance(r) {
		p.handleOtherInstance(e, r, now)
		return
	}
	e.otherInstance = false
	if !e.apply(r, now) {
		e.nextReport = now.Add(pollInterval / 2)
		return
	}
	e.nextReport = now.Add(p.refreshInterval())
	if len(e.awaitedAdapters) > 0 {
		e.nextReport = now.Add(pollInterval)
	}
	if r.OrderInProgress {
		e.nextReport = now.Add(pollInterval)
		if len(e.pending) == 0 {
			// The order in progress comes from the previous leader; wait until it ends.
			e.known = false
		}
		return
	}
	if model := e.completeOrders(now); model != "" {
		p.opts.Log.Info("model loaded", zap.String("server", e.server.ID), zap.String("model", model))
	}
	p.publish(now)
}

// handleOtherInstance handles a report from another server instance than the registered one. The registered
// instance has ended: it gets no orders and holds nothing. The registry will list the new one.
func (p *Placer) handleOtherInstance(e *engineState, r backend.Report, now time.Time) {
	if !e.otherInstance {
		p.opts.Log.Info("report from another server instance than the registered one", zap.String("server", e.server.ID), zap.String("reports", r.ServerID))
	}
	e.known, e.otherInstance = false, true
	e.ended = p.isCounted(e)
	e.nextReport = now.Add(pollInterval)
	p.publish(now)
}

// refreshInterval returns the interval between two reports of an engine without orders.
func (p *Placer) refreshInterval() time.Duration {
	return minRefreshInterval * time.Duration(max(1, len(p.engines.byID)/enginesAtFullRate))
}

// issueModelOrder issues the first pending order, unless the model does not fit or the limiter of store loads
// does not permit it yet.
func (p *Placer) issueModelOrder(e *engineState, spec *table.EngineSpec, now time.Time) {
	o := e.pending[0]
	o.Sequence, o.Fence = e.sequence, int64(p.leadership.token)
	expectedTime := e.expectedTime(spec)
	if !o.Unload && !residency.FitsModel(spec, e.residents, o.Model) {
		e.pending = nil
		return
	}
	if e.loadsFromStore() && !p.storeLoadLimiter.allow(now) {
		return
	}
	e.callInProgress = true
	server := e.server
	go func() {
		out, err := p.send(server, o)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.handleModelOrderResult(e, orderResult{order: o, outcome: out, err: err}, expectedTime)
	}()
}

// send sends an order if the lease is certainly still held under the order's token.
func (p *Placer) send(s *backend.Server, o backend.Order) (backend.OrderOutcome, error) {
	if token, held := p.opts.Lease.Held(); !held || int64(token) != o.Fence {
		return backend.OrderNotSent, nil
	}
	return p.opts.Engines.Order(p.ctx, s, o)
}

// An orderResult is an order with its outcome.
type orderResult struct {
	order   backend.Order
	outcome backend.OrderOutcome
	err     error
}

// recordOrderResult logs the result of an order, and updates the sequence number and the rejected token.
func (p *Placer) recordOrderResult(e *engineState, result orderResult, now time.Time) {
	p.opts.Log.Info("order issued", zap.String("server", e.server.ID), zap.Bool("unload", result.order.Unload),
		zap.String("model", result.order.Model), zap.String("adapter", result.order.Adapter), zap.Int("sequence", result.order.Sequence),
		zap.Int64("fence", result.order.Fence), zap.Stringer("outcome", result.outcome), telemetry.Error(result.err))
	if result.outcome == backend.OrderFenced {
		p.leadership.fencedToken = lease.Token(result.order.Fence)
	}
	if result.isCounted() {
		e.sequence++
		e.lastAccepted = now
	}
}

// isCounted reports whether the engine counted the order in its sequence. An order for an adapter that was
// already in the requested state counts too.
func (result orderResult) isCounted() bool {
	return result.outcome == backend.OrderAccepted || result.outcome == backend.OrderAlreadyDone && result.order.Adapter != ""
}

// handleModelOrderResult handles the result of an order for a model.
func (p *Placer) handleModelOrderResult(e *engineState, result orderResult, expectedTime time.Duration) {
	now := p.opts.Clock.Now()
	p.recordOrderResult(e, result, now)
	e.callInProgress = false
	switch result.outcome {
	case backend.OrderAccepted:
		e.accepted = true
		e.nextReport = now.Add(expectedTime)
	case backend.OrderFenced:
		e.pending = nil
	case backend.OrderUnanswered:
		// The order may still be carried out. Request a report, then repeat the order with the same sequence
		// number, so that the engine accepts it at most once.
		e.known = false
		e.nextReport = now.Add(orderRetryDelay)
	default:
		e.known = false
		e.pending = nil
		e.nextReport = now.Add(pollInterval)
	}
}
