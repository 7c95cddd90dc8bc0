package placer

import (
	"maps"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/residency"
	"rockcleat/table"
)

// Times of giving orders.
const (
	// retireTime is how long gateways have to hear that a model goes before the
	// engine is told to unload it.
	retireNotice = 350 * time.Millisecond
	// pollEvery is the time between two reports while an order is carried out.
	pollEvery = 250 * time.Millisecond
	// adapterTime is how long an adapter counts as on its way.
	adapterLoadTime = 40 * time.Millisecond
	// adapterCheck is when an adapter's arrival is checked by a report.
	adapterCheckDelay = 500 * time.Millisecond
	// freshTime is how long a model that came stays at least.
	minResidence = 4 * time.Second
	// reportLag bounds how much older than an order a report may be that comes after it.
	reportLag = 1500 * time.Millisecond
	// doubtTime is how long after a load reports may be older than what it pushed out.
	cacheUnknownTime = 700 * time.Millisecond
	// longestUnload is how long a load may wait for the room that is made for it: longer
	// than an order without an answer may take to be carried out.
	maxLoadWait = 13 * time.Second
	// retryOrder is the pause after an order without an answer.
	orderRetryDelay = 300 * time.Millisecond
)

// An engine is what the holder of orders knows of one engine.
type engineState struct {
	server *backend.Server
	// known tells that the engine's own report stands in what follows.
	known          bool
	sequence       int
	residents      []backend.Resident
	cachedInMemory []string
	cachedOnDisk   []string
	// doubtUntil is until when reports may still tell of weights at hand that a load
	// has just pushed out.
	cacheUnknownUntil time.Time
	// pending are the orders still to be given or carried out, the first one first.
	pending []backend.Order
	// given tells that the engine has taken the first pending order.
	accepted bool
	// earliest is when the first pending order may be given.
	notBefore time.Time
	// started is when the pending orders were planned.
	plannedAt time.Time
	// ordered is when the engine last took an order.
	lastAccepted time.Time
	// calling tells that a call to the engine is under way.
	calling bool
	// nextReport is when the next report is due; zero if none is.
	nextReport time.Time
	loadedAt   map[string]time.Time
	// coming tells when adapters that were ordered are expected to be there.
	adapterReadyAt map[backend.Adapter]time.Time
}

func newEngine(s *backend.Server) *engineState {
	return &engineState{
		server: s, residents: s.Residents, cachedInMemory: s.CachedInMemory, cachedOnDisk: s.CachedOnDisk,
		loadedAt: make(map[string]time.Time), adapterReadyAt: make(map[backend.Adapter]time.Time),
	}
}

// idle reports whether a new move may be planned for the engine.
func (e *engineState) idle() bool { return e.known && !e.calling && len(e.pending) == 0 }

// ready returns the models and adapters that gateways may send requests for.
func (e *engineState) servable(now time.Time) []backend.Resident {
	var out []backend.Resident
	for _, r := range e.residents {
		if e.retiring(r.Model) {
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

func (e *engineState) retiring(model string) bool {
	return slices.ContainsFunc(e.pending, func(o backend.Order) bool {
		return o.Unload && o.Adapter == "" && o.Model == model
	})
}

// planned returns what the engine will hold when its pending orders are carried out.
func (e *engineState) afterOrders() []backend.Resident {
	list := slices.DeleteFunc(slices.Clone(e.residents), func(r backend.Resident) bool { return e.retiring(r.Model) })
	for _, o := range e.pending {
		if !o.Unload && o.Adapter == "" {
			list = append(list, backend.Resident{Model: o.Model})
		}
	}
	return list
}

// view returns the engine as a plan sees it.
func (e *engineState) view(now time.Time) residency.EngineView {
	var fresh map[string]bool
	for model, since := range e.loadedAt {
		if now.Sub(since) >= minResidence {
			delete(e.loadedAt, model)
			continue
		}
		if fresh == nil {
			fresh = make(map[string]bool)
		}
		fresh[model] = true
	}
	return residency.EngineView{
		ID: e.server.ID, Hall: e.server.Hall, Residents: e.afterOrders(), Idle: e.idle(), Leaving: e.server.Leaving,
		CachedInMemory: e.cachedInMemory, CachedOnDisk: e.cachedOnDisk, RecentlyLoaded: fresh,
	}
}

// start queues the orders of a move.
func (e *engineState) plan(m residency.Move, now time.Time) {
	for _, v := range m.Evictions {
		e.pending = append(e.pending, backend.Order{Unload: true, Model: v})
	}
	e.pending = append(e.pending, backend.Order{Model: m.Model})
	e.accepted = false
	e.plannedAt = now
	if len(m.Evictions) > 0 {
		e.notBefore = now.Add(retireNotice)
	}
}

// overdue reports whether the engine has been about to make room for a load for too
// long: it waits for requests to end, or it does not answer.
func (e *engineState) loadOverdue(now time.Time) bool {
	n := len(e.pending)
	if n == 0 || e.pending[n-1].Unload || now.Sub(e.plannedAt) < maxLoadWait {
		return false
	}
	return n > 1 || !e.accepted && !e.known && !e.calling
}

// abandonLoad drops the load of the pending orders and returns its model, so that it
// can be planned elsewhere. What is to go still goes.
func (e *engineState) abandonLoad() string {
	n := len(e.pending)
	model := e.pending[n-1].Model
	e.pending = e.pending[:n-1]
	return model
}

// take takes in a report and reports whether it is as new as the orders given.
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

// settle drops the pending orders that a report of an engine without an order
// under way shows to be done, also those whose answer was lost, and returns the
// model that came, if one did.
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
		// The engine is done and it did not happen: plan anew.
		e.pending, e.accepted = nil, false
	}
	return loaded
}

// doubt forgets which weights are at hand until a report that is surely newer than
// the load that has ended: a load from the weight store may have pushed some out.
func (e *engineState) distrustCache(now time.Time) {
	e.cachedInMemory, e.cachedOnDisk = nil, nil
	e.cacheUnknownUntil = now.Add(cacheUnknownTime)
	e.nextReport = e.cacheUnknownUntil
}

// fromStore reports whether the first pending order loads from the weight store.
func (e *engineState) fromStore() bool {
	o := e.pending[0]
	return !o.Unload && !slices.Contains(e.cachedInMemory, o.Model) && !slices.Contains(e.cachedOnDisk, o.Model)
}

// expected returns how long the engine's first pending order should take.
func (e *engineState) expected(spec *table.EngineSpec) time.Duration {
	o := e.pending[0]
	m, ok := spec.Model(o.Model)
	if o.Unload || !ok {
		return pollEvery
	}
	switch {
	case slices.Contains(e.cachedInMemory, o.Model):
		return m.MemoryLoadTime
	case slices.Contains(e.cachedOnDisk, o.Model):
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}

// addAdapter counts an adapter that the engine has taken an order for.
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
