package kv_test

import (
	"context"
	"fmt"
	"sync"
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

// A fanoutPair is a process that watches the service and one that receives what the
// first one sees.
type fanoutPair struct {
	store *kvtest.Store
	// direct is the service as the second process reaches it.
	direct *watchCounter
	// cut says that nothing is handed on.
	mu             sync.Mutex
	cut            bool
	source, other  *kv.Fanout
	sourceSees     *mirror
	otherSees      *mirror
	sourceIsSource atomic.Bool
	// alone is whether the second process last began to watch by itself.
	alone atomic.Bool
}

// watchCounter counts the watches that reach the service.
type watchCounter struct {
	kv.PrefixStore
	watches atomic.Int64
	// closed lets no watch reach the service.
	closed atomic.Bool
}

// WatchPrefix implements kv.PrefixStore.
func (c *watchCounter) WatchPrefix(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Event, kv.Revision, error) {
	c.watches.Add(1)
	if c.closed.Load() {
		return nil, after, kv.ErrUnavailable
	}
	return c.PrefixStore.WatchPrefix(ctx, prefix, after, wait)
}

// Ages: so long that it is not reached in a test, and short.
const (
	longMaxAge  = time.Minute
	shortMaxAge = 300 * time.Millisecond
)

func newFanoutPair(ctx context.Context, t *testing.T, trust time.Duration) *fanoutPair {
	t.Helper()
	return newFanoutPairWith(ctx, t, trust, 0)
}

// newFanoutPairWith is newFanoutPair with extra patience of the second process.
func newFanoutPairWith(ctx context.Context, t *testing.T, trust, extra time.Duration) *fanoutPair {
	t.Helper()
	p := &fanoutPair{store: kvtest.New(clock.Real{}), sourceSees: &mirror{}, otherSees: &mirror{}}
	p.sourceIsSource.Store(true)
	p.alone.Store(true)
	p.source = kv.NewFanout(kv.FanoutOptions{Clock: clock.Real{}, MaxAge: trust, IsWatcher: p.sourceIsSource.Load})
	p.other = kv.NewFanout(kv.FanoutOptions{Clock: clock.Real{}, MaxAge: trust, IsWatcher: func() bool { return false },
		ExtraAge: func() time.Duration { return extra },
		OnSwitch: func(_ string, direct bool) { p.alone.Store(direct) },
	})
	p.store.Set("a/1", []byte("1"))
	go kv.Follow(ctx, kv.FollowOptions{
		Store: p.source.View(p.store, false), Prefix: "a/", Round: time.Second, Clock: clock.Real{}, Follower: p.sourceSees,
	})
	p.direct = &watchCounter{PrefixStore: p.store}
	go kv.Follow(ctx, kv.FollowOptions{
		Store: p.other.View(p.direct, false), Prefix: "a/", Round: time.Second, Clock: clock.Real{}, Follower: p.otherSees,
	})
	poll.WaitOn(t, p.otherSees.shows(map[string]string{"a/1": "1"}))
	poll.WaitOn(t, p.sourceSees.shows(map[string]string{"a/1": "1"}))
	stop := clock.Real{}.Subscribe(20*time.Millisecond, func(time.Time) { p.handOn() })
	t.Cleanup(stop)
	poll.WaitOn(t, p.isAlone(false))
	return p
}

func (p *fanoutPair) isAlone(want bool) poll.Check {
	return func(poll.LogT) poll.Result {
		if p.alone.Load() != want {
			return poll.Continue("alone is %v", !want)
		}
		return poll.Success()
	}
}

// setCut sets whether something is handed on from now on.
func (p *fanoutPair) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *fanoutPair) handOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return
	}
	sent := time.Now()
	p.other.Apply(p.source.Since(p.other.Revisions()), sent)
}

