package placer

import (
	"maps"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/residency"
	"rockcleat/table"
)

// Timing of orders and reports.
const (
	// unloadNotice is the delay between publishing that a model is about to be unloaded and ordering the
	// unload. Gateways learn of the change with their next report.
	unloadNotice = 350 * time.Millisecond
	// pollInterval is the interval between two requests for the report of an engine that is carrying out an
	// order.
	pollInterval = 250 * time.Millisecond
	// adapterLoadTime is the expected time to load an adapter.
	adapterLoadTime = 40 * time.Millisecond
	// adapterCheckDelay is the delay before a report confirms that an adapter was loaded.
	adapterCheckDelay = 500 * time.Millisecond
	// minResidenceTime is how long a loaded model is protected from eviction, unless a model without a replica
	// needs its memory.
	minResidenceTime = 4 * time.Second
	// maxReportLag is how long after an accepted order a report may still predate the order. It covers the
	// age of an engine's report and the duration of the call. It is also how long an engine may state fewer accepted
	// orders than before until it is believed.
	maxReportLag = 1500 * time.Millisecond
	// cacheUnknownDuration is how long after a load a report may still list cached weights that the load has
	// evicted.
	cacheUnknownDuration = 700 * time.Millisecond
	// maxLoadWait is how long a load may wait for memory to be freed on its engine. An order without a
	// response may be carried out up to 12 s later, so the wait has to be longer.
	maxLoadWait = 13 * time.Second
	// orderRetryDelay is the delay before the report that follows an order without a response.
	orderRetryDelay = 300 * time.Millisecond
)

// An engineState is the leader's view of one engine.
type engineState struct {
	server *backend.Server
	// known is set when the fields below come from the engine's own report. Orders are issued to known
	// engines only.
	known bool
	// sequence is the number of orders that the engine has accepted.
	sequence int
	// fewerSince is when the server instance first reported fewer orders than that; zero if it has not.
	fewerSince time.Time
	residents  []backend.Resident
	// cachedInMemory and cachedOnDisk name the models whose weights the machine has cached. They are empty
	// from the end of a load until cacheUnknownUntil.
	cachedInMemory, cachedOnDisk []string
	cacheUnknownUntil            time.Time
	// pending lists the orders still to be issued or completed, in order.
	pending []backend.Order
	// accepted is set when the engine has accepted the first pending order.
	accepted bool
	// notBefore is the earliest time to issue the first pending order.
	notBefore time.Time
	// plannedAt is when the pending orders were planned.
	plannedAt time.Time
	// lastAccepted is when the engine last accepted an order.
	lastAccepted time.Time
	// callInProgress is set while a call to the engine is in progress.
	callInProgress bool
	// paused is set while the engine accepts no calls from this process. It is updated before each use of the engine
	// in a step.
	paused bool
	// otherInstance is set when the last report came from another server instance than the registered one.
	otherInstance bool
	// endReported is set while a gateway reports that the server has ended, ended once the leader could not reach it
	// either or another server instance has replaced it. Both are cleared by the next report of the engine, and set only
	// for engines that are planned by engine time.
	endReported, ended bool
	// nextReport is when the next report is due, or zero if none is.
	nextReport time.Time
	// loadedAt holds the times at which models were loaded, for minResidenceTime.
	loadedAt map[string]time.Time
	// unloadingAdapters holds the unloads of adapters that the engine has accepted, or may have accepted, and that are not
	// done yet. awaitedAdapters are the adapters to load as soon as there is room, in this order.
	unloadingAdapters map[backend.Adapter]adapterUnload
	awaitedAdapters   []awaitedAdapter
	// adapterReadyAt holds the times at which adapters being loaded are expected to be ready.
	adapterReadyAt map[backend.Adapter]time.Time
}

func newEngineState(s *backend.Server) *engineState {
	return &engineState{
		server: s, residents: s.Residents, cachedInMemory: s.CachedInMemory, cachedOnDisk: s.CachedOnDisk,
		loadedAt: make(map[string]time.Time), adapterReadyAt: make(map[backend.Adapter]time.Time),
		unloadingAdapters: make(map[backend.Adapter]adapterUnload),
	}
}

