package kv

import (
	"context"
	"time"
)

// Pace of watches of the service itself.
const (
	// sourceRounds is how often a source's watch ends within the time of trust, so
	// that others know how old its view is.
	watcherRounds = 3
	// sourceGather and ownGather are the pauses after changes, so that changes which
	// come close together cost one call. The second one together with a second in
	// which the service tells nothing stays under the two seconds in which a leaving
	// server must be known.
	watcherBatchTime = 150 * time.Millisecond
	ownBatchTime     = 500 * time.Millisecond
)

// A relayed is a service seen through a Relay.
type fanoutView struct {
	relay  *Fanout
	store  PrefixStore
	steady bool
}

// ListPrefix implements PrefixStore.
func (v *fanoutView) ListPrefix(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	began := v.relay.opts.Clock.Now()
	entries, at, err := v.store.ListPrefix(ctx, prefix)
	if err == nil {
		v.relay.reset(prefix, entries, at, began)
	}
	return entries, at, err
}

// WatchPrefix implements PrefixStore.
func (v *fanoutView) WatchPrefix(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Event, Revision, error) {
	end := v.relay.opts.Clock.Now().Add(wait)
	for ctx.Err() == nil {
		events, at, left, changed := v.relay.cached(prefix, after)
		if len(events) > 0 {
			v.relay.noteMode(prefix, !v.relay.opts.IsWatcher())
			return events, at, nil
		}
		if begins := v.relay.noteMode(prefix, left > 0); begins {
			return nil, after, ErrCompacted
		}
		if left <= 0 {
			return v.watch(ctx, prefix, after, wait)
		}
		left = min(left, end.Sub(v.relay.opts.Clock.Now()))
		if left <= 0 {
			return nil, after, nil
		}
		await(ctx, changed, left)
	}
	return nil, after, ctx.Err()
}

// note tells when the way in which a prefix is watched changes, and reports whether
// the service has to be listed first since changes were left out.
func (r *Fanout) noteMode(prefix string, handedOn bool) (listFirst bool) {
	r.mu.Lock()
	t := r.topics[prefix]
	differs := t != nil && t.receiving != handedOn
	if differs {
		t.receiving = handedOn
		listFirst = !handedOn && t.filtered
	}
	r.mu.Unlock()
	if differs && r.opts.OnSwitch != nil {
		r.opts.OnSwitch(prefix, !handedOn)
	}
	return listFirst
}

// look returns the changes known after a revision and for how long watches from
// there may be answered without the service.
func (r *Fanout) cached(prefix string, after Revision) (events []Event, at Revision, left time.Duration, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topics[prefix]
	if t == nil || after < t.floor {
		return nil, after, 0, nil
	}
	if events = t.after(after); len(events) > 0 {
		return events, t.to, 0, nil
	}
	if r.opts.IsWatcher() {
		return nil, after, 0, nil
	}
	return nil, after, r.opts.MaxAge - r.opts.Clock.Now().Sub(t.receivedAt), t.changed
}

// watch watches the service itself and keeps what it tells.
func (v *fanoutView) watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	r := v.relay
	source := r.opts.IsWatcher()
	gather := ownBatchTime
	if source {
		gather = watcherBatchTime
	}
	if source && !v.steady {
		wait = min(wait, r.opts.MaxAge/watcherRounds)
	}
	sleep(ctx, r.nextWatch(prefix, gather).Sub(r.opts.Clock.Now()))
	began := r.opts.Clock.Now()
	events, at, err := v.store.WatchPrefix(ctx, prefix, after, wait)
	if err != nil {
		return events, at, err
	}
	asOf := began
	if len(events) == 0 {
		asOf = began.Add(wait)
	}
	if now := r.opts.Clock.Now(); asOf.After(now) {
		asOf = began
	}
	r.appendBatch(prefix, Batch{From: after, To: at, Events: events}, asOf)
	if len(events) > 0 {
		r.noteEvents(prefix)
	}
	return events, at, nil
}

// busyUntil returns until when changes are gathered before the next watch.
func (r *Fanout) nextWatch(prefix string, gather time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.topics[prefix]; t != nil && !t.lastEvents.IsZero() {
		return t.lastEvents.Add(gather)
	}
	return time.Time{}
}

func (r *Fanout) noteEvents(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.topics[prefix]; t != nil {
		t.lastEvents = r.opts.Clock.Now()
	}
}

// await waits for a channel to be closed, for at most a time.
func await(ctx context.Context, c <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c:
	case <-ctx.Done():
	}
}
