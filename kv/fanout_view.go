package kv

import (
	"context"
	"time"

	"rockcleat/clock"
)

// Timing of watches that go to the service.
const (
	// watchesPerMaxAge is the number of watches that the watcher makes per MaxAge, so that the
	// other processes learn in time that its view is current.
	watchesPerMaxAge = 3
	// firstRelayWatchesPerMaxAge sets the duration of the first watch of a process that watches for
	// itself while others get its view. Each of them goes to the service a quarter of MaxAge after
	// this process has, unless a watch has ended by then.
	firstRelayWatchesPerMaxAge = 8
	// watcherBatchDelay is the minimum time between changes returned to the watcher and its next
	// watch. Changes within that time cost one call.
	watcherBatchDelay = 150 * time.Millisecond
	// directBatchDelay is the same for a process that watches only for itself. Together with one
	// second in which the service reports nothing, it stays below the two seconds within which a
	// leaving server must be noticed.
	directBatchDelay = 500 * time.Millisecond
)

// A fanoutView is a PrefixStore seen through a Fanout.
type fanoutView struct {
	fanout      *Fanout
	store       PrefixStore
	selfWritten bool

	// silentChanges holds, for each prefix, the count of the log that the last list included.
	// Guarded by fanout.mu.
	silentChanges map[string]uint64
}

// ListPrefix implements PrefixStore.
func (v *fanoutView) ListPrefix(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	if list, ok := v.fanout.listReceived(ctx, prefix); ok {
		v.recordListed(prefix, list.silentChanges)
		return list.entries, list.at, nil
	}
	began := v.fanout.opts.Clock.Now()
	v.fanout.beginServiceList(prefix, began)
	entries, at, err := v.store.ListPrefix(ctx, prefix)
	if err != nil {
		v.fanout.recordListFailed(prefix)
		return nil, at, err
	}
	entries, silent := v.fanout.resetFromService(prefix, entries, at, began)
	v.recordListed(prefix, silent)
	return entries, at, nil
}

// recordListed records that a list included the given number of silent changes.
func (v *fanoutView) recordListed(prefix string, silent uint64) {
	v.fanout.mu.Lock()
	defer v.fanout.mu.Unlock()
	v.silentChanges[prefix] = silent
}

// A receivedList is a list of a prefix made of forwarded data.
type receivedList struct {
	entries       []Entry
	at            Revision
	silentChanges uint64
}

// listReceived returns all entries under a prefix from forwarded data that is recent enough, and
// reports whether there is such data. While nothing is known of the prefix, it waits for such data
// for up to FanoutOptions.ListWait, and longer while another process is about to have it or sends it.
func (f *Fanout) listReceived(ctx context.Context, prefix string) (list receivedList, ok bool) {
	began := f.opts.Clock.Now()
	for ctx.Err() == nil && !f.opts.IsWatcher() {
		f.mu.Lock()
		l := f.log(prefix)
		now := f.opts.Clock.Now()
		if l.complete && now.Sub(l.receivedAt) < f.maxAge() {
			list = receivedList{entries: l.sortedEntries(), at: l.to, silentChanges: l.silentChanges}
			f.mu.Unlock()
			return list, true
		}
		isKnown, changed := l.to > 0, l.changed
		end := f.listWaitEnd(l, began, now)
		if isKnown || !end.After(now) {
			f.mu.Unlock()
			break
		}
		l.listingUntil = end
		f.mu.Unlock()
		clock.Await(ctx, f.opts.Clock, changed, min(end.Sub(now), listWaitStep))
	}
	return receivedList{}, false
}

// listWaitStep is how long a list waits before it evaluates FanoutOptions.ListWait again.
const listWaitStep = 50 * time.Millisecond

// listWait returns FanoutOptions.ListWait, or 0 if it is not set.
func (f *Fanout) listWait() time.Duration {
	if f.opts.ListWait == nil {
		return 0
	}
	return f.opts.ListWait()
}

// WatchPrefix implements PrefixStore.
func (v *fanoutView) WatchPrefix(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Event, Revision, error) {
	f := v.fanout
	end := f.opts.Clock.Now().Add(wait)
	for ctx.Err() == nil {
		c := v.cached(prefix, after)
		if c.relist {
			return nil, after, ErrCompacted
		}
		if len(c.events) > 0 {
			f.setReceiving(prefix, !f.opts.IsWatcher())
			return c.events, c.to, nil
		}
		if listFirst := f.setReceiving(prefix, c.validFor > 0); listFirst {
			return nil, after, ErrCompacted
		}
		if c.validFor <= 0 {
			return v.watchService(ctx, prefix, after, wait)
		}
		left := min(c.validFor, end.Sub(f.opts.Clock.Now()))
		if left <= 0 {
			return nil, after, nil
		}
		clock.Await(ctx, f.opts.Clock, c.changed, left)
	}
	return nil, after, ctx.Err()
}