// isIdle reports whether a new move may be planned for the engine.
func (e *engineState) isIdle() bool {
	return e.known && !e.callInProgress && !e.paused && len(e.pending) == 0
}

// servable returns the models and adapters that gateways may send requests for: those that the engine holds,
// without models about to be unloaded and adapters still being loaded or unloaded.
func (e *engineState) servable(now time.Time) []backend.Resident {
	if e.otherInstance {
		return nil
	}
	var servable []backend.Resident
	for _, r := range e.residents {
		if e.isUnloading(r.Model) {
			continue
		}
		r = r.Clone()
		r.Adapters = slices.DeleteFunc(r.Adapters, func(name string) bool {
			a := backend.Adapter{Model: r.Model, Name: name}
			return now.Before(e.adapterReadyAt[a]) || e.isUnloadingAdapter(a)
		})
		servable = append(servable, r)
	}
	return servable
}

func (e *engineState) isUnloading(model string) bool {
	return slices.ContainsFunc(e.pending, func(o backend.Order) bool {
		return o.Unload && o.Adapter == "" && o.Model == model
	})
}

// residentsAfterOrders returns the models that the engine will hold once its pending orders are completed.
func (e *engineState) residentsAfterOrders() []backend.Resident {
	residents := slices.DeleteFunc(slices.Clone(e.residents), func(r backend.Resident) bool { return e.isUnloading(r.Model) })
	for _, o := range e.pending {
		if !o.Unload && o.Adapter == "" {
			residents = append(residents, backend.Resident{Model: o.Model})
		}
	}
	return residents
}

// view returns the engine's state as input to planning.
func (e *engineState) view(now time.Time) residency.EngineView {
	maps.DeleteFunc(e.loadedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= minResidenceTime })
	var recent map[string]bool
	for model := range e.loadedAt {
		if recent == nil {
			recent = make(map[string]bool)
		}
		recent[model] = true
	}
	return residency.EngineView{
		ID: e.server.ID, Hall: e.server.Hall, Version: e.server.Version, Residents: e.residentsAfterOrders(), Idle: e.isIdle(),
		Loading: e.plannedLoad(), Leaving: !e.server.AcceptsRequests() || e.ended,
		CachedInMemory: e.cachedInMemory, CachedOnDisk: e.cachedOnDisk, RecentlyLoaded: recent,
		UnloadingAdapters: e.unloadingView(now), AwaitedAdapters: e.awaitedView(),
	}
}

// plan queues the orders of a move.
func (e *engineState) plan(m residency.Move, now time.Time) {
	for _, model := range m.Evictions {
		e.pending = append(e.pending, backend.Order{Unload: true, Model: model})
	}
	if m.Model != "" {
		e.pending = append(e.pending, backend.Order{Model: m.Model})
	}
	e.accepted = false
	e.plannedAt = now
	if len(m.Evictions) > 0 {
		e.notBefore = now.Add(unloadNotice)
	}
}

// isLoadOverdue reports whether a load has waited for longer than maxLoadWait. Either the engine lets running
// requests end before it unloads a model, or it does not respond.
func (e *engineState) isLoadOverdue(now time.Time) bool {
	n := len(e.pending)
	if n == 0 || e.pending[n-1].Unload || now.Sub(e.plannedAt) < maxLoadWait {
		return false
	}
	return n > 1 || !e.accepted && !e.known && !e.callInProgress
}

// abandonLoad removes the pending load and returns its model, so that it can be planned on another engine.
// Pending unloads remain.
func (e *engineState) abandonLoad() string {
	n := len(e.pending)
	model := e.pending[n-1].Model
	e.pending = e.pending[:n-1]
	return model
}

// isFromOtherInstance reports whether a report comes from another server instance than the registered one.
// This happens when the server has restarted and its new record has not been seen yet. It returns false where
// the records or the reports do not identify the instance.
func (e *engineState) isFromOtherInstance(r backend.Report) bool {
	return e.identifiesInstance(r) && r.ServerID != e.server.ID
}

// identifiesInstance reports whether the report and the server's record both identify the server instance.
func (e *engineState) identifiesInstance(r backend.Report) bool {
	return r.ServerID != "" && e.server.Instance != ""
}

