package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/clock"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
)

// errInterrupted ends a watch of the store when there is something newer to be fetched.
var errInterrupted = eris.New("configsync: a gateway holds a newer version")

// readPause is the mean of the pause after a call to the store that failed, with jitter of half
// to one and a half; news ends it.
const readPause = 300 * time.Millisecond

// watcherRounds is how often the watcher's watch ends within MaxAge, so that the others know how
// old its view is.
const watcherRounds = 3

// read lists the configuration in the store, or watches for the next one if its position in
// the store's history is known.
func (s *Syncer) read(ctx context.Context) {
	readCtx, end := s.interruptible(ctx)
	defer end()
	var err error
	after := s.readFrom()
	if after > 0 {
		err = s.watch(readCtx, after)
	} else {
		err = s.list(readCtx)
	}
	switch {
	case err == nil:
		s.opts.Health.Reachable()
		s.setFetchFailed(false)
	case ctx.Err() != nil, errors.Is(context.Cause(readCtx), errInterrupted):
	case errors.Is(err, errUnsettled):
		s.rest(ctx)
	case errors.Is(err, kv.ErrCompacted):
		s.noteForgotten(after)
		s.restAfterCompaction(ctx)
	default:
		s.noteTransfer(FromStore, 0, err)
		s.opts.Health.Unreachable(err)
		s.rest(ctx)
		s.setFetchFailed(false)
	}
}

// setFetchFailed notes whether the newest version could not be fetched. After a read of the store,
// whether it failed or not, it may be tried again: while the store is away, other gateways are the only
// way.
func (s *Syncer) setFetchFailed(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetchFailed = failed
}

// interruptible returns a context for a read of the store, which ends when another gateway turns
// out to hold a newer version: a patch of it is much smaller. After a fetch that failed, reads go on
// to their end.
func (s *Syncer) interruptible(ctx context.Context) (context.Context, func()) {
	readCtx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fetchFailed {
		s.interrupt = func() { cancel(errInterrupted) }
	}
	return readCtx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.interrupt = nil
		cancel(context.Canceled)
	}
}

// readFrom returns the revision to watch from; 0 if the store has to be listed.
func (s *Syncer) readFrom() kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := s.position
	if s.history.newest() >= s.newest.version {
		after = max(after, s.newest.revision)
	}
	if after <= s.forgotten {
		return 0
	}
	return after
}

// noteForgotten notes that the store no longer knows what came after a revision.
func (s *Syncer) noteForgotten(after kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = max(s.forgotten, after)
}

// list reads the configuration that the store has.
func (s *Syncer) list(ctx context.Context) error {
	began := s.opts.Clock.Now()
	entries, at, err := s.opts.Store.ListPrefix(ctx, s.opts.Key)
	if err != nil {
		return err
	}
	if err := s.checkSettled(ctx, at.Era()); err != nil {
		return err
	}
	shown := uint64(0)
	for _, e := range entries {
		shown = max(shown, s.take(e))
	}
	s.noteShown(shown, at.Era())
	s.noteListed(at)
	s.noteRead(at, began)
	return nil
}

// noteListed notes that the store has been listed at a revision, from which it is watched next even if the history up
// to there was forgotten: while nothing is written no list has a later one, and listing again would have no end.
func (s *Syncer) noteListed(at kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = min(s.forgotten, at-1)
}

// copySettleTime is how long after its return from a copy the store is given until it has again what the operators
// wrote, by a gateway that knows of nothing newer: they write it again within some two seconds.
const copySettleTime = 3 * time.Second

// errUnsettled says that the store may lack what the operators wrote before it came back from a copy.
var errUnsettled = eris.New("configsync: the store has come back from a copy and may show an older version")

// checkSettled returns an error if this gateway holds nothing and the store may show an older version than was in
// force: old keys would open again. Another gateway may know; else the operators' next words are waited for.
func (s *Syncer) checkSettled(ctx context.Context, era int64) error {
	if era == 0 || s.history.newest() > 0 || s.opts.IsSettled == nil {
		return nil
	}
	settled, err := s.opts.IsSettled(ctx, era)
	if err != nil {
		return err
	}
	now := s.opts.Clock.Now()
	if s.copySince.IsZero() {
		s.copySince = now
	}
	if !settled && now.Sub(s.copySince) < copySettleTime {
		return errUnsettled
	}
	return nil
}

// noteShown notes the version that the store shows, 0 for none. In an era after the first it may be older than the
// one that is held, which stays in force.
func (s *Syncer) noteShown(version uint64, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeBehind = era > 0 && version < s.history.newest()
}

// watch waits for a configuration that was written after a revision. It is short, so that a store
// that fell silent in the middle of it is asked again in time: a watch of 2 s would leave a gateway
// without the configuration for 2.9 s after the store's return, by arithmetic, where 3 s are allowed.
func (s *Syncer) watch(ctx context.Context, after kv.Revision) error {
	wait := s.opts.MaxAge()
	if s.opts.IsWatcher() {
		wait /= watcherRounds
	}
	began := s.opts.Clock.Now()
	events, at, err := s.opts.Store.WatchPrefix(ctx, s.opts.Key, after, wait)
	if err != nil {
		return err
	}
	current := kv.WatchedUntil(began, wait, len(events) > 0, s.opts.Clock.Now())
	for _, e := range newestOnly(events) {
		s.noteShown(s.take(e.Entry), at.Era())
	}
	s.noteRead(at, current)
	return nil
}

// newestOnly returns the last of the events that write the configuration: of several versions
// only the newest is decoded, which takes 6 ms of a whole core at 4,400 routes
// (platform.BenchmarkRouting). A configuration that is deleted stays in force.
func newestOnly(events []kv.Event) []kv.Event {
	for i := len(events) - 1; i >= 0; i-- {
		if !events[i].Deleted {
			return events[i : i+1]
		}
	}
	return nil
}

// take puts an entry in force and returns its version. One that cannot be decoded is logged, and the last one
// stays.
func (s *Syncer) take(e kv.Entry) uint64 {
	if e.Key != s.opts.Key {
		return 0
	}
	s.noteTransfer(FromStore, len(e.Value), nil)
	version, err := s.hold(e.Value, FromStore)
	if err != nil {
		s.opts.Log.Error("configuration not understood", telemetry.Error(err))
	}
	return version
}

// noteRead notes that what is held was the newest at a time, up to a revision. While the store is behind, that
// cannot be said: only this gateway goes on from there.
func (s *Syncer) noteRead(at kv.Revision, current time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = at
	if s.storeBehind {
		return
	}
	s.merge(newest{version: s.history.newest(), currentAt: current, revision: at})
}

// restAfterCompaction waits before the store is listed because it has forgotten its history: the
// watcher's list comes first, and its news then spares this gateway a read of the whole
// configuration, 1.2 MB at 4,400 routes. All watches end in the same moment then. The watcher waits when
// that happens again and again, so that no answer of the store makes it call without a pause.
func (s *Syncer) restAfterCompaction(ctx context.Context) {
	now := s.opts.Clock.Now()
	again := now.Sub(s.compactedAt) < readPause
	s.compactedAt = now
	if again || !s.opts.IsWatcher() {
		s.rest(ctx)
	}
}

// rest waits after a call that failed, until there is news.
func (s *Syncer) rest(ctx context.Context) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	clock.Await(ctx, s.opts.Clock, changed, readPause/2+rand.N(readPause))
}
