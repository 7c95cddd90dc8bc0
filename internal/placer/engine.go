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
	retireTime = 350 * time.Millisecond
	// pollEvery is the time between two reports while an order is carried out.
	pollEvery = 250 * time.Millisecond
	// adapterTime is how long an adapter counts as on its way.
	adapterTime = 40 * time.Millisecond
	// adapterCheck is when an adapter's arrival is checked by a report.
	adapterCheck = 500 * time.Millisecond
	// freshTime is how long a model that came stays at least.
	freshTime = 4 * time.Second
	// reportLag bounds how much older than an order a report may be that comes after it.
	reportLag = 1500 * time.Millisecond
	// doubtTime is how long after a load reports may be older than what it pushed out.
	doubtTime = 700 * time.Millisecond
	// longestUnload is how long a load may wait for the room that is made for it: longer
	// than an order without an answer may take to be carried out.
	longestUnload = 13 * time.Second
	// retryOrder is the pause after an order without an answer.
	retryOrder = 300 * time.Millisecond
)

// An engine is what the holder of orders knows of one engine.
type engine struct {
	server *backend.Server
	// known tells that the engine's own report stands in what follows.
	known     bool
	sequence  int
	residents []backend.Resident
	inMemory  []string
	onDisk    []string
	// doubtUntil is until when reports may still tell of weights at hand that a load
	// has just pushed out.
	doubtUntil time.Time
	// pending are the orders still to be given or carried out, the first one first.
	pending []backend.Order
	// given tells that the engine has taken the first pending order.
	given bool
	// earliest is when the first pending order may be given.
	earliest time.Time
	// started is when the pending orders were planned.
	started time.Time
	// ordered is when the engine last took an order.
	ordered time.Time
	// calling tells that a call to the engine is under way.
	calling bool
	// nextReport is when the next report is due; zero if none is.
	nextReport time.Time
	fresh      map[string]time.Time
	// coming tells when adapters that were ordered are expected to be there.
	coming map[backend.Adapter]time.Time
}

func newEngine(s *backend.Server) *engine {
	return &engine{
		server: s, residents: s.Residents, inMemory: s.InMemory, onDisk: s.OnDisk,
		fresh: make(map[string]time.Time), coming: make(map[backend.Adapter]time.Time),
	}
}

// idle reports whether a new move may be planned for the engine.
func (e *engine) idle() bool { return e.known && !e.calling && len(e.pending) == 0 }

// ready returns the models and adapters that gateways may send requests for.
func (e *engine) ready(now time.Time) []backend.Resident {
	var out []backend.Resident
	for _, r := range e.residents {
		if e.retiring(r.Model) {
			continue
		}
		r = r.Clone()
		r.Adapters = slices.DeleteFunc(r.Adapters, func(name string) bool {
			return now.Before(e.coming[backend.Adapter{Model: r.Model, Name: name}])
		})
		out = append(out, r)
	}
	return out
}

func (e *engine) retiring(model string) bool {
	return slices.ContainsFunc(e.pending, func(o backend.Order) bool {
		return o.Unload && o.Adapter == "" && o.Model == model
	})
}

// planned returns what the engine will hold when its pending orders are carried out.
func (e *engine) planned() []backend.Resident {
	list := slices.DeleteFunc(slices.Clone(e.residents), func(r backend.Resident) bool { return e.retiring(r.Model) })
	for _, o := range e.pending {
		if !o.Unload && o.Adapter == "" {
			list = append(list, backend.Resident{Model: o.Model})
		}
	}
	return list
}

// view returns the engine as a plan sees it.
func (e *engine) view(now time.Time) residency.Engine {
	var fresh map[string]bool
	for model, since := range e.fresh {
		if now.Sub(since) >= freshTime {
			delete(e.fresh, model)
			continue
		}
		if fresh == nil {
			fresh = make(map[string]bool)
		}
		fresh[model] = true
	}
	return residency.Engine{
		ID: e.server.ID, Hall: e.server.Hall, Residents: e.planned(), Idle: e.idle(), Leaving: e.server.Leaving,
		InMemory: e.inMemory, OnDisk: e.onDisk, Fresh: fresh,
	}
}

