package placer

import (
	"context"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
)

// Holders is the reply to a gateway that waits for models or adapters: the published residency of the engines that
// hold one of them.
type Holders struct {
	// IsLeader reports whether the replying gateway leads. If not, all other fields are empty.
	IsLeader bool `json:"held"`
	// Version is the version of the residency.
	Version   int64                        `json:"version,omitempty"`
	Residency map[string]backend.Residency `json:"residency,omitempty"`
}

// residencyWaiters holds the channels that are closed when an engine holds a model or adapter, by the name that
// dispatch uses for it: MODEL or MODEL/ADAPTER.
type residencyWaiters map[string][]chan struct{}

// notify closes the channels of those that wait for a resident or one of its adapters.
func (w residencyWaiters) notify(r backend.Resident) {
	w.notifyTarget(r.Model)
	for _, name := range r.Adapters {
		w.notifyTarget(r.Model + "/" + name)
	}
}

func (w residencyWaiters) notifyTarget(target string) {
	for _, c := range w[target] {
		select {
		case <-c:
		default:
			close(c)
		}
	}
	delete(w, target)
}

// add returns a channel that is closed when an engine holds one of the targets.
func (w residencyWaiters) add(targets []string) chan struct{} {
	c := make(chan struct{})
	for _, t := range targets {
		w[t] = append(w[t], c)
	}
	return c
}

// remove removes a channel that add returned.
func (w residencyWaiters) remove(targets []string, c chan struct{}) {
	for _, t := range targets {
		w[t] = slices.DeleteFunc(w[t], func(other chan struct{}) bool { return other == c })
		if len(w[t]) == 0 {
			delete(w, t)
		}
	}
}

// AwaitHolders waits until an engine holds one of the targets, for at most the given time, and returns the engines that
// do. A gateway whose requests wait for a load so learns of its end independently of the interval of its reports.
func (p *Placer) AwaitHolders(ctx context.Context, targets []string, wait time.Duration) Holders {
	p.mu.Lock()
	h := p.holders(targets)
	if !h.IsLeader || len(h.Residency) > 0 {
		p.mu.Unlock()
		return h
	}
	held := p.waiters.add(targets)
	p.mu.Unlock()
	clock.Await(ctx, p.opts.Clock, held, wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters.remove(targets, held)
	return p.holders(targets)
}

// holders returns the engines that hold one of the targets. p.mu must be held.
func (p *Placer) holders(targets []string) Holders {
	if _, held := p.opts.Lease.Held(); !held || p.leadership.token == 0 {
		return Holders{}
	}
	h := Holders{IsLeader: true, Version: p.residency.version, Residency: make(map[string]backend.Residency)}
	for id, r := range p.residency.published {
		if r.HoldsAny(targets) {
			h.Residency[id] = r
		}
	}
	return h
}
