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

// writeTime is within what time the writers of these tests write again.
const writeTime = 3 * time.Second

// countingWriters write a count that rises.
type countingWriters struct{}

// IsOlder compares counts; a value that begins with another letter is of another life.
func (countingWriters) IsOlder(e, than kv.Entry) (older, known bool) {
	return bytes.Compare(e.Value, than.Value) < 0, e.Value[0] <= '9' && than.Value[0] <= '9'
}

func (countingWriters) WriteTime() time.Duration { return writeTime }

// copiedService is a service with writers under s/ as a watching process sees it.
type copiedService struct {
	t     *testing.T
	store *kvtest.Store
	view  kv.PrefixStore
	at    kv.Revision
}

func newCopiedService(t *testing.T) *copiedService {
	s := &copiedService{t: t, store: kvtest.New(clocktest.Real{})}
	f := kv.NewFanout(kv.FanoutOptions{
		Clock: clocktest.Real{}, MaxAge: time.Second, IsWatcher: func() bool { return true },
		Writers: func(string) kv.Writers { return countingWriters{} },
	})
	s.view = f.View(s.store, false)
	return s
}

// list returns the keys and values that are listed.
func (s *copiedService) list() map[string]string {
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

// watch watches until there is a change, or the service has to be listed anew.
func (s *copiedService) watch() ([]kv.Event, error) {
	s.t.Helper()
	for {
		events, at, err := s.view.WatchPrefix(s.t.Context(), "s/", s.at, time.Second)
		if err != nil || len(events) > 0 {
			s.at = at
			return events, err
		}
	}
}

// TestServiceFromACopy lets a service come back from a copy that shows an older word of one writer, lacks another
// and has one that had gone: a process that watched before lists what it knew, until each has written again or has
// had its time.
func TestServiceFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCopiedService(t)
		s.store.Set("s/gone", []byte("5"))
		s.store.Set("s/leaving", []byte("5"))
		s.store.Set("s/ended", []byte("5"))
		copied := s.store.Copy()
		s.store.Remove("s/gone")
		s.store.Set("s/leaving", []byte("6"))
		s.store.Set("s/new", []byte("1"))
		s.store.Set("s/newer", []byte("1"))
		known := map[string]string{"s/leaving": "6", "s/ended": "5", "s/new": "1", "s/newer": "1"}
		assert.DeepEqual(t, s.list(), known)
		before := s.at
		s.store.Restore(copied)
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
		assert.Assert(t, time.Since(began) <= writeTime)
		// What had gone does not come back by itself, and an older word does not count later either.
		assert.DeepEqual(t, s.list(), map[string]string{"s/leaving": "6", "s/ended": "5", "s/new": "2"})

		s.store.Set("s/gone", []byte("6"))
		events, err = s.watch()
		assert.NilError(t, err)
		assert.Equal(t, string(events[0].Entry.Value), "6", "it lives")
		assert.Equal(t, s.list()["s/gone"], "6")
	})
}

// TestFormerLifeInACopy lets a service come back twice from a copy that has an entry of a writer's former life: the
// life that was known stands, until the writer writes again.
func TestFormerLifeInACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCopiedService(t)
		s.store.Set("s/a", []byte("a1"))
		copied := s.store.Copy()
		s.store.Set("s/a", []byte("b1"))
		s.list()
		for range 2 {
			s.store.Restore(copied)
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

// TestTwoCopiesInASecond lets a service come back twice: what was known before the first stands.
func TestTwoCopiesInASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCopiedService(t)
		copied := s.store.Copy()
		s.store.Set("s/a", []byte("1"))
		s.list()
		for range 2 {
			s.store.Restore(copied)
			_, err := s.watch()
			assert.ErrorIs(t, err, kv.ErrCompacted)
			assert.DeepEqual(t, s.list(), map[string]string{"s/a": "1"})
		}
	})
}

// stubbornStore answers each call as a test says.
type stubbornStore struct {
	list, watch error
	calls       int
}

func (s *stubbornStore) ListPrefix(_ context.Context, _ string) ([]kv.Entry, kv.Revision, error) {
	s.calls++
	return nil, 1, s.list
}

func (s *stubbornStore) WatchPrefix(_ context.Context, _ string, after kv.Revision, _ time.Duration) ([]kv.Event, kv.Revision, error) {
	s.calls++
	return nil, after, s.watch
}

// TestFollowNeverCallsWithoutAPause lets the service answer each list and watch at once in the same way, whatever
// way: a follower makes some calls a second, not thousands.
func TestFollowNeverCallsWithoutAPause(t *testing.T) {
	outcomes := map[string]error{
		"compacted": kv.ErrCompacted, "unavailable": kv.ErrUnavailable, "rate limited": kv.ErrRateLimited,
		"unknown": kv.ErrUnknown, "not found": kv.ErrNotFound, "conflict": kv.ErrConflict, "lease gone": kv.ErrLeaseGone,
		"something else": errors.New("else"),
	}
	for name, err := range outcomes {
		for call, s := range map[string]*stubbornStore{
			"list": {list: err}, "watch": {watch: err}, "both": {list: err, watch: err},
		} {
			t.Run(call+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					go kv.Follow(ctx, kv.FollowOptions{
						Store: s, Prefix: "s/", Round: time.Second, Clock: clocktest.Real{}, Follower: silentFollower{},
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

// silentFollower follows nothing.
type silentFollower struct{}

func (silentFollower) Replace([]kv.Entry) {}
func (silentFollower) Apply([]kv.Event)   {}
func (silentFollower) Unreachable(error)  {}
func (silentFollower) Reachable()         {}
