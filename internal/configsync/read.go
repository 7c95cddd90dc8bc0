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

// errInterrupted is the cancellation cause of a store read when a peer holds a newer version.
var errInterrupted = eris.New("configsync: read interrupted: a gateway holds a newer version")

// retryDelay is the mean delay after a failed store call, with jitter of ±50 %. The delay ends early when the
// next step may differ.
const retryDelay = 300 * time.Millisecond

// watchesPerMaxAge is the number of watches that the watcher makes within MaxAge, so that its announcements
// reach the other gateways before the previous ones are too old.
const watchesPerMaxAge = 3

// relayWatchesPerMaxAge is the same for a gateway that reads the store itself and whose view others get. Each of
// them reads the store itself a quarter of MaxAge after this gateway has begun to, unless a watch has ended by
// then.
const relayWatchesPerMaxAge = 8

// read watches the store for the next configuration, or lists it if no revision to watch from is known.
func (s *Syncer) read(ctx context.Context) {
	readCtx, end := s.interruptible(ctx)
	defer end()
	var err error
	after := s.watchFrom()
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
	case errors.Is(err, errNotCaughtUp):
		s.backOff(ctx)
	case errors.Is(err, kv.ErrCompacted):
		s.noteCompacted(after)
		s.backOffAfterCompaction(ctx)
	default:
		s.reportTransfer(FromStore, 0, err)
		s.opts.Health.Unreachable(err)
		s.backOff(ctx)
		s.setFetchFailed(false)
	}
}

// setFetchFailed records whether fetching the newest version failed. A store read that succeeds or fails
// clears it, so that the fetch is tried again: while the store is unreachable, other gateways are the only
// source.
func (s *Syncer) setFetchFailed(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetchFailed = failed
}

// interruptible returns a context for a store read, which is canceled when another gateway turns out to
// hold a newer version, since a patch is much smaller than a read. After a failed fetch, reads are not
// interrupted.
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

// watchFrom returns the revision to watch from, 0 if the store has to be listed.
func (s *Syncer) watchFrom() kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := s.readRevision
	if s.history.newest() >= s.known.version {
		after = max(after, s.known.revision)
	}
	if after <= s.compactedRevision {
		return 0
	}
	return after
}

// noteCompacted records that the store has compacted its history after a revision.
func (s *Syncer) noteCompacted(after kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = max(s.compactedRevision, after)
}

// list reads the current configuration from the store.
func (s *Syncer) list(ctx context.Context) error {
	began := s.opts.Clock.Now()
	entries, at, err := s.opts.Store.ListPrefix(ctx, s.opts.Key)
	if err != nil {
		return err
	}
	if err := s.checkCaughtUp(ctx, at.Era()); err != nil {
		return err
	}
	storeVersion := uint64(0)
	for _, e := range entries {
		storeVersion = max(storeVersion, s.applyEntry(e))
	}
	s.noteStoreVersion(storeVersion, at.Era())
	s.noteListed(at)
	s.noteRead(at, began)
	return nil
}

// noteListed records that the store was listed at a revision. The next watch starts there even if the
// history up to that revision was compacted: without further writes every list returns the same
// revision, and listing would repeat forever.
func (s *Syncer) noteListed(at kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = min(s.compactedRevision, at-1)
}

// catchUpTimeout is how long a gateway without a configuration waits, after the store was restored from a
// backup, for the operators to repeat the writes that the backup lacks.
const catchUpTimeout = 3 * time.Second

// errNotCaughtUp is returned while a store restored from a backup may lack later writes.
var errNotCaughtUp = eris.New("configsync: store restored from a backup may lack later writes")

// checkCaughtUp returns errNotCaughtUp if this gateway holds no configuration and the restored store may
// contain an older version than was in force, which would make revoked keys valid again. The caller then
// backs off and retries, until another gateway announces a version, the store has caught up or
// catchUpTimeout has passed.
func (s *Syncer) checkCaughtUp(ctx context.Context, era int64) error {
	if era == 0 || s.history.newest() > 0 || s.opts.IsCaughtUp == nil {
		return nil
	}
	caughtUp, err := s.opts.IsCaughtUp(ctx, era)
	if err != nil {
		return err
	}
	now := s.opts.Clock.Now()
	if s.catchUpSince.IsZero() {
		s.catchUpSince = now
	}
	if !caughtUp && now.Sub(s.catchUpSince) < catchUpTimeout {
		return errNotCaughtUp
	}
	return nil
}

// noteStoreVersion records the version that the store contains, 0 if none. In an era after the first it may be
// older than the version held, which stays in force.
func (s *Syncer) noteStoreVersion(version uint64, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeOutdated = era > 0 && version < s.history.newest()
}

// watch waits for a configuration that is written after a revision. It ends within MaxAge, so that a
// store that stops responding during a watch is called again soon after its recovery.
func (s *Syncer) watch(ctx context.Context, after kv.Revision) error {
	wait := s.opts.MaxAge()
	switch {
	case s.opts.IsWatcher():
		wait /= watchesPerMaxAge
	case s.opts.IsRelay != nil && s.opts.IsRelay():
		wait /= relayWatchesPerMaxAge
	}
	began := s.opts.Clock.Now()
	events, at, err := s.opts.Store.WatchPrefix(ctx, s.opts.Key, after, wait)
	if err != nil {
		return err
	}
	currentAt := kv.WatchedUntil(began, wait, len(events) > 0, s.opts.Clock.Now())
	for _, e := range lastWrite(events) {
		s.noteStoreVersion(s.applyEntry(e.Entry), at.Era())
	}
	s.noteRead(at, currentAt)
	return nil
}

// lastWrite returns the last event that writes the configuration, so that intermediate versions are not
// decoded. Deletions are ignored: a deleted configuration stays in force.
func lastWrite(events []kv.Event) []kv.Event {
	for i := len(events) - 1; i >= 0; i-- {
		if !events[i].Deleted {
			return events[i : i+1]
		}
	}
	return nil
}

// applyEntry applies an entry and returns its version. An entry that cannot be decoded is logged and the
// configuration in force stays.
func (s *Syncer) applyEntry(e kv.Entry) uint64 {
	if e.Key != s.opts.Key {
		return 0
	}
	s.reportTransfer(FromStore, len(e.Value), nil)
	version, err := s.apply(e.Value, FromStore)
	if err != nil {
		s.opts.Log.Error("decoding the configuration from the store failed", telemetry.Error(err))
	}
	return version
}

// noteRead records that the version held was the newest at the time currentAt, and up to the revision at.
// While the store contains an older version, only readRevision advances.
func (s *Syncer) noteRead(at kv.Revision, currentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRevision = at
	if s.storeOutdated {
		return
	}
	s.merge(knownVersion{version: s.history.newest(), currentAt: currentAt, revision: at})
}

// backOffAfterCompaction waits before the store is listed after a compaction, which ends the watches of all
// gateways at the same moment. The watcher lists first, and its announcement saves the other gateways a
// full read, which is 1.2 MB at 4,400 routes. The watcher itself waits only if compactions follow each other
// within retryDelay, so that no response of the store makes it call in a tight loop.
func (s *Syncer) backOffAfterCompaction(ctx context.Context) {
	now := s.opts.Clock.Now()
	again := now.Sub(s.lastCompaction) < retryDelay
	s.lastCompaction = now
	if again || !s.opts.IsWatcher() {
		s.backOff(ctx)
	}
}

// backOff waits after a failed call until the delay has passed or the next step may differ.
func (s *Syncer) backOff(ctx context.Context) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	clock.Await(ctx, s.opts.Clock, changed, retryDelay/2+rand.N(retryDelay))
}
