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

// act makes the call to an engine that is due, if there is one.
func (p *Placer) callIfDue(e *engineState, spec *table.EngineSpec, now time.Time) {
	switch {
	case e.calling:
	case (!e.known || !e.nextReport.IsZero()) && !now.Before(e.nextReport):
		if p.reportsRequested < maxReportsPerStep {
			p.reportsRequested++
			p.fetchReport(e, spec)
		}
	case e.known && len(e.pending) > 0 && !e.accepted && !now.Before(e.notBefore):
		p.issueNext(e, spec)
	}
}

// askReport reads an engine's report and takes it in.
func (p *Placer) fetchReport(e *engineState, spec *table.EngineSpec) {
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

// reported takes in a report that has come.
func (p *Placer) applyReport(e *engineState, r backend.Report, now time.Time) {
	if !e.apply(r, now) {
		e.nextReport = now.Add(pollEvery / 2)
		return
	}
	e.nextReport = now.Add(p.refreshTime())
	if r.OrderInProgress {
		e.nextReport = now.Add(pollEvery)
		if len(e.pending) == 0 {
			// Another holder's order is under way; wait for its end.
			e.known = false
		}
		return
	}
	if model := e.completeOrders(now); model != "" {
		p.opts.Log.Info("model loaded", zap.String("server", e.server.ID), zap.String("model", model))
	}
	p.publish(now)
}

// give gives the first pending order.
func (p *Placer) issueNext(e *engineState, spec *table.EngineSpec) {
	o := e.pending[0]
	o.Sequence, o.Fence = e.sequence, int64(p.token)
	takes := e.expected(spec)
	if !o.Unload && residency.Free(spec, e.residents) < weight(spec, o) {
		e.pending = nil
		return
	}
	if e.fromStore() {
		if p.budget < 1 {
			return
		}
		p.budget--
	}
	e.calling = true
	server := e.server
	go func() {
		out, err := p.send(server, o)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.modelOrderAnswered(e, o, out, err, takes)
	}()
}

func weight(spec *table.EngineSpec, o backend.Order) float64 {
	m, ok := spec.Model(o.Model)
	if !ok {
		return spec.WeightsMB
	}
	if o.Adapter != "" {
		return m.AdapterMB
	}
	return m.WeightsMB
}

// order gives an order if the lease is still surely held.
func (p *Placer) send(s *backend.Server, o backend.Order) (backend.OrderOutcome, error) {
	if token, held := p.opts.Lease.Held(); !held || int64(token) != o.Fence {
		return backend.OrderFenced, nil
	}
	return p.opts.Engines.Order(p.ctx, s, o)
}

// ordered takes in an engine's answer to an order.
func (p *Placer) modelOrderAnswered(e *engineState, o backend.Order, out backend.OrderOutcome, err error, takes time.Duration) {
	now := p.opts.Clock.Now()
	e.calling = false
	p.opts.Log.Info("order given", zap.String("server", e.server.ID), zap.Bool("unload", o.Unload),
		zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.Int("sequence", o.Sequence),
		zap.Int64("fence", o.Fence), zap.Stringer("outcome", out), telemetry.Error(err))
	switch out {
	case backend.OrderAccepted:
		e.sequence++
		e.lastAccepted = now
		e.accepted = true
		e.nextReport = now.Add(takes)
	case backend.OrderFenced:
		p.fencedToken = lease.Token(o.Fence)
		e.pending = nil
	case backend.OrderUnanswered:
		e.known = false
		e.nextReport = now.Add(orderRetryDelay)
	default:
		e.known = false
		e.pending = nil
		e.nextReport = now.Add(pollEvery)
	}
}

// moveAdapter brings an adapter to an engine, after its victim has gone.
func (p *Placer) moveAdapter(e *engineState, m residency.AdapterMove) {
	e.calling = true
	server := e.server
	load := backend.Order{Model: m.Model, Adapter: m.Name, Sequence: e.sequence, Fence: int64(p.token)}
	go func() {
		if m.Evict.Name != "" {
			drop := backend.Order{Unload: true, Model: m.Evict.Model, Adapter: m.Evict.Name, Sequence: load.Sequence, Fence: load.Fence}
			out, err := p.send(server, drop)
			if !p.adapterOrderAnswered(e, drop, out, err) {
				return
			}
			load.Sequence++
		}
		out, err := p.send(server, load)
		p.adapterOrderAnswered(e, load, out, err)
	}()
}

// adapterOrdered takes in the answer to an order for an adapter and reports
// whether it was carried out.
func (p *Placer) adapterOrderAnswered(e *engineState, o backend.Order, out backend.OrderOutcome, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	p.opts.Log.Info("order given", zap.String("server", e.server.ID), zap.Bool("unload", o.Unload),
		zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.Int("sequence", o.Sequence),
		zap.Int64("fence", o.Fence), zap.Stringer("outcome", out), telemetry.Error(err))
	a := backend.Adapter{Model: o.Model, Name: o.Adapter}
	if out != backend.OrderAccepted && out != backend.OrderAlreadyDone {
		e.calling, e.known = false, false
		e.nextReport = now.Add(pollEvery)
		if out == backend.OrderFenced {
			p.fencedToken = lease.Token(o.Fence)
		}
		return false
	}
	e.sequence++
	e.lastAccepted = now
	if o.Unload {
		e.dropAdapter(a)
		return true
	}
	e.calling = false
	e.addAdapter(a, now)
	e.nextReport = now.Add(adapterCheckDelay)
	if out == backend.OrderAlreadyDone {
		// Whether this moved the sequence is for the next report to tell.
		e.known = false
		e.nextReport = now.Add(pollEvery)
	}
	p.publish(now)
	return true
}
