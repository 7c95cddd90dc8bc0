package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"rockcleat/clock"
	"rockcleat/kv"
)

// Pace of a campaign.
const (
	// renewalsPerTTL is how often a held lease is renewed in its ttl, so that one or two
	// renewals may fail.
	renewalsPerTTL = 3
	// watchRound is how long one watch of another's lease waits: the cost of waiting is
	// one call to the service in that time.
	watchRound = 5 * time.Second
	// callRetryPause is the mean pause after a call that failed, with jitter of half of it.
	callRetryPause = 400 * time.Millisecond
)

// Campaign renews the lease while it is held and otherwise waits for it to come
// free, until ctx ends. While another holds it, it costs one watch each few seconds.
func (h *Holder) Campaign(ctx context.Context, s kv.PrefixStore) {
	w := &watcher{holder: h, free: make(chan struct{}, 1)}
	go kv.Follow(ctx, kv.FollowOptions{
		Store: s, Prefix: h.Key(), Round: watchRound, Clock: h.clock, Follower: w,
	})
	for ctx.Err() == nil {
		if _, held := h.Held(); !held && !w.await(ctx) {
			return
		}
		if w.leaveToOthers(ctx); w.isTaken() {
			continue
		}
		if err := h.Step(ctx); err != nil {
			w.tryAgainLater(ctx)
			continue
		}
		_, held := h.Held()
		switch {
		case held:
			clock.Sleep(ctx, h.clock, h.opts.TTL/renewalsPerTTL)
			w.signal()
		case !w.isTaken():
			// The service refused although no record of another has been seen: no event may ever come.
			w.tryAgainLater(ctx)
		}
	}
}

// A watcher follows a lease's key and signals when it is free.
type watcher struct {
	holder *Holder
	free   chan struct{}
	// taken says that another process has the lease, as the key was seen last.
	taken atomic.Bool
}

// leaveToOthers waits for the time for which this process leaves a free lease to others.
func (w *watcher) leaveToOthers(ctx context.Context) {
	if _, held := w.holder.Held(); held || w.holder.opts.Delay == nil {
		return
	}
	clock.Sleep(ctx, w.holder.clock, w.holder.opts.Delay())
}

// isTaken reports whether another process has the lease.
func (w *watcher) isTaken() bool {
	_, held := w.holder.Held()
	return !held && w.taken.Load()
}

// note notes whose record stands under the key. The record of a holder that does not hold the lease
// any more is that of its own former life: it ends with its ttl.
func (w *watcher) note(e kv.Entry) {
	w.holder.noteOther(e)
	w.taken.Store(true)
}

// noteFree notes that there is no record.
func (w *watcher) noteFree() {
	w.taken.Store(false)
	w.signal()
}

// await waits until the lease may be free and reports whether ctx still goes on.
func (w *watcher) await(ctx context.Context) bool {
	select {
	case <-w.free:
		return true
	case <-ctx.Done():
		return false
	}
}

// signal makes the next await return at once.
func (w *watcher) signal() {
	select {
	case w.free <- struct{}{}:
	default:
	}
}

// tryAgainLater makes the next await return after a pause.
func (w *watcher) tryAgainLater(ctx context.Context) {
	clock.Sleep(ctx, w.holder.clock, callRetryPause/2+rand.N(callRetryPause))
	w.signal()
}

// Replace implements kv.Follower.
func (w *watcher) Replace(entries []kv.Entry) {
	for _, e := range entries {
		if e.Key == w.holder.Key() {
			w.note(e)
			return
		}
	}
	w.noteFree()
}

// Apply implements kv.Follower.
func (w *watcher) Apply(events []kv.Event) {
	for _, e := range events {
		switch {
		case e.Entry.Key != w.holder.Key():
		case e.Deleted:
			w.noteFree()
		default:
			w.note(e.Entry)
		}
	}
}

// Unreachable implements kv.Follower.
func (w *watcher) Unreachable(error) {}

// Reachable implements kv.Follower.
func (w *watcher) Reachable() {}
