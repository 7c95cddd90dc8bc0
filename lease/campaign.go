package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"rockcleat/clock"
	"rockcleat/kv"
)

// Timing of Campaign.
const (
	// renewalsPerTTL is the number of renewals of a held lease per TTL, so that one or two of them
	// may fail.
	renewalsPerTTL = 3
	// watchTimeout is the maximum duration of one watch of the lease's key. A process that waits
	// for the lease makes one call to the service in that time.
	watchTimeout = 5 * time.Second
	// retryPause is the mean pause after a failed call, with jitter of ±50 %.
	retryPause = 400 * time.Millisecond
)

// Campaign renews the lease while it is held and otherwise waits until it is free and acquires it.
// It returns when ctx ends. While another process holds the lease, it makes one watch call every
// few seconds.
func (h *Holder) Campaign(ctx context.Context, s kv.PrefixStore) {
	w := &watcher{holder: h, free: make(chan struct{}, 1)}
	go kv.Follow(ctx, kv.FollowOptions{
		Store: s, Prefix: h.Key(), Round: watchTimeout, Clock: h.clock, Follower: w,
	})
	for ctx.Err() == nil {
		if _, held := h.Held(); !held && !w.awaitFree(ctx) {
			return
		}
		if w.delayAcquire(ctx); w.isHeldByOther() {
			continue
		}
		if err := h.Step(ctx); err != nil {
			w.retryAfterPause(ctx)
			continue
		}
		_, held := h.Held()
		switch {
		case held:
			clock.Sleep(ctx, h.clock, h.opts.TTL/renewalsPerTTL)
			w.signal()
		case !w.isHeldByOther():
			// The service refused the write, but no other holder's record is known, so that no
			// event may follow.
			w.retryAfterPause(ctx)
		}
	}
}

// A watcher follows a lease's key and signals when the lease is free.
type watcher struct {
	holder *Holder
	free   chan struct{}
	// recordExists reports whether the last known state of the key is a record.
	recordExists atomic.Bool
}

// delayAcquire waits for Options.Delay unless the lease is held.
func (w *watcher) delayAcquire(ctx context.Context) {
	if _, held := w.holder.Held(); held || w.holder.opts.Delay == nil {
		return
	}
	clock.Sleep(ctx, w.holder.clock, w.holder.opts.Delay())
}

// isHeldByOther reports whether another process holds the lease, by the last known state of its
// key.
func (w *watcher) isHeldByOther() bool {
	_, held := w.holder.Held()
	return !held && w.recordExists.Load()
}

// noteRecord records the entry of the lease's key. A record of this Holder that appears while it
// does not hold the lease is from an earlier run of the process and expires with its TTL.
func (w *watcher) noteRecord(e kv.Entry) {
	w.holder.noteOther(e)
	w.recordExists.Store(true)
}

// noteFree records that the key does not exist and signals it.
func (w *watcher) noteFree() {
	w.recordExists.Store(false)
	w.signal()
}

// awaitFree waits until the lease may be free. It reports false if ctx ends first.
func (w *watcher) awaitFree(ctx context.Context) bool {
	select {
	case <-w.free:
		return true
	case <-ctx.Done():
		return false
	}
}

// signal wakes the current or next awaitFree.
func (w *watcher) signal() {
	select {
	case w.free <- struct{}{}:
	default:
	}
}

// retryAfterPause pauses and then calls signal.
func (w *watcher) retryAfterPause(ctx context.Context) {
	clock.Sleep(ctx, w.holder.clock, retryPause/2+rand.N(retryPause))
	w.signal()
}

// Replace implements kv.Follower.
func (w *watcher) Replace(entries []kv.Entry) {
	for _, e := range entries {
		if e.Key == w.holder.Key() {
			w.noteRecord(e)
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
			w.noteRecord(e.Entry)
		}
	}
}

// Unreachable implements kv.Follower.
func (w *watcher) Unreachable(error) {}

// Reachable implements kv.Follower.
func (w *watcher) Reachable() {}
