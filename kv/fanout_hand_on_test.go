package kv_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
)

// TestFanoutForwardsWholePrefix checks that a process without data that cannot reach the service
// receives the whole prefix and later changes from another process.
func TestFanoutForwardsWholePrefix(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clocktest.Real{})
	options := kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: longMaxAge, IsWatcher: func() bool { return true }}
	source := kv.NewFanout(options)
	options.IsWatcher = func() bool { return false }
	options.ListWait = func() time.Duration { return time.Minute }
	late := kv.NewFanout(options)
	store.Set("a/1", []byte("1"))
	store.Set("a/2", []byte("2"))
	var sourceMirror, lateMirror mirror
	go kv.Follow(ctx, kv.FollowOptions{
		Store: source.View(store, false), Prefix: "a/", WatchTimeout: time.Second, Clock: clocktest.Real{}, Follower: &sourceMirror,
	})
	store.Remove("a/2")
	poll.WaitOn(t, sourceMirror.hasEntries(map[string]string{"a/1": "1"}))
	unreachable := &watchCounter{PrefixStore: store}
	unreachable.closed.Store(true)
	go kv.Follow(ctx, kv.FollowOptions{
		Store: late.View(unreachable, false), Prefix: "a/", WatchTimeout: time.Second, Clock: clocktest.Real{}, Follower: &lateMirror,
	})
	stop := clocktest.Real{}.Subscribe(20*time.Millisecond, func(time.Time) { late.Apply(source.Since(late.Progress()), time.Now()) })
	defer stop()
	poll.WaitOn(t, lateMirror.hasEntries(map[string]string{"a/1": "1"}))
	store.Set("a/3", []byte("3"))
	poll.WaitOn(t, lateMirror.hasEntries(map[string]string{"a/1": "1", "a/3": "3"}))
	assert.Equal(t, unreachable.watches.Load(), int64(0))
}

// TestFanoutFallbackDelay checks that FallbackDelay delays the fallback to the service.
func TestFanoutFallbackDelay(t *testing.T) {
	tests := map[string]struct {
		extra time.Duration
		alone bool
	}{
		"none":        {alone: true},
		"much of it":  {extra: time.Minute},
		"just enough": {extra: shortMaxAge, alone: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			p := newFanoutPairWith(ctx, t, shortMaxAge, test.extra)
			before := p.direct.watches.Load()
			p.setForwardingStopped(true)
			if test.alone {
				poll.WaitOn(t, p.watchesDirectlyIs(true))
				return
			}
			clock.Sleep(ctx, clocktest.Real{}, 3*shortMaxAge)
			assert.Equal(t, p.direct.watches.Load(), before)
		})
	}
}

// TestFanoutHasUpdates checks when another process is due an update: after a change, if it has no
// data, or for a newer view of one prefix while another prefix is current at all times.
func TestFanoutHasUpdates(t *testing.T) {
	const step = 100 * time.Millisecond
	c := clocktest.New(time.Unix(1000, 0))
	store := kvtest.New(c)
	store.Set("a/1", []byte("1"))
	store.Set("b/1", []byte("1"))
	f := kv.NewFanout(kv.FanoutOptions{Clock: c, MaxAge: longMaxAge, IsWatcher: func() bool { return true }})
	view := f.View(store, false)
	list := func(prefix string) {
		_, _, err := view.ListPrefix(t.Context(), prefix)
		assert.NilError(t, err)
	}
	list("a/")
	list("b/")
	known := f.Progress()
	before := f.CurrentTimes(known)
	assert.Assert(t, !f.HasUpdates(known, step, before))
	assert.Assert(t, f.HasUpdates(knownUpTo(0), step, before), "one that knows nothing gets the whole prefix")
	f.MarkCurrent("b/")
	c.Advance(step / 2)
	f.MarkCurrent("b/")
	before = f.CurrentTimes(known)
	c.Advance(step / 2)
	list("a/")
	assert.Assert(t, f.HasUpdates(known, step, before), "a newer view of one prefix counts whatever is known of the other")
	store.Set("a/1", []byte("2"))
	before = f.CurrentTimes(f.Progress())
	_, _, err := view.WatchPrefix(t.Context(), "a/", known.Revisions["a/"], time.Second)
	assert.NilError(t, err)
	assert.Assert(t, f.HasUpdates(known, step, before), "a change counts at once")
}

// TestFanoutForwardsListAsChanges checks that after a second list of a prefix, as after a
// compaction, other processes are sent only the differences, deletions included.
func TestFanoutForwardsListAsChanges(t *testing.T) {
	store := kvtest.New(clocktest.Real{})
	f := kv.NewFanout(kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: longMaxAge, IsWatcher: func() bool { return true }})
	view := f.View(store, false)
	list := func() {
		_, _, err := view.ListPrefix(t.Context(), "a/")
		assert.NilError(t, err)
	}
	for i := range 20 {
		store.Set(fmt.Sprint("a/", i), []byte("1"))
	}
	list()
	known := f.Progress()
	store.Set("a/1", []byte("2"))
	store.Set("a/new", []byte("1"))
	store.Remove("a/2")
	list()
	batch := f.Since(known)["a/"]
	assert.Assert(t, !batch.Full)
	got := make(map[string]string)
	for _, e := range batch.Events {
		got[e.Entry.Key] = string(e.Entry.Value)
		if e.Deleted {
			got[e.Entry.Key] = "gone"
		}
	}
	assert.DeepEqual(t, got, map[string]string{"a/1": "2", "a/new": "1", "a/2": "gone"})
	assert.Equal(t, batch.To, f.Progress().Revisions["a/"])
	assert.Equal(t, len(f.Since(knownUpTo(batch.To))["a/"].Events), 0)
	whole := f.Since(knownUpTo(0))["a/"]
	assert.Assert(t, whole.Full)
	assert.Equal(t, len(whole.Events), 20)
}