// setReceiving records whether watches of a prefix are served from forwarded data. It reports
// whether the service must be listed first because changes were filtered out.
func (f *Fanout) setReceiving(prefix string, receiving bool) (listFirst bool) {
	f.mu.Lock()
	l := f.logs[prefix]
	differs := l != nil && l.receiving != receiving
	if differs {
		l.receiving = receiving
		listFirst = !receiving && l.filtered
	}
	f.mu.Unlock()
	if differs && f.opts.OnSwitch != nil {
		f.opts.OnSwitch(prefix, !receiving)
	}
	return listFirst
}

// A cachedChanges is the result of a watch that is served from the log.
type cachedChanges struct {
	// events are the changes after the watch's revision, up to and including revision to.
	events []Event
	to     Revision
	// validFor is how long the watch may wait for forwarded changes if there are no events.
	validFor time.Duration
	// relist is set if the changes are no longer held but all entries are, or do not include a key
	// that came or went.
	relist bool
	// changed is closed when the log changes.
	changed <-chan struct{}
}

// cached returns the changes in the log after a revision, or how long to wait for some.
func (v *fanoutView) cached(prefix string, after Revision) cachedChanges {
	f := v.fanout
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.logs[prefix]
	if l == nil {
		return cachedChanges{}
	}
	if l.silentChanges != v.silentChanges[prefix] {
		return cachedChanges{relist: true}
	}
	isFresh := !f.opts.IsWatcher() && f.opts.Clock.Now().Sub(l.receivedAt) < f.maxAge()
	if after < l.floor {
		return cachedChanges{relist: isFresh && l.complete}
	}
	if events := l.after(after); len(events) > 0 {
		return cachedChanges{events: events, to: l.to}
	}
	if f.opts.IsWatcher() {
		return cachedChanges{}
	}
	age := f.opts.Clock.Now().Sub(l.receivedAt)
	return cachedChanges{validFor: f.maxAge() - age, changed: l.changed}
}

// watchService watches the service and adds the changes that it returns to the log.
func (v *fanoutView) watchService(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Event, Revision, error) {
	f := v.fanout
	watcher := f.opts.IsWatcher()
	batchDelay := directBatchDelay
	if watcher {
		batchDelay = watcherBatchDelay
	}
	switch {
	case watcher && !v.selfWritten:
		wait = min(wait, f.opts.MaxAge/watchesPerMaxAge)
	case !watcher && f.opts.IsRelay != nil && f.opts.IsRelay():
		wait = min(wait, f.relayWait(prefix))
	}
	wait, relist := f.limitToRestore(prefix, wait)
	if relist {
		return nil, after, ErrCompacted
	}
	clock.Sleep(ctx, f.opts.Clock, f.nextWatchTime(prefix, batchDelay).Sub(f.opts.Clock.Now()))
	began := f.opts.Clock.Now()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !watcher && !v.selfWritten {
		go f.cancelWhenWatcher(watchCtx, prefix, cancel)
	}
	events, at, err := v.store.WatchPrefix(watchCtx, prefix, after, wait)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return nil, after, nil
	}
	if err != nil {
		return events, at, err
	}
	watchedUntil := WatchedUntil(began, wait, len(events) > 0, f.opts.Clock.Now())
	f.appendBatch(prefix, Batch{From: after, To: at, Events: events}, origin{currentAt: watchedUntil})
	if len(events) > 0 {
		f.recordEvents(prefix)
	}
	return events, at, nil
}

// relayWait returns the maximum duration of a watch by a process whose view others get while there is
// no watcher. It is short if this process has not confirmed its view lately.
func (f *Fanout) relayWait(prefix string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opts.Clock.Now().Sub(f.log(prefix).currentAt) > f.opts.MaxAge/2 {
		return f.opts.MaxAge / firstRelayWatchesPerMaxAge
	}
	return f.opts.MaxAge / watchesPerMaxAge
}

// cancelWhenWatcher cancels a watch of the service when this process becomes the watcher, so that
// the next watch is short enough for the other processes. It returns when ctx ends.
func (f *Fanout) cancelWhenWatcher(ctx context.Context, prefix string, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		f.mu.Lock()
		changed := f.log(prefix).changed
		f.mu.Unlock()
		if f.opts.IsWatcher() {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// WatchedUntil returns the time up to which the result of a watch is known to be complete: the end
// of the watch if it returned no changes and lasted for the whole wait, and its start otherwise.
func WatchedUntil(began time.Time, wait time.Duration, changes bool, now time.Time) time.Time {
	end := began.Add(wait)
	if changes || end.After(now) {
		return began
	}
	return end
}

// nextWatchTime returns the earliest time of the next watch of the service.
func (f *Fanout) nextWatchTime(prefix string, batchDelay time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.logs[prefix]; l != nil && !l.lastEvents.IsZero() {
		return l.lastEvents.Add(batchDelay)
	}
	return time.Time{}
}

// recordEvents records that the service has just returned changes.
func (f *Fanout) recordEvents(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.logs[prefix]; l != nil {
		l.lastEvents = f.opts.Clock.Now()
	}
}
