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

// Pace of engines' reports (docs/design/0009, many servers).
const (
	// refreshEvery is how often an engine without orders is asked for a report, with up
	// to enginesAtFullPace of them; with more it is done less often.
	refreshEvery = 6 * time.Second
	// enginesAtFullPace is the number of engines up to which all are looked at at the
	// full pace.
	enginesAtFullPace = 100
	// maxReportsPerStep bounds the reports asked for in one step.
	maxReportsPerStep = 30
)

// callIfDue makes the call to an engine that is due, if there is one: a report, or the first
// pending order.
func (p *Placer) callIfDue(e *engineState, spec *table.EngineSpec, now time.Time) {
	switch {
	case e.calling:
	case (!e.known || !e.nextReport.IsZero()) && !now.Before(e.nextReport):
		if p.reportsRequested < maxReportsPerStep {
			p.reportsRequested++
			p.fetchReport(e)
		}
	case e.known && len(e.pending) > 0 && !e.accepted && !now.Before(e.notBefore):
		p.issueModelOrder(e, spec, now)
	}
}

// fetchReport reads an engine's report and applies it.
func (p *Placer) fetchReport(e *engineState) {
	e.calling = true
	server := e.server
	go func() {
		r, err := p.opts.Engines.Report(p.ctx, server)
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.opts.Clock.Now()
		e.calling = false
		if err != nil {
			p.opts.Log.Warn("no report", zap.String("server", server.ID), telemetry.Error(err))
			e.nextReport = now.Add(2 * pollEvery)
			return
		}
		p.applyReport(e, r, now)
	}()
}

// applyReport applies a report and sets when the next one is due.
func (p *Placer) applyReport(e *engineState, r backend.Report, now time.Time) {
	if e.isOther(r) {
		p.noteOtherRun(e, r, now)
		return
	}
	e.otherRun = false
	if !e.apply(r, now) {
		e.nextReport = now.Add(pollEvery / 2)
		return
	}
	e.nextReport = now.Add(p.refreshInterval())
	if r.OrderInProgress {
		e.nextReport = now.Add(pollEvery)
		if len(e.pending) == 0 {
			// An order of the last leader is under way; wait for its end.
			e.known = false
		}
		return
	}
	if model := e.completeOrders(now); model != "" {
		p.opts.Log.Info("model loaded", zap.String("server", e.server.ID), zap.String("model", model))
	}
	p.publish(now)
}

// noteOtherRun notes that a report comes from another run of an engine than the one listed. It tells
// nothing of the run that is listed, which gets no orders and holds nothing any more; the list will
// name the other one.
func (p *Placer) noteOtherRun(e *engineState, r backend.Report, now time.Time) {
	if !e.otherRun {
		p.opts.Log.Info("another run reports", zap.String("server", e.server.ID), zap.String("reports", r.ServerID))
	}
	e.known, e.otherRun = false, true
	e.nextReport = now.Add(pollEvery)
	p.publish(now)
}

// refreshInterval returns the time between two reports of an engine without orders.
func (p *Placer) refreshInterval() time.Duration {
	return refreshEvery * time.Duration(max(1, len(p.engines.byID)/enginesAtFullPace))
}

// issueModelOrder issues the first pending order, unless the model does not fit or the
// weight store allows no load now.
func (p *Placer) issueModelOrder(e *engineState, spec *table.EngineSpec, now time.Time) {
	o := e.pending[0]
	o.Sequence, o.Fence = e.sequence, int64(p.leadership.token)
	takes := e.expectedTime(spec)
	if !o.Unload && residency.Free(spec, e.residents) < modelWeights(spec, o.Model) {
		e.pending = nil
		return
	}
	if e.fromStore() && !p.storeLoads.allow(now) {
		return
	}
	e.calling = true
	server := e.server
	go func() {
		out, err := p.send(server, o)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.modelOrderAnswered(e, answer{order: o, outcome: out, err: err}, takes)
	}()
}

// modelWeights returns a model's memory in MB; that of a whole engine if it is not
// configured, so that it does not fit.
func modelWeights(spec *table.EngineSpec, model string) float64 {
	m, ok := spec.Model(model)
	if !ok {
		return spec.WeightsMB
	}
	return m.WeightsMB
}

