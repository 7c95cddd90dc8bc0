package placer

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/residency"
	"rockcleat/table"
)

// maxPlanInterval is the maximum interval between two plans of a service.
const maxPlanInterval = time.Second

// planInterval returns the interval between two plans of a service. It grows with the number of engines, as
// the cost of a plan does.
func planInterval(engines int) time.Duration {
	if engines <= enginesAtFullRate {
		return 0
	}
	return min(stepInterval*time.Duration(engines/enginesAtFullRate), maxPlanInterval)
}

// runService plans for one service and starts the calls to its engines that are due.
func (p *Placer) runService(s table.Service, now time.Time) {
	engines := p.engines.byService[s.Name]
	for _, e := range engines {
		e.paused = p.opts.IsPaused != nil && p.opts.IsPaused(e.server.ID)
	}
	p.abandonOverdueLoads(engines, now)
	p.watchReplicas(s, engines, now)
	missing := p.planAdapters(s, engines, now)
	if now.Sub(p.plannedAt[s.Name]) >= planInterval(len(engines)) {
		p.plannedAt[s.Name] = now
		p.planModels(s, engines, missing, now)
	}
	for _, e := range engines {
		p.callIfDue(s, e, now)
	}
}

// abandonOverdueLoads removes loads that have waited too long for their engine, so that they are planned on
// another engine and do not delay other loads.
func (p *Placer) abandonOverdueLoads(engines []*engineState, now time.Time) {
	for _, e := range engines {
		if e.isLoadOverdue(now) {
			p.opts.Log.Warn("move abandoned", zap.String("server", e.server.ID), zap.String("model", e.abandonLoad()))
		}
	}
}

func (p *Placer) engineViews(engines []*engineState, now time.Time) []residency.EngineView {
	out := make([]residency.EngineView, len(engines))
	for i, e := range engines {
		out[i] = e.view(now)
		out[i].Throttled = p.isThrottled(e)
		out[i].TimeFactor = p.timeFactor(e.server.ID)
	}
	return out
}

// isThrottled reports whether an engine currently accepts so few requests that no adapter should be placed on
// it.
func (p *Placer) isThrottled(e *engineState) bool {
	return p.opts.IsThrottled != nil && p.opts.IsThrottled(e.server)
}

// planModels plans and queues model moves, also those that make room for missing adapters.
func (p *Placer) planModels(s table.Service, engines []*engineState, missing []backend.Adapter, now time.Time) {
	demands := p.demandsFor(s)
	succession := p.successions[s.Name]
	if succession == nil {
		succession = &residency.SequenceEstimator{}
		p.successions[s.Name] = succession
	}
	views := p.engineViews(engines, now)
	succession.Observe(s.Engine, demands, views)
	for i := range views {
		// A load of a model would keep the engine busy for longer than requests can wait for an adapter.
		views[i].Idle = views[i].Idle && len(views[i].AwaitedAdapters) == 0
	}
	moves := residency.Plan(residency.Input{
		Spec: s.Engine, Engines: views, Demands: demands, Sequence: succession, Lost: p.replicas.byModel(s.Name),
		MissingAdapters:   missing,
		StoreLoadsAllowed: p.storeLoadLimiter.available(now) - pendingStoreLoads(engines),
	})
	for _, m := range moves {
		replacement := p.recordReplacement(s, m, now)
		p.opts.Log.Info("move planned", zap.String("server", m.Engine), zap.String("model", m.Model),
			zap.Strings("victims", m.Evictions), zap.Stringer("source", m.Source), p.demandField(s, m), replacement, interruptedField(m), adaptersField(m))
		p.engines.byID[m.Engine].plan(m, now)
	}
}

// pendingStoreLoads returns the number of planned loads from the weight store that the engines have not
// accepted yet. The limiter counts a load when its order is issued.
func pendingStoreLoads(engines []*engineState) int {
	n := 0
	for _, e := range engines {
		if len(e.pending) == 0 || e.accepted && len(e.pending) == 1 {
			continue
		}
		// The pending orders of an abandoned move end with an unload.
		last := e.pending[len(e.pending)-1]
		if !last.Unload && e.source(last.Model) == residency.FromStore {
			n++
		}
	}
	return n
}

// adaptersField returns a log field with the model whose adapters a move makes room for, if it does.
func adaptersField(m residency.Move) zap.Field {
	if m.AdaptersOf == "" {
		return zap.Skip()
	}
	return zap.String("adapters_of", m.AdaptersOf)
}