// TestFanoutSparesTheService checks that the second process sees each change without
// watching the service itself.
func TestFanoutSparesTheService(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newFanoutPair(ctx, t, longMaxAge)
	before := p.direct.watches.Load()
	want := map[string]string{"a/1": "1"}
	for i := range 8 {
		key := fmt.Sprint("a/n", i)
		p.store.Set(key, []byte("x"))
		want[key] = "x"
		poll.WaitOn(t, p.otherSees.shows(want))
	}
	p.store.Remove("a/1")
	delete(want, "a/1")
	poll.WaitOn(t, p.otherSees.shows(want))
	assert.Equal(t, p.direct.watches.Load(), before)
}

// TestFanoutCutOff checks that a process which receives nothing any more, or
// something too old, watches the service itself.
func TestFanoutCutOff(t *testing.T) {
	tests := map[string]func(p *fanoutPair){
		"nothing is handed on":             func(p *fanoutPair) { p.setCut(true) },
		"the source sees nothing any more": func(p *fanoutPair) { p.source.Invalidate(); p.sourceIsSource.Store(false) },
		"the source is no longer one":      func(p *fanoutPair) { p.setCut(true); p.other.Invalidate() },
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			p := newFanoutPair(ctx, t, shortMaxAge)
			cut(p)
			p.store.Set("a/2", []byte("2"))
			poll.WaitOn(t, p.otherSees.shows(map[string]string{"a/1": "1", "a/2": "2"}))
			poll.WaitOn(t, p.isAlone(true))
		})
	}
}

// TestFanoutAlone checks that a process which receives nothing sees changes at once:
// what it read itself must not count as handed on.
func TestFanoutAlone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newFanoutPair(ctx, t, longMaxAge)
	p.setCut(true)
	p.other.Invalidate()
	want := map[string]string{"a/1": "1"}
	for i := range 4 {
		key := fmt.Sprint("a/n", i)
		p.store.Set(key, []byte("x"))
		want[key] = "x"
		poll.WaitOn(t, p.otherSees.shows(want))
	}
}

// TestFanoutGap checks that changes which the source no longer has are not passed
// over: the process asks the service.
func TestFanoutGap(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newFanoutPair(ctx, t, shortMaxAge)
	p.setCut(true)
	want := map[string]string{"a/1": "1"}
	big := make([]byte, 400<<10)
	for i := range 5 {
		key := fmt.Sprint("a/big", i)
		p.store.Set(key, big)
		want[key] = string(big)
		poll.WaitOn(t, p.sourceSees.shows(want))
	}
	seen := map[string]kv.Revision{"a/": 1}
	batch := p.source.Since(seen)["a/"]
	assert.Assert(t, batch.Full, "the log is bounded: what was dropped does not count as nothing")
	assert.Equal(t, len(batch.Events), len(want), "all entries instead")
	p.setCut(false)
	poll.WaitOn(t, p.otherSees.shows(want))
}

// TestFanoutNeverGoesBack hands on what is older than what is known.
func TestFanoutNeverGoesBack(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newFanoutPair(ctx, t, shortMaxAge)
	p.store.Set("a/1", []byte("2"))
	poll.WaitOn(t, p.otherSees.shows(map[string]string{"a/1": "2"}))
	p.setCut(true)
	at := p.other.Revisions()["a/"]
	p.other.Apply(map[string]kv.Batch{"a/": {
		From: 0, To: at - 1, Events: []kv.Event{{Entry: kv.Entry{Key: "a/1", Value: []byte("1"), Revision: at - 1}}},
	}}, time.Now())
	p.store.Set("a/3", []byte("3"))
	poll.WaitOn(t, p.otherSees.shows(map[string]string{"a/1": "2", "a/3": "3"}))
	assert.Assert(t, p.other.Revisions()["a/"] > at)
}

