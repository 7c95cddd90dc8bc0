package placer

import (
	"maps"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/residency"
	"rockcleat/table"
)

// Times of orders.
const (
	// retireNotice is how long gateways have to learn that a model goes before the
	// engine is ordered to unload it: some four reports.
	retireNotice = 350 * time.Millisecond
	// pollEvery is the time between two reports while an order is carried out.
	pollEvery = 250 * time.Millisecond
	// adapterLoadTime is how long an adapter takes to load.
	adapterLoadTime = 40 * time.Millisecond
	// adapterCheckDelay is when an adapter's arrival is checked by a report.
	adapterCheckDelay = 500 * time.Millisecond
	// minResidence is how long a model that was loaded stays at least, unless a model
	// without a replica needs its memory.
	minResidence = 4 * time.Second
	// reportLag bounds how much older than an order a report may be that comes after it:
	// engines' reports are some hundred milliseconds old, and a call may take as long.
	reportLag = 1500 * time.Millisecond
	// cacheUnknownTime is how long after a load reports may be older than what it pushed
	// out of the machine's caches.
	cacheUnknownTime = 700 * time.Millisecond
	// maxLoadWait is how long a load may wait for the memory that is made for it: longer
	// than the 12 s that an order without an answer may take to be carried out.
	maxLoadWait = 13 * time.Second
	// orderRetryDelay is the pause after an order without an answer.
	orderRetryDelay = 300 * time.Millisecond
)

// An engineState holds the leader's view of one engine.
type engineState struct {
	server *backend.Server
	// known says that the fields below come from the engine's own report; orders are
	// issued to known engines only.
	known bool
	// sequence is the number of orders that the engine has taken.
	sequence  int
	residents []backend.Resident
	// cachedInMemory and cachedOnDisk name the models whose weights the machine has
	// cached. Until cacheUnknownUntil reports may still list what a load has pushed out.
	cachedInMemory, cachedOnDisk []string
	cacheUnknownUntil            time.Time
	// pending are the orders still to be issued or carried out, the first one first.
	pending []backend.Order
	// accepted says that the engine has accepted the first pending order.
	accepted bool
	// notBefore is when the first pending order may be issued.
	notBefore time.Time
	// plannedAt is when the pending orders were planned.
	plannedAt time.Time
	// lastAccepted is when the engine last accepted an order.
	lastAccepted time.Time
	// calling says that a call to the engine is under way.
	calling bool
	// otherRun says that another run of the server reports than the one that is listed.
	otherRun bool
	// nextReport is when the next report is due; zero if none is.
	nextReport time.Time
	// loadedAt is when models were loaded, for minResidence.
	loadedAt map[string]time.Time
	// adapterReadyAt is when adapters that were ordered should be loaded.
	adapterReadyAt map[backend.Adapter]time.Time
}

func newEngine(s *backend.Server) *engineState {
	return &engineState{
		server: s, residents: s.Residents, cachedInMemory: s.CachedInMemory, cachedOnDisk: s.CachedOnDisk,
		loadedAt: make(map[string]time.Time), adapterReadyAt: make(map[backend.Adapter]time.Time),
	}
}

// isIdle reports whether a new move may be planned for the engine.
func (e *engineState) isIdle() bool { return e.known && !e.calling && len(e.pending) == 0 }

// servable returns the models and adapters that gateways may send requests for: what the
// engine holds, less models that are about to go and adapters that are still loading.
func (e *engineState) servable(now time.Time) []backend.Resident {
	if e.otherRun {
		return nil
	}
	var out []backend.Resident
	for _, r := range e.residents {
		if e.isRetiring(r.Model) {
			continue
		}
		r = r.Clone()
		r.Adapters = slices.DeleteFunc(r.Adapters, func(name string) bool {
			return now.Before(e.adapterReadyAt[backend.Adapter{Model: r.Model, Name: name}])
		})
		out = append(out, r)
	}
	return out
}

func (e *engineState) isRetiring(model string) bool {
	return slices.ContainsFunc(e.pending, func(o backend.Order) bool {
		return o.Unload && o.Adapter == "" && o.Model == model
	})
}

// afterOrders returns what the engine will hold when its pending orders are carried out.
func (e *engineState) afterOrders() []backend.Resident {
	list := slices.DeleteFunc(slices.Clone(e.residents), func(r backend.Resident) bool { return e.isRetiring(r.Model) })
	for _, o := range e.pending {
		if !o.Unload && o.Adapter == "" {
			list = append(list, backend.Resident{Model: o.Model})
		}
	}
	return list
}

// view returns the engine as a plan sees it.
func (e *engineState) view(now time.Time) residency.EngineView {
	maps.DeleteFunc(e.loadedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= minResidence })
	var recent map[string]bool
	for model := range e.loadedAt {
		if recent == nil {
			recent = make(map[string]bool)
		}
		recent[model] = true
	}
	return residency.EngineView{
		ID: e.server.ID, Hall: e.server.Hall, Residents: e.afterOrders(), Idle: e.isIdle(), Leaving: e.server.Leaving,
		CachedInMemory: e.cachedInMemory, CachedOnDisk: e.cachedOnDisk, RecentlyLoaded: recent,
	}
}