// start queues the orders of a move.
func (e *engine) start(m residency.Move, now time.Time) {
	for _, v := range m.Victims {
		e.pending = append(e.pending, backend.Order{Unload: true, Model: v})
	}
	e.pending = append(e.pending, backend.Order{Model: m.Model})
	e.given = false
	e.started = now
	if len(m.Victims) > 0 {
		e.earliest = now.Add(retireTime)
	}
}

// overdue reports whether the engine has been about to make room for a load for too
// long: it waits for requests to end, or it does not answer.
func (e *engine) overdue(now time.Time) bool {
	n := len(e.pending)
	if n == 0 || e.pending[n-1].Unload || now.Sub(e.started) < longestUnload {
		return false
	}
	return n > 1 || !e.given && !e.known && !e.calling
}

// abandonLoad drops the load of the pending orders and returns its model, so that it
// can be planned elsewhere. What is to go still goes.
func (e *engine) abandonLoad() string {
	n := len(e.pending)
	model := e.pending[n-1].Model
	e.pending = e.pending[:n-1]
	return model
}

// take takes in a report and reports whether it is as new as the orders given.
func (e *engine) take(r backend.Report, now time.Time) bool {
	if e.known && r.Sequence < e.sequence && now.Sub(e.ordered) < reportLag {
		return false
	}
	e.sequence = r.Sequence
	e.residents = r.Residents
	for _, a := range r.Coming {
		e.addAdapter(a, now)
	}
	e.inMemory, e.onDisk = r.InMemory, r.OnDisk
	if now.Before(e.doubtUntil) {
		e.inMemory, e.onDisk = nil, nil
	}
	maps.DeleteFunc(e.coming, func(_ backend.Adapter, at time.Time) bool { return !now.Before(at) })
	e.known = true
	return true
}

// settle drops the pending orders that a report of an engine without an order
// under way shows to be done, also those whose answer was lost, and returns the
// model that came, if one did.
func (e *engine) settle(now time.Time) (loaded string) {
	for len(e.pending) > 0 {
		o := e.pending[0]
		present := slices.ContainsFunc(e.residents, func(r backend.Resident) bool { return r.Model == o.Model })
		if present == o.Unload {
			break
		}
		e.pending, e.given = e.pending[1:], false
		if !o.Unload {
			e.fresh[o.Model] = now
			loaded = o.Model
			e.doubt(now)
		}
	}
	if e.given {
		// The engine is done and it did not happen: plan anew.
		e.pending, e.given = nil, false
	}
	return loaded
}

// doubt forgets which weights are at hand until a report that is surely newer than
// the load that has ended: a load from the weight store may have pushed some out.
func (e *engine) doubt(now time.Time) {
	e.inMemory, e.onDisk = nil, nil
	e.doubtUntil = now.Add(doubtTime)
	e.nextReport = e.doubtUntil
}

// fromStore reports whether the first pending order loads from the weight store.
func (e *engine) fromStore() bool {
	o := e.pending[0]
	return !o.Unload && !slices.Contains(e.inMemory, o.Model) && !slices.Contains(e.onDisk, o.Model)
}

// expected returns how long the engine's first pending order should take.
func (e *engine) expected(spec *table.EngineSpec) time.Duration {
	o := e.pending[0]
	m, ok := spec.Model(o.Model)
	if o.Unload || !ok {
		return pollEvery
	}
	switch {
	case slices.Contains(e.inMemory, o.Model):
		return m.WarmTime
	case slices.Contains(e.onDisk, o.Model):
		return m.DiskTime
	}
	return m.LoadTime
}

// addAdapter counts an adapter that the engine has taken an order for.
func (e *engine) addAdapter(a backend.Adapter, now time.Time) {
	e.residents = slices.Clone(e.residents)
	for i, r := range e.residents {
		if r.Model == a.Model && !r.Has(a.Name) {
			r = r.Clone()
			r.Adapters = append(r.Adapters, a.Name)
			e.residents[i] = r
		}
	}
	e.coming[a] = now.Add(adapterTime)
}

func (e *engine) dropAdapter(a backend.Adapter) {
	e.residents = slices.Clone(e.residents)
	for i, r := range e.residents {
		if r.Model == a.Model {
			r = r.Clone()
			r.Adapters = slices.DeleteFunc(r.Adapters, func(name string) bool { return name == a.Name })
			e.residents[i] = r
		}
	}
}