// TestFanoutLeavesOutWhatDoesNotMatter checks that changes which leave the digest as
// it was are not handed on, and that nothing of them is lost for a process that has
// to watch the service again.
func TestFanoutLeavesOutWhatDoesNotMatter(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clock.Real{})
	firstByte := func(_ string, e kv.Entry) uint64 { return uint64(e.Value[0]) }
	options := kv.FanoutOptions{Clock: clock.Real{}, MaxAge: longMaxAge, Digest: firstByte, IsWatcher: func() bool { return true }}
	source := kv.NewFanout(options)
	options.IsWatcher = func() bool { return false }
	other := kv.NewFanout(options)
	store.Set("a/1", []byte("x1"))
	var sourceSees, otherSees mirror
	go kv.Follow(ctx, kv.FollowOptions{
		Store: source.View(store, false), Prefix: "a/", Round: time.Second, Clock: clock.Real{}, Follower: &sourceSees,
	})
	direct := &watchCounter{PrefixStore: store}
	direct.closed.Store(true)
	go kv.Follow(ctx, kv.FollowOptions{
		Store: other.View(direct, false), Prefix: "a/", Round: time.Second, Clock: clock.Real{}, Follower: &otherSees,
	})
	poll.WaitOn(t, sourceSees.shows(map[string]string{"a/1": "x1"}))
	poll.WaitOn(t, otherSees.shows(map[string]string{"a/1": "x1"}))
	store.Set("a/1", []byte("x2"))
	poll.WaitOn(t, sourceSees.shows(map[string]string{"a/1": "x2"}))
	store.Set("a/2", []byte("y1"))
	poll.WaitOn(t, sourceSees.shows(map[string]string{"a/1": "x2", "a/2": "y1"}))
	other.Apply(source.Since(other.Revisions()), time.Now())
	poll.WaitOn(t, otherSees.shows(map[string]string{"a/1": "x1", "a/2": "y1"}))
	direct.closed.Store(false)
	other.Invalidate()
	poll.WaitOn(t, otherSees.shows(map[string]string{"a/1": "x2", "a/2": "y1"}))
}

// TestFanoutHandsOnWholePrefix checks that a process which knows nothing and does not reach the
// service lists what another one knows, and what it is sent later.
func TestFanoutHandsOnWholePrefix(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clock.Real{})
	options := kv.FanoutOptions{Clock: clock.Real{}, MaxAge: longMaxAge, IsWatcher: func() bool { return true }}
	source := kv.NewFanout(options)
	options.IsWatcher = func() bool { return false }
	options.ListWait = func() time.Duration { return time.Minute }
	late := kv.NewFanout(options)
	store.Set("a/1", []byte("1"))
	store.Set("a/2", []byte("2"))
	var sourceSees, lateSees mirror
	go kv.Follow(ctx, kv.FollowOptions{
		Store: source.View(store, false), Prefix: "a/", Round: time.Second, Clock: clock.Real{}, Follower: &sourceSees,
	})
	store.Remove("a/2")
	poll.WaitOn(t, sourceSees.shows(map[string]string{"a/1": "1"}))
	away := &watchCounter{PrefixStore: store}
	away.closed.Store(true)
	go kv.Follow(ctx, kv.FollowOptions{
		Store: late.View(away, false), Prefix: "a/", Round: time.Second, Clock: clock.Real{}, Follower: &lateSees,
	})
	stop := clock.Real{}.Subscribe(20*time.Millisecond, func(time.Time) { late.Apply(source.Since(late.Revisions()), time.Now()) })
	defer stop()
	poll.WaitOn(t, lateSees.shows(map[string]string{"a/1": "1"}))
	store.Set("a/3", []byte("3"))
	poll.WaitOn(t, lateSees.shows(map[string]string{"a/1": "1", "a/3": "3"}))
	assert.Equal(t, away.watches.Load(), int64(0))
}

// TestFanoutPatience checks that a process with extra patience goes to the service later than others.
func TestFanoutPatience(t *testing.T) {
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
			p.setCut(true)
			if test.alone {
				poll.WaitOn(t, p.isAlone(true))
				return
			}
			clock.Sleep(ctx, clock.Real{}, 3*shortMaxAge)
			assert.Equal(t, p.direct.watches.Load(), before)
		})
	}
}