// plan queues the orders of a move.
func (e *engineState) plan(m residency.Move, now time.Time) {
	for _, model := range m.Evictions {
		e.pending = append(e.pending, backend.Order{Unload: true, Model: model})
	}
	e.pending = append(e.pending, backend.Order{Model: m.Model})
	e.accepted = false
	e.plannedAt = now
	if len(m.Evictions) > 0 {
		e.notBefore = now.Add(retireNotice)
	}
}

// loadOverdue reports whether a load has waited for the engine for longer than maxLoadWait:
// the engine waits for requests to end before it unloads, or it does not answer.
func (e *engineState) loadOverdue(now time.Time) bool {
	n := len(e.pending)
	if n == 0 || e.pending[n-1].Unload || now.Sub(e.plannedAt) < maxLoadWait {
		return false
	}
	return n > 1 || !e.accepted && !e.known && !e.calling
}

// abandonLoad drops the load of the pending orders and returns its model, so that it can be
// planned elsewhere. What is to be unloaded still is.
func (e *engineState) abandonLoad() string {
	n := len(e.pending)
	model := e.pending[n-1].Model
	e.pending = e.pending[:n-1]
	return model
}

// isOther reports whether a report comes from another run than this one: the server has restarted
// and its new record has not been seen yet. Where records do not name their start, runs cannot be
// told apart.
func (e *engineState) isOther(r backend.Report) bool {
	return r.ServerID != "" && e.server.Instance != "" && r.ServerID != e.server.ID
}

// apply applies a report and reports whether it is as new as the orders accepted.
func (e *engineState) apply(r backend.Report, now time.Time) bool {
	if e.known && r.Sequence < e.sequence && now.Sub(e.lastAccepted) < reportLag {
		return false
	}
	e.sequence = r.Sequence
	e.residents = r.Residents
	for _, a := range r.LoadingAdapters {
		e.addAdapter(a, now)
	}
	e.cachedInMemory, e.cachedOnDisk = r.CachedInMemory, r.CachedOnDisk
	if now.Before(e.cacheUnknownUntil) {
		e.cachedInMemory, e.cachedOnDisk = nil, nil
	}
	maps.DeleteFunc(e.adapterReadyAt, func(_ backend.Adapter, at time.Time) bool { return !now.Before(at) })
	e.known = true
	return true
}

// completeOrders drops the pending orders that a report of an engine without an order under
// way shows to be done, also those whose answer was lost, and returns the model that was
// loaded, if one was.
func (e *engineState) completeOrders(now time.Time) (loaded string) {
	for len(e.pending) > 0 {
		o := e.pending[0]
		present := slices.ContainsFunc(e.residents, func(r backend.Resident) bool { return r.Model == o.Model })
		if present == o.Unload {
			break
		}
		e.pending, e.accepted = e.pending[1:], false
		if !o.Unload {
			e.loadedAt[o.Model] = now
			loaded = o.Model
			e.distrustCache(now)
		}
	}
	if e.accepted {
		// The engine has ended the order and it did not succeed: plan anew.
		e.pending, e.accepted = nil, false
	}
	return loaded
}

// distrustCache forgets which weights are cached until a report that is surely newer than
// the load that has just ended: a load from the weight store may have pushed some out, and
// a load of those would be one from the weight store too.
func (e *engineState) distrustCache(now time.Time) {
	e.cachedInMemory, e.cachedOnDisk = nil, nil
	e.cacheUnknownUntil = now.Add(cacheUnknownTime)
	e.nextReport = e.cacheUnknownUntil
}

// source returns where the engine would load a model from.
func (e *engineState) source(model string) residency.Source {
	return residency.SourceOf(e.cachedInMemory, e.cachedOnDisk, model)
}

// fromStore reports whether the first pending order loads from the weight store.
func (e *engineState) fromStore() bool {
	o := e.pending[0]
	return !o.Unload && e.source(o.Model) == residency.FromStore
}

// expectedTime returns how long the engine's first pending order should take.
func (e *engineState) expectedTime(spec *table.EngineSpec) time.Duration {
	o := e.pending[0]
	m, ok := spec.Model(o.Model)
	if o.Unload || !ok {
		return pollEvery
	}
	return residency.LoadTime(m, e.source(o.Model))
}

// addAdapter counts an adapter that the engine has accepted an order for.
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

// dropAdapter counts an adapter as unloaded.
func (e *engineState) dropAdapter(a backend.Adapter) {
	e.residents = slices.Clone(e.residents)
	for i, r := range e.residents {
		if r.Model == a.Model {
			r = r.Clone()
			r.Adapters = slices.DeleteFunc(r.Adapters, func(name string) bool { return name == a.Name })
			e.residents[i] = r
		}
	}
}