// knownUpTo returns what a process knows that has the prefix a/ up to a revision.
func knownUpTo(at kv.Revision) kv.Progress {
	return kv.Progress{Revisions: map[string]kv.Revision{"a/": at}}
}

// A fixedListStore returns the list that a test sets.
type fixedListStore struct {
	kv.PrefixStore
	entries []kv.Entry
	at      kv.Revision
}

// ListPrefix implements kv.PrefixStore.
func (s *fixedListStore) ListPrefix(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	return s.entries, s.at, nil
}

// TestFanoutListInPages guards against a lost change: if an entry was written while the pages of a
// list were read, the forwarded batch must not go beyond the revision of the list.
func TestFanoutListInPages(t *testing.T) {
	s := &fixedListStore{entries: []kv.Entry{{Key: "a/1", Revision: 1}}, at: 5}
	f := kv.NewFanout(kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: longMaxAge, IsWatcher: func() bool { return true }})
	view := f.View(s, false)
	_, _, err := view.ListPrefix(t.Context(), "a/")
	assert.NilError(t, err)
	known := f.Progress()
	s.entries, s.at = []kv.Entry{{Key: "a/1", Revision: 9}, {Key: "a/2", Revision: 6}}, 7
	_, _, err = view.ListPrefix(t.Context(), "a/")
	assert.NilError(t, err)
	batch := f.Since(known)["a/"]
	assert.Equal(t, batch.To, kv.Revision(7))
	assert.Equal(t, len(batch.Events), 2)
	end := knownUpTo(batch.To)
	assert.Assert(t, !f.HasUpdates(end, time.Hour, f.CurrentTimes(end)), "nothing is left to send")
}

// TestFanoutForwardsFromRevisionZero forwards changes from revision 0 to a process without data.
// It guards against a panic in a log that is still empty.
func TestFanoutForwardsFromRevisionZero(t *testing.T) {
	options := kv.FanoutOptions{
		Clock: clocktest.Real{}, MaxAge: longMaxAge, IsWatcher: func() bool { return true },
		Digest: func(string, kv.Entry) uint64 { return 0 },
	}
	source := kv.NewFanout(options)
	store := kvtest.New(clocktest.Real{})
	view := source.View(store, false)
	_, at, err := view.ListPrefix(t.Context(), "a/")
	assert.NilError(t, err)
	assert.Equal(t, at, kv.Revision(0))
	store.Set("a/1", []byte("1"))
	_, _, err = view.WatchPrefix(t.Context(), "a/", at, time.Second)
	assert.NilError(t, err)

	options.IsWatcher = func() bool { return false }
	options.ListWait = func() time.Duration { return time.Minute }
	late := kv.NewFanout(options)
	batches := source.Since(knownUpTo(0))
	assert.Assert(t, !batches["a/"].Full)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var lateMirror mirror
	go kv.Follow(ctx, kv.FollowOptions{
		Store: late.View(store, false), Prefix: "a/", WatchTimeout: time.Second, Clock: clocktest.Real{}, Follower: &lateMirror,
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, asked := late.Progress().Revisions["a/"]; !asked {
			return poll.Continue("the prefix is not asked for yet")
		}
		return poll.Success()
	})
	late.Apply(batches, time.Now())
	poll.WaitOn(t, lateMirror.hasEntries(map[string]string{"a/1": "1"}))
}

// TestFanoutNewWatcherCancelsWatch checks that a process that becomes the watcher ends its long
// watch in progress. Otherwise the others see no update within MaxAge and go to the service.
func TestFanoutNewWatcherCancelsWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var isWatcher atomic.Bool
	store := kvtest.New(clocktest.Real{})
	store.Set("a/1", []byte("1"))
	f := kv.NewFanout(kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: longMaxAge, IsWatcher: isWatcher.Load})
	var follower mirror
	go kv.Follow(ctx, kv.FollowOptions{
		Store: f.View(store, false), Prefix: "a/", WatchTimeout: time.Hour, Clock: clocktest.Real{}, Follower: &follower,
	})
	poll.WaitOn(t, follower.hasEntries(map[string]string{"a/1": "1"}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if store.Calls("watch") == 0 {
			return poll.Continue("no watch yet")
		}
		return poll.Success()
	})
	isWatcher.Store(true)
	f.RecheckWatcher()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := store.Calls("watch"); n < 2 {
			return poll.Continue("%d watches", n)
		}
		return poll.Success()
	})
	store.Set("a/2", []byte("2"))
	poll.WaitOn(t, follower.hasEntries(map[string]string{"a/1": "1", "a/2": "2"}))
}