// TestFanoutHasNews checks when another process should be sent something: a change, a whole prefix, or
// a newer view of any prefix, also while another prefix is known to be current all the time.
func TestFanoutHasNews(t *testing.T) {
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
	known := f.Revisions()
	before := f.Views(known)
	assert.Assert(t, !f.HasNews(known, step, before))
	assert.Assert(t, f.HasNews(map[string]kv.Revision{"a/": 0}, step, before), "one that knows nothing gets the whole prefix")
	f.MarkCurrent("b/")
	c.Advance(step / 2)
	f.MarkCurrent("b/")
	before = f.Views(known)
	c.Advance(step / 2)
	list("a/")
	assert.Assert(t, f.HasNews(known, step, before), "a newer view of one prefix counts whatever is known of the other")
	store.Set("a/1", []byte("2"))
	before = f.Views(f.Revisions())
	_, _, err := view.WatchPrefix(t.Context(), "a/", known["a/"], time.Second)
	assert.NilError(t, err)
	assert.Assert(t, f.HasNews(known, step, before), "a change counts at once")
}

// TestFanoutListIsHandedOnAsChanges lists a prefix again, as after the service has forgotten its
// history: a process that knew it before is sent what has changed, also what is gone, and no more.
func TestFanoutListIsHandedOnAsChanges(t *testing.T) {
	store := kvtest.New(clock.Real{})
	f := kv.NewFanout(kv.FanoutOptions{Clock: clock.Real{}, MaxAge: longMaxAge, IsWatcher: func() bool { return true }})
	view := f.View(store, false)
	list := func() {
		_, _, err := view.ListPrefix(t.Context(), "a/")
		assert.NilError(t, err)
	}
	for i := range 20 {
		store.Set(fmt.Sprint("a/", i), []byte("1"))
	}
	list()
	known := f.Revisions()
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
	assert.Equal(t, batch.To, f.Revisions()["a/"])
	assert.Equal(t, len(f.Since(batchEnd(batch))["a/"].Events), 0)
	whole := f.Since(map[string]kv.Revision{"a/": 0})["a/"]
	assert.Assert(t, whole.Full)
	assert.Equal(t, len(whole.Events), 20)
}

// batchEnd returns what a process knows that has applied a batch of the prefix "a/".
func batchEnd(b kv.Batch) map[string]kv.Revision { return map[string]kv.Revision{"a/": b.To} }

// A listedStore lists what a test sets.
type listedStore struct {
	kv.PrefixStore
	entries []kv.Entry
	at      kv.Revision
}

// ListPrefix implements kv.PrefixStore.
func (s *listedStore) ListPrefix(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	return s.entries, s.at, nil
}

// TestFanoutListInPages lists a prefix of which an entry was written while its pages were read: what
// is handed on does not go beyond the revision of the list, so that nothing after it is passed over.
func TestFanoutListInPages(t *testing.T) {
	s := &listedStore{entries: []kv.Entry{{Key: "a/1", Revision: 1}}, at: 5}
	f := kv.NewFanout(kv.FanoutOptions{Clock: clock.Real{}, MaxAge: longMaxAge, IsWatcher: func() bool { return true }})
	view := f.View(s, false)
	_, _, err := view.ListPrefix(t.Context(), "a/")
	assert.NilError(t, err)
	known := f.Revisions()
	s.entries, s.at = []kv.Entry{{Key: "a/1", Revision: 9}, {Key: "a/2", Revision: 6}}, 7
	_, _, err = view.ListPrefix(t.Context(), "a/")
	assert.NilError(t, err)
	batch := f.Since(known)["a/"]
	assert.Equal(t, batch.To, kv.Revision(7))
	assert.Equal(t, len(batch.Events), 2)
	end := batchEnd(batch)
	assert.Assert(t, !f.HasNews(end, time.Hour, f.Views(end)), "nothing is left to send")
}
