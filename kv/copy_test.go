package kv_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
)

// writeInterval is the MaxWriteInterval of counterWriters.
const writeInterval = 3 * time.Second

// counterWriters write increasing digits.
type counterWriters struct{}

// IsOlder compares the values; a value that begins with a letter belongs to another incarnation.
func (counterWriters) IsOlder(e, than kv.Entry) (older, known bool) {
	return bytes.Compare(e.Value, than.Value) < 0, e.Value[0] <= '9' && than.Value[0] <= '9'
}

func (counterWriters) MaxWriteInterval() time.Duration { return writeInterval }

// A restorableService is a service with counterWriters under s/, seen by a watcher.
type restorableService struct {
	t     *testing.T
	store *kvtest.Store
	view  kv.PrefixStore
	at    kv.Revision
}

func newRestorableService(t *testing.T) *restorableService {
	s := &restorableService{t: t, store: kvtest.New(clocktest.Real{})}
	f := kv.NewFanout(kv.FanoutOptions{
		Clock: clocktest.Real{}, MaxAge: time.Second, IsWatcher: func() bool { return true },
		PeriodicWriters: func(string) kv.PeriodicWriters { return counterWriters{} },
	})
	s.view = f.View(s.store, false)
	return s
}

// list returns the listed keys and values.
func (s *restorableService) list() map[string]string {
	s.t.Helper()
	entries, at, err := s.view.ListPrefix(s.t.Context(), "s/")
	assert.NilError(s.t, err)
	s.at = at
	got := make(map[string]string)
	for _, e := range entries {
		got[e.Key] = string(e.Value)
	}
	return got
}

// watch watches until there is a change or an error.
func (s *restorableService) watch() ([]kv.Event, error) {
	s.t.Helper()
	for {
		events, at, err := s.view.WatchPrefix(s.t.Context(), "s/", s.at, time.Second)
		if err != nil || len(events) > 0 {
			s.at = at
			return events, err
		}
	}
}

// TestRestoreFromBackup restores the service from a backup with an outdated entry, a missing entry
// and an entry that was deleted since. The watcher must keep listing the entries that it knew until
// each is written again or has been missing for writeInterval.
func TestRestoreFromBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableService(t)
		s.store.Set("s/gone", []byte("5"))
		s.store.Set("s/leaving", []byte("5"))
		s.store.Set("s/ended", []byte("5"))
		backup := s.store.Backup()
		s.store.Remove("s/gone")
		s.store.Set("s/leaving", []byte("6"))
		s.store.Set("s/new", []byte("1"))
		s.store.Set("s/newer", []byte("1"))
		known := map[string]string{"s/leaving": "6", "s/ended": "5", "s/new": "1", "s/newer": "1"}
		assert.DeepEqual(t, s.list(), known)
		before := s.at
		s.store.Restore(backup)
		_, err := s.watch()
		assert.ErrorIs(t, err, kv.ErrCompacted, "the position is of another era")
		assert.DeepEqual(t, s.list(), known)
		assert.Assert(t, s.at > before, "a later era comes after")

		s.store.Set("s/new", []byte("2"))
		events, err := s.watch()
		assert.NilError(t, err)
		assert.Equal(t, events[0].Entry.Key, "s/new")
		began := time.Now()
		_, err = s.watch()
		assert.ErrorIs(t, err, kv.ErrCompacted, "one has not written again in its time")
		assert.Assert(t, time.Since(began) <= writeInterval)
		// The deleted entry of the backup is not listed, and the outdated value stays ignored.
		assert.DeepEqual(t, s.list(), map[string]string{"s/leaving": "6", "s/ended": "5", "s/new": "2"})

		s.store.Set("s/gone", []byte("6"))
		events, err = s.watch()
		assert.NilError(t, err)
		assert.Equal(t, string(events[0].Entry.Value), "6", "it lives")
		assert.Equal(t, s.list()["s/gone"], "6")
	})
}