// isOutdated reports whether a report may predate the last accepted order or an earlier report.
//
// The sequence of an instance only rises, and reports name no request. One that states fewer accepted orders than are known
// is therefore a further response to an earlier request.
func (e *engineState) isOutdated(r backend.Report, now time.Time) bool {
	if r.Sequence >= e.sequence {
		return false
	}
	if e.known && now.Sub(e.lastAccepted) < maxReportLag {
		return true
	}
	if !e.identifiesInstance(r) {
		return false
	}
	if e.fewerSince.IsZero() {
		e.fewerSince = now
	}
	return now.Sub(e.fewerSince) < maxReportLag
}

// apply updates the engine's state from a report and reports whether it did. An outdated report is ignored.
func (e *engineState) apply(r backend.Report, now time.Time) bool {
	if e.isOutdated(r, now) {
		return false
	}
	e.fewerSince = time.Time{}
	e.sequence = r.Sequence
	e.residents = r.Residents
	for _, a := range r.LoadingAdapters {
		e.addAdapter(a, now)
	}
	e.settleAdapterUnloads(r)
	e.cachedInMemory, e.cachedOnDisk = r.CachedInMemory, r.CachedOnDisk
	if now.Before(e.cacheUnknownUntil) {
		e.cachedInMemory, e.cachedOnDisk = nil, nil
	}
	maps.DeleteFunc(e.adapterReadyAt, func(_ backend.Adapter, at time.Time) bool { return !now.Before(at) })
	e.known = true
	return true
}

// completeOrders removes the pending orders that the last report shows as carried out, including those whose
// response was lost. It returns the model that was loaded, if any. The engine must have no order in progress.
func (e *engineState) completeOrders(now time.Time) (loaded string) {
	for len(e.pending) > 0 {
		o := e.pending[0]
		present := e.holdsModel(o.Model)
		if present == o.Unload {
			break
		}
		e.pending, e.accepted = e.pending[1:], false
		if !o.Unload {
			e.loadedAt[o.Model] = now
			loaded = o.Model
			e.invalidateCache(now)
		}
	}
	if e.accepted {
		// The engine finished the order without success; plan again.
		e.pending, e.accepted = nil, false
	}
	return loaded
}

// invalidateCache discards the cached weights until a report is certain to be newer than the load that has just
// finished. A load from the weight store may have evicted some of them, so that loading these would also read
// from the store.
func (e *engineState) invalidateCache(now time.Time) {
	e.cachedInMemory, e.cachedOnDisk = nil, nil
	e.cacheUnknownUntil = now.Add(cacheUnknownDuration)
	e.nextReport = e.cacheUnknownUntil
}

// source returns where the engine would load a model from.
func (e *engineState) source(model string) residency.Source {
	return residency.SourceOf(e.cachedInMemory, e.cachedOnDisk, model)
}

// loadsFromStore reports whether the first pending order loads from the weight store.
func (e *engineState) loadsFromStore() bool {
	o := e.pending[0]
	return !o.Unload && e.source(o.Model) == residency.FromStore
}

// expectedTime returns the expected duration of the first pending order.
func (e *engineState) expectedTime(spec *table.EngineSpec) time.Duration {
	o := e.pending[0]
	m, ok := spec.Model(o.Model)
	if o.Unload || !ok {
		return pollInterval
	}
	return residency.LoadTime(m, e.source(o.Model))
}

// addAdapter adds an adapter whose load the engine has accepted or reported.
func (e *engineState) addAdapter(a backend.Adapter, now time.Time) {
	e.residents = slices.Clone(e.residents)
	for i, r := range e.residents {
		if r.Model == a.Model && !r.Has(a.Name) {
			r = r.Clone()
			r.Adapters = append(r.Adapters, a.Name)
			e.residents[i] = r
		}
	}
	e.adapterReadyAt[a] = now.Add(adapterLoadTime)
}

// removeAdapter removes an adapter that was unloaded.
func (e *engineState) removeAdapter(a backend.Adapter) {
	e.residents = slices.Clone(e.residents)
	for i, r := range e.residents {
		if r.Model == a.Model {
			r = r.Clone()
			r.Adapters = slices.DeleteFunc(r.Adapters, func(name string) bool { return name == a.Name })
			e.residents[i] = r
		}
	}
}
