package placer

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/residency"
	"rockcleat/table"
)

// maxPlanInterval is the maximum interval between two plans of a service.
const maxPlanInterval = time.Second

// planInterval returns the interval between two plans of a service with a number of engines. It grows with
// the cost of a plan.
func planInterval(engines int) time.Duration {
	if engines <= enginesAtFullPace {
		return 0
	}
	return min(tick*time.Duration(engines/enginesAtFullPace), maxPlanInterval)
}

// runService plans for one service and starts the calls to its engines that are due.
func (p *Placer) runService(s table.Service, now time.Time) {
	list := p.engines.byService[s.Name]
	p.abandonOverdueLoads(list, now)
	p.planAdapters(s, list, now)
	if now.Sub(p.plannedAt[s.Name]) >= planInterval(len(list)) {
		p.plannedAt[s.Name] = now
		p.planModels(s, list, now)
	}
	for _, e := range list {
		p.callIfDue(e, s.Engine, now)
	}
}

// abandonOverdueLoads drops loads that have waited too long for their engine, so that they are planned on
// another engine and do not delay other loads.
func (p *Placer) abandonOverdueLoads(list []*engineState, now time.Time) {
	for _, e := range list {
		if e.loadOverdue(now) {
			p.opts.Log.Warn("move abandoned", zap.String("server", e.server.ID), zap.String("model", e.abandonLoad()))
		}
	}
}

func (p *Placer) views(list []*engineState, now time.Time) []residency.EngineView {
	out := make([]residency.EngineView, len(list))
	for i, e := range list {
		out[i] = e.view(now)
		out[i].InNeed = p.isInNeed(e)
	}
	return out
}

// isInNeed reports whether an engine currently accepts so few requests that no adapter should be placed on
// it.
func (p *Placer) isInNeed(e *engineState) bool {
	return p.opts.IsInNeed != nil && p.opts.IsInNeed(e.server)
}

// planModels plans and queues model moves.
func (p *Placer) planModels(s table.Service, list []*engineState, now time.Time) {
	demands := p.demand.modelDemands()
	succession := p.successions[s.Name]
	if succession == nil {
		succession = &residency.Succession{}
		p.successions[s.Name] = succession
	}
	engines := p.views(list, now)
	succession.Observe(s.Engine, demands, engines)
	moves := residency.Plan(residency.Input{
		Spec: s.Engine, Engines: engines, Demands: demands, Succession: succession,
		StoreLoadsAllowed: p.storeLoads.available(now) - storeLoadsPending(list),
	})
	for _, m := range moves {
		p.opts.Log.Info("move planned", zap.String("server", m.Engine), zap.String("model", m.Model),
			zap.Strings("victims", m.Evictions), zap.Stringer("source", m.Source))
		p.engines.byID[m.Engine].plan(m, now)
	}
}

// storeLoadsPending returns the number of planned loads from the weight store that the engines have not
// accepted yet. The limiter counts a load when its order is issued.
func storeLoadsPending(list []*engineState) int {
	n := 0
	for _, e := range list {
		if len(e.pending) == 0 || e.accepted && len(e.pending) == 1 {
			continue
		}
		// An abandoned move leaves its unloads, without the load.
		last := e.pending[len(e.pending)-1]
		if !last.Unload && e.source(last.Model) == residency.FromStore {
			n++
		}
	}
	return n
}

// planAdapters plans the loads of missing adapters and issues their orders.
func (p *Placer) planAdapters(s table.Service, list []*engineState, now time.Time) {
	waited, running := p.demand.adapters(s.Name)
	missing := p.withoutHeld(waited, list)
	p.noteMissingAdapters(missing, now)
	if len(missing) == 0 {
		return
	}
	idle := slices.DeleteFunc(p.views(list, now), func(e residency.EngineView) bool { return !e.Idle })
	requests := make(map[string]int)
	for id, l := range p.demand.loads.total {
		requests[id] = l.Running
	}
	moves := residency.PlanAdapters(residency.AdapterInput{
		Slots: s.Engine.AdapterSlots, Engines: idle, Missing: missing,
		LastUsed: p.demand.adapterLastUsed, RequestsByAdapter: running, RequestsByEngine: requests,
		WaitingSince: p.adapterWaitedSince, Now: now,
	})
	for _, m := range moves {
		p.issueAdapterOrders(p.engines.byID[m.Engine], m)
	}
}

// withoutHeld returns the adapters that no engine holds, not counting engines that are leaving or limit their
// requests (isInNeed).
func (p *Placer) withoutHeld(adapters []backend.Adapter, list []*engineState) []backend.Adapter {
	if len(adapters) == 0 {
		return nil
	}
	held := make(map[backend.Adapter]bool)
	for _, e := range list {
		if e.server.Leaving || p.isInNeed(e) {
			continue
		}
		for _, r := range e.residents {
			for _, name := range r.Adapters {
				held[backend.Adapter{Model: r.Model, Name: name}] = true
			}
		}
	}
	return slices.DeleteFunc(adapters, func(a backend.Adapter) bool { return held[a] })
}

// noteMissingAdapters records since when requests have been waiting for each missing adapter.
func (p *Placer) noteMissingAdapters(missing []backend.Adapter, now time.Time) {
	since := make(map[backend.Adapter]time.Time, len(missing))
	for _, a := range missing {
		since[a] = now
		if before, ok := p.adapterWaitedSince[a]; ok {
			since[a] = before
		}
	}
	p.adapterWaitedSince = since
}
