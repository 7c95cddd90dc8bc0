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

// An adapterUnload is an ordered unload of an adapter that the engine's reports do not show as done yet. An engine carries it
// out once the requests that use the adapter have ended. Until then the adapter keeps its slot and memory.
type adapterUnload struct {
	// sequence is the sequence number of the order.
	sequence int
	ordered  time.Time
}

// An awaitedAdapter is an adapter to be loaded as soon as its engine has room.
type awaitedAdapter struct {
	backend.Adapter
	since time.Time
}

// holdsModel reports whether the engine holds a model, including one that is being unloaded.
func (e *engineState) holdsModel(model string) bool {
	return slices.ContainsFunc(e.residents, func(r backend.Resident) bool { return r.Model == model })
}

// holdsAdapter reports whether the engine holds an adapter, including one that is being loaded or unloaded.
func (e *engineState) holdsAdapter(a backend.Adapter) bool {
	return slices.ContainsFunc(e.residents, func(r backend.Resident) bool { return r.Model == a.Model && r.Has(a.Name) })
}

// isUnloadingAdapter reports whether the unload of an adapter has been ordered and is not done yet.
func (e *engineState) isUnloadingAdapter(a backend.Adapter) bool {
	_, ok := e.unloadingAdapters[a]
	return ok
}

// settleAdapterUnloads forgets the unloads that a report shows as done, or as not accepted by the engine.
func (e *engineState) settleAdapterUnloads(r backend.Report) {
	maps.DeleteFunc(e.unloadingAdapters, func(a backend.Adapter, u adapterUnload) bool {
		return r.Sequence <= u.sequence || !e.holdsAdapter(a)
	})
}

// unloadingView returns the adapters being unloaded as input to planning.
func (e *engineState) unloadingView(now time.Time) map[backend.Adapter]bool {
	if len(e.unloadingAdapters) == 0 {
		return nil
	}
	view := make(map[backend.Adapter]bool, len(e.unloadingAdapters))
	for a, u := range e.unloadingAdapters {
		view[a] = now.Sub(u.ordered) < maxLoadWait
	}
	return view
}

// awaitedView returns the awaited adapters as input to planning.
func (e *engineState) awaitedView() []backend.Adapter {
	var view []backend.Adapter
	for _, w := range e.awaitedAdapters {
		view = append(view, w.Adapter)
	}
	return view
}

// hasRoomForAwaited reports whether the first awaited adapter can be loaded now.
func (e *engineState) hasRoomForAwaited(spec *table.EngineSpec) bool {
	return len(e.awaitedAdapters) > 0 && residency.FitsAdapter(spec, e.residents, e.awaitedAdapters[0].Model)
}

// removeAwaited removes an adapter from the awaited ones.
func (e *engineState) removeAwaited(a backend.Adapter) {
	e.awaitedAdapters = slices.DeleteFunc(e.awaitedAdapters, func(w awaitedAdapter) bool { return w.Adapter == a })
}

// dropAwaitedAdapters removes the awaited adapters that no request waits for any more, that the engine cannot load, and
// those that have waited for longer than maxLoadWait, so that they are planned on another engine.
func (p *Placer) dropAwaitedAdapters(service string, e *engineState, now time.Time) {
	if !e.known || e.paused || !e.server.AcceptsRequests() || p.isThrottled(e) {
		e.awaitedAdapters = nil
		return
	}
	e.awaitedAdapters = slices.DeleteFunc(e.awaitedAdapters, func(w awaitedAdapter) bool {
		_, wanted := p.adapterWaitingSince[service][w.Adapter]
		overdue := now.Sub(w.since) >= maxLoadWait
		if overdue {
			p.opts.Log.Warn("adapter load abandoned", zap.String("server", e.server.ID), zap.String("model", w.Model),
				zap.String("adapter", w.Name))
		}
		return !wanted || overdue || !e.holdsModel(w.Model) || e.isUnloading(w.Model) || e.holdsAdapter(w.Adapter)
	})
}

// issueAdapterOrders unloads adapters and then loads the first awaited one if the engine has room by then. Otherwise the load
// waits for a report that shows room.
func (p *Placer) issueAdapterOrders(e *engineState, spec *table.EngineSpec, evictions []backend.Adapter) {
	e.callInProgress = true
	fence := int64(p.leadership.token)
	go func() {
		for _, a := range evictions {
			if !p.unloadAdapter(e, a, fence) {
				return
			}
		}
		p.loadAwaitedAdapter(e, spec, fence)
	}()
}

// adapterOrder returns the next order to an engine for an adapter. p.mu must be held.
func (e *engineState) adapterOrder(a backend.Adapter, fence int64) backend.Order {
	return backend.Order{Model: a.Model, Adapter: a.Name, Sequence: e.sequence, Fence: fence}
}

// unloadAdapter orders the unload of an adapter and reports whether the engine counted the order.
func (p *Placer) unloadAdapter(e *engineState, a backend.Adapter, fence int64) bool {
	p.mu.Lock()
	order := e.adapterOrder(a, fence)
	order.Unload = true
	p.mu.Unlock()
	out, err := p.send(e.server, order)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	result := orderResult{order: order, outcome: out, err: err}
	switch out {
	case backend.OrderAlreadyDone:
		e.removeAdapter(a)
	case backend.OrderAccepted, backend.OrderUnanswered:
		e.unloadingAdapters[a] = adapterUnload{sequence: order.Sequence, ordered: now}
	}
	return p.recordAdapterOrder(e, result, now)
}

// loadAwaitedAdapter orders the load of the first awaited adapter if the engine has room, and ends the call to it.
func (p *Placer) loadAwaitedAdapter(e *engineState, spec *table.EngineSpec, fence int64) {
	p.mu.Lock()
	if !e.hasRoomForAwaited(spec) {
		now := p.opts.Clock.Now()
		e.callInProgress = false
		e.nextReport = now.Add(pollInterval)
		p.publish(now)
		p.mu.Unlock()
		return
	}
	a := e.awaitedAdapters[0].Adapter
	order := e.adapterOrder(a, fence)
	p.mu.Unlock()
	out, err := p.send(e.server, order)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	if !p.recordAdapterOrder(e, orderResult{order: order, outcome: out, err: err}, now) {
		return
	}
	e.callInProgress = false
	e.removeAwaited(a)
	e.addAdapter(a, now)
	p.opts.Clock.AfterFunc(adapterLoadTime, p.publishNow)
	e.nextReport = now.Add(adapterCheckDelay)
	if out == backend.OrderAlreadyDone {
		// The engine may have held the adapter before; only a report shows whether the order was counted.
		e.known = false
		e.nextReport = now.Add(pollInterval)
	}
	p.publish(now)
}

// recordAdapterOrder records the result of an order for an adapter and reports whether the engine counted it. If not, the
// call to the engine ends, and a report has to show its state.
func (p *Placer) recordAdapterOrder(e *engineState, result orderResult, now time.Time) bool {
	p.recordOrderResult(e, result, now)
	if result.isCounted() {
		return true
	}
	e.callInProgress, e.known = false, false
	e.nextReport = now.Add(pollInterval)
	return false
}