// send sends an order if the lease is still surely held.
func (p *Placer) send(s *backend.Server, o backend.Order) (backend.OrderOutcome, error) {
	if token, held := p.opts.Lease.Held(); !held || int64(token) != o.Fence {
		return backend.OrderFenced, nil
	}
	return p.opts.Engines.Order(p.ctx, s, o)
}

// An answer is an engine's answer to an order.
type answer struct {
	order   backend.Order
	outcome backend.OrderOutcome
	err     error
}

// noteAnswer logs an answer and counts what every order counts: the sequence, and a token
// that was refused for its fence.
func (p *Placer) noteAnswer(e *engineState, a answer, now time.Time) {
	p.opts.Log.Info("order issued", zap.String("server", e.server.ID), zap.Bool("unload", a.order.Unload),
		zap.String("model", a.order.Model), zap.String("adapter", a.order.Adapter), zap.Int("sequence", a.order.Sequence),
		zap.Int64("fence", a.order.Fence), zap.Stringer("outcome", a.outcome), telemetry.Error(a.err))
	if a.outcome == backend.OrderFenced {
		p.leadership.fenced = lease.Token(a.order.Fence)
	}
	if a.counts() {
		e.sequence++
		e.lastAccepted = now
	}
}

// counts reports whether the engine counts the order as taken. An order for an adapter may
// be done at once, which counts too.
func (a answer) counts() bool {
	return a.outcome == backend.OrderAccepted || a.outcome == backend.OrderAlreadyDone && a.order.Adapter != ""
}

// modelOrderAnswered takes an engine's answer to an order for a model.
func (p *Placer) modelOrderAnswered(e *engineState, a answer, takes time.Duration) {
	now := p.opts.Clock.Now()
	p.noteAnswer(e, a, now)
	e.calling = false
	switch a.outcome {
	case backend.OrderAccepted:
		e.accepted = true
		e.nextReport = now.Add(takes)
	case backend.OrderFenced:
		e.pending = nil
	case backend.OrderUnanswered:
		// It may be carried out late: ask what became of it, and issue it again under
		// the same sequence, so that it counts once.
		e.known = false
		e.nextReport = now.Add(orderRetryDelay)
	default:
		e.known = false
		e.pending = nil
		e.nextReport = now.Add(pollEvery)
	}
}

// issueAdapterOrders brings an adapter to an engine, after the eviction that makes room.
func (p *Placer) issueAdapterOrders(e *engineState, m residency.AdapterMove) {
	e.calling = true
	server := e.server
	load := backend.Order{Model: m.Model, Adapter: m.Name, Sequence: e.sequence, Fence: int64(p.leadership.token)}
	go func() {
		if m.Evict.Name != "" {
			unload := backend.Order{
				Unload: true, Model: m.Evict.Model, Adapter: m.Evict.Name, Sequence: load.Sequence, Fence: load.Fence,
			}
			out, err := p.send(server, unload)
			if !p.adapterOrderAnswered(e, answer{order: unload, outcome: out, err: err}) {
				return
			}
			load.Sequence++
		}
		out, err := p.send(server, load)
		p.adapterOrderAnswered(e, answer{order: load, outcome: out, err: err})
	}()
}

// adapterOrderAnswered takes an engine's answer to an order for an adapter and reports
// whether it was carried out.
func (p *Placer) adapterOrderAnswered(e *engineState, a answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	p.noteAnswer(e, a, now)
	if !a.counts() {
		e.calling, e.known = false, false
		e.nextReport = now.Add(pollEvery)
		return false
	}
	adapter := backend.Adapter{Model: a.order.Model, Name: a.order.Adapter}
	if a.order.Unload {
		e.dropAdapter(adapter)
		return true
	}
	e.calling = false
	e.addAdapter(adapter, now)
	e.nextReport = now.Add(adapterCheckDelay)
	if a.outcome == backend.OrderAlreadyDone {
		// The engine may have held it already: only a report says whether it counted.
		e.known = false
		e.nextReport = now.Add(pollEvery)
	}
	p.publish(now)
	return true
}