// TestRestoreEarlierIncarnation restores the service twice from a backup with an entry of an
// earlier incarnation of a writer. The entry of the later incarnation must be listed until the
// writer writes again.
func TestRestoreEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableService(t)
		s.store.Set("s/a", []byte("a1"))
		backup := s.store.Backup()
		s.store.Set("s/a", []byte("b1"))
		s.list()
		for range 2 {
			s.store.Restore(backup)
			_, err := s.watch()
			assert.ErrorIs(t, err, kv.ErrCompacted)
			assert.DeepEqual(t, s.list(), map[string]string{"s/a": "b1"})
		}
		s.store.Set("s/a", []byte("c1"))
		events, err := s.watch()
		assert.NilError(t, err)
		assert.Equal(t, string(events[0].Entry.Value), "c1")
		assert.DeepEqual(t, s.list(), map[string]string{"s/a": "c1"})
	})
}

// TestRestoreTwice restores the service twice in a row. The entries known before the first restore
// must still be listed.
func TestRestoreTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableService(t)
		backup := s.store.Backup()
		s.store.Set("s/a", []byte("1"))
		s.list()
		for range 2 {
			s.store.Restore(backup)
			_, err := s.watch()
			assert.ErrorIs(t, err, kv.ErrCompacted)
			assert.DeepEqual(t, s.list(), map[string]string{"s/a": "1"})
		}
	})
}

// A constantStore returns the same errors from every call.
type constantStore struct {
	list, watch error
	calls       int
}

func (s *constantStore) ListPrefix(_ context.Context, _ string) ([]kv.Entry, kv.Revision, error) {
	s.calls++
	return nil, 1, s.list
}

func (s *constantStore) WatchPrefix(_ context.Context, _ string, after kv.Revision, _ time.Duration) ([]kv.Event, kv.Revision, error) {
	s.calls++
	return nil, after, s.watch
}

// TestFollowBacksOff guards against a busy loop: Follow must back off whichever error the service
// returns immediately.
func TestFollowBacksOff(t *testing.T) {
	outcomes := map[string]error{
		"compacted": kv.ErrCompacted, "unavailable": kv.ErrUnavailable, "rate limited": kv.ErrRateLimited,
		"unknown": kv.ErrUnknown, "not found": kv.ErrNotFound, "conflict": kv.ErrConflict, "lease gone": kv.ErrLeaseGone,
		"something else": errors.New("else"),
	}
	for name, err := range outcomes {
		for call, s := range map[string]*constantStore{
			"list": {list: err}, "watch": {watch: err}, "both": {list: err, watch: err},
		} {
			t.Run(call+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					go kv.Follow(ctx, kv.FollowOptions{
						Store: s, Prefix: "s/", WatchTimeout: time.Second, Clock: clocktest.Real{}, Follower: noopFollower{},
					})
					const seconds = 10
					clock.Sleep(ctx, clocktest.Real{}, seconds*time.Second)
					cancel()
					synctest.Wait()
					assert.Assert(t, s.calls <= 10*seconds, "%d calls in %d s", s.calls, seconds)
				})
			})
		}
	}
}

// A noopFollower ignores all updates.
type noopFollower struct{}

func (noopFollower) Replace([]kv.Entry) {}
func (noopFollower) Apply([]kv.Event)   {}
func (noopFollower) Unreachable(error)  {}
func (noopFollower) Reachable()         {}

// TestEntryWrittenBeforeTheFirstListAfterRestore guards against an entry that is ignored for good because its writer wrote
// it between the restore and the first list, and then had nothing new to write.
func TestEntryWrittenBeforeTheFirstListAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableService(t)
		s.store.Set("s/a", []byte("1"))
		backup := s.store.Backup()
		s.list()
		s.store.Restore(backup)
		s.store.Set("s/started", []byte("1"))
		restored := time.Now()
		for s.list()["s/started"] == "" {
			assert.Assert(t, time.Since(restored) <= 3*writeInterval, "it is still ignored")
			_, err := s.watch()
			assert.ErrorIs(t, err, kv.ErrCompacted)
		}
		assert.Assert(t, time.Since(restored) >= writeInterval, "it could be that of a writer that has ended")
		assert.DeepEqual(t, s.list(), map[string]string{"s/a": "1", "s/started": "1"})
	})
}