// planAdapters plans the loads of missing adapters, issues their orders and returns all adapters that are missing.
func (p *Placer) planAdapters(s table.Service, engines []*engineState, now time.Time) []backend.Adapter {
	demand := p.demand.adapterDemand(s.Name)
	missing, missingAt := p.notLoaded(demand, engines)
	p.recordMissingAdapters(s.Name, missing, missingAt, now)
	awaited := p.awaitedAdapters(s.Name, engines, now)
	unplanned := slices.DeleteFunc(slices.Clone(missing), func(a backend.Adapter) bool { return awaited[a] })
	unplannedAt := slices.DeleteFunc(missingAt, func(at residency.AdapterAt) bool { return awaited[at.Adapter] })
	if len(unplanned)+len(unplannedAt) == 0 {
		return missing
	}
	idle := slices.DeleteFunc(p.engineViews(engines, now), func(e residency.EngineView) bool { return !e.Idle })
	requests := make(map[string]int)
	for id, l := range p.demand.loads.byServer {
		requests[id] = l.Running
	}
	moves := residency.PlanAdapters(residency.AdapterInput{
		Spec: s.Engine, Engines: idle, Missing: unplanned, MissingAt: unplannedAt,
		LastUsed: p.demand.adapterLastUsed, RequestsByAdapter: demand.running, RequestsByEngine: requests,
		StreamVersions: demand.streamVersions, WaitingSince: p.adapterWaitingSince[s.Name], Now: now,
	})
	for _, m := range moves {
		p.logAdapterMove(s, m, demand, now)
		e := p.engines.byID[m.Engine]
		e.awaitedAdapters = append(e.awaitedAdapters, awaitedAdapter{Adapter: m.Adapter, since: now})
		if len(m.Evictions) > 0 || e.hasRoomForAwaited(s.Engine) {
			p.issueAdapterOrders(e, s.Engine, m.Evictions)
		}
	}
	return missing
}

// logAdapterMove logs a planned load of an adapter and what decided it: how long requests have waited for it, how many use
// the adapters to be unloaded, and what the engine holds.
func (p *Placer) logAdapterMove(s table.Service, m residency.AdapterMove, demand adapterDemand, now time.Time) {
	e := p.engines.byID[m.Engine]
	var evictions []string
	requests := 0
	for _, a := range m.Evictions {
		evictions = append(evictions, a.Model+"/"+a.Name)
		requests += demand.running[a]
	}
	p.opts.Log.Info("adapter move planned", zap.String("server", m.Engine), zap.String("model", m.Model), zap.String("adapter", m.Name),
		zap.Duration("waited", now.Sub(p.adapterWaitingSince[s.Name][m.Adapter])), zap.Strings("victims", evictions),
		zap.Int("victim_requests", requests), zap.Int("adapters", residency.AdapterCount(e.residents)),
		zap.Int("unloading", len(e.unloadingAdapters)), zap.Int("slots", s.Engine.AdapterSlots),
		zap.Float64("free_mb", residency.FreeMB(s.Engine, e.residents)))
}

// awaitedAdapters returns the adapters that engines load as soon as they have room.
func (p *Placer) awaitedAdapters(service string, engines []*engineState, now time.Time) map[backend.Adapter]bool {
	awaited := make(map[backend.Adapter]bool)
	for _, e := range engines {
		p.dropAwaitedAdapters(service, e, now)
		for _, w := range e.awaitedAdapters {
			awaited[w.Adapter] = true
		}
	}
	return awaited
}

// notLoaded returns the adapters that requests wait for and that are not loaded on any usable engine, and those that
// streams need at a software version at which no usable engine has them. Engines that are leaving or throttled are not
// usable, and an engine that is about to unload a model is not usable for its adapters.
func (p *Placer) notLoaded(demand adapterDemand, engines []*engineState) (missing []backend.Adapter, missingAt []residency.AdapterAt) {
	if len(demand.waiting) == 0 {
		return nil, nil
	}
	loaded, loadedAt := p.loadedAdapters(engines)
	for _, a := range demand.waiting {
		if !loaded[a] {
			missing = append(missing, a)
			continue
		}
		for _, version := range slices.Sorted(maps.Keys(demand.streamVersions[a])) {
			if at := (residency.AdapterAt{Adapter: a, Version: version}); !loadedAt[at] {
				missingAt = append(missingAt, at)
			}
		}
	}
	return missing, missingAt
}

// loadedAdapters returns the adapters that are loaded on usable engines, at all and by software version.
func (p *Placer) loadedAdapters(engines []*engineState) (loaded map[backend.Adapter]bool, loadedAt map[residency.AdapterAt]bool) {
	loaded, loadedAt = make(map[backend.Adapter]bool), make(map[residency.AdapterAt]bool)
	for _, e := range engines {
		if !e.server.AcceptsRequests() || p.isThrottled(e) {
			continue
		}
		for _, r := range e.residents {
			if e.isUnloading(r.Model) {
				continue
			}
			for _, name := range r.Adapters {
				a := backend.Adapter{Model: r.Model, Name: name}
				if e.isUnloadingAdapter(a) {
					continue
				}
				loaded[a] = true
				loadedAt[residency.AdapterAt{Adapter: a, Version: e.server.Version}] = true
			}
		}
	}
	return loaded, loadedAt
}

// recordMissingAdapters records since when requests have been waiting for each missing adapter of a service.
func (p *Placer) recordMissingAdapters(service string, missing []backend.Adapter, missingAt []residency.AdapterAt, now time.Time) {
	missing = slices.Clone(missing)
	for _, at := range missingAt {
		missing = append(missing, at.Adapter)
	}
	since := make(map[backend.Adapter]time.Time, len(missing))
	for _, a := range missing {
		since[a] = now
		if previous, ok := p.adapterWaitingSince[service][a]; ok {
			since[a] = previous
		}
	}
	p.adapterWaitingSince[service] = since
}
