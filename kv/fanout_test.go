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

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
)

// A fanoutPair is a watcher (source) and a process that it forwards changes to (other).
type fanoutPair struct {
	store *kvtest.Store
	// direct is the service as other reaches it.
	direct *watchCounter
	// mu guards forwardingStopped.
	mu                sync.Mutex
	forwardingStopped bool
	source, other     *kv.Fanout
	sourceMirror      *mirror
	otherMirror       *mirror
	sourceIsWatcher   atomic.Bool
	// watchesDirectly is set while other watches the service itself.
	watchesDirectly atomic.Bool
}

// A watchCounter counts the watches that reach the service.
type watchCounter struct {
	kv.PrefixStore
	watches atomic.Int64
	// closed makes watches fail with kv.ErrUnavailable.
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

// Values of MaxAge: one that no test reaches, and a short one.
const (
	longMaxAge  = time.Minute
	shortMaxAge = 300 * time.Millisecond
)

func newFanoutPair(ctx context.Context, t *testing.T, maxAge time.Duration) *fanoutPair {
	t.Helper()
	return newFanoutPairWith(ctx, t, maxAge, 0)
}

// newFanoutPairWith is newFanoutPair with a FallbackDelay for other.
func newFanoutPairWith(ctx context.Context, t *testing.T, maxAge, fallbackDelay time.Duration) *fanoutPair {
	t.Helper()
	p := &fanoutPair{store: kvtest.New(clocktest.Real{}), sourceMirror: &mirror{}, otherMirror: &mirror{}}
	p.sourceIsWatcher.Store(true)
	p.watchesDirectly.Store(true)
	p.source = kv.NewFanout(kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: maxAge, IsWatcher: p.sourceIsWatcher.Load})
	p.other = kv.NewFanout(kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: maxAge, IsWatcher: func() bool { return false },
		FallbackDelay: func() time.Duration { return fallbackDelay },
		OnSwitch:      func(_ string, direct bool) { p.watchesDirectly.Store(direct) },
	})
	p.store.Set("a/1", []byte("1"))
	go kv.Follow(ctx, kv.FollowOptions{
		Store: p.source.View(p.store, false), Prefix: "a/", WatchTimeout: time.Second, Clock: clocktest.Real{}, Follower: p.sourceMirror,
	})
	p.direct = &watchCounter{PrefixStore: p.store}
	go kv.Follow(ctx, kv.FollowOptions{
		Store: p.other.View(p.direct, false), Prefix: "a/", WatchTimeout: time.Second, Clock: clocktest.Real{}, Follower: p.otherMirror,
	})
	poll.WaitOn(t, p.otherMirror.hasEntries(map[string]string{"a/1": "1"}))
	poll.WaitOn(t, p.sourceMirror.hasEntries(map[string]string{"a/1": "1"}))
	stop := clocktest.Real{}.Subscribe(20*time.Millisecond, func(time.Time) { p.forward() })
	t.Cleanup(stop)
	poll.WaitOn(t, p.watchesDirectlyIs(false))
	return p
}

func (p *fanoutPair) watchesDirectlyIs(want bool) poll.Check {
	return func(poll.LogT) poll.Result {
		if p.watchesDirectly.Load() != want {
			return poll.Continue("alone is %v", !want)
		}
		return poll.Success()
	}
}

// setForwardingStopped stops or resumes forwarding.
func (p *fanoutPair) setForwardingStopped(stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwardingStopped = stopped
}

func (p *fanoutPair) forward() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwardingStopped {
		return
	}
	sent := time.Now()
	p.other.Apply(p.source.Since(p.other.Progress()), sent)
}

// TestFanoutDoesNotWatchService checks that other sees each change without watching the service.
func TestFanoutDoesNotWatchService(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newFanoutPair(ctx, t, longMaxAge)
	before := p.direct.watches.Load()
	want := map[string]string{"a/1": "1"}
	for i := range 8 {
		key := fmt.Sprint("a/n", i)
		p.store.Set(key, []byte("x"))
		want[key] = "x"
		poll.WaitOn(t, p.otherMirror.hasEntries(want))
	}
	p.store.Remove("a/1")
	delete(want, "a/1")
	poll.WaitOn(t, p.otherMirror.hasEntries(want))
	assert.Equal(t, p.direct.watches.Load(), before)
}

// TestFanoutCutOff checks that a process watches the service itself when forwarded data stops or
// becomes too old.
func TestFanoutCutOff(t *testing.T) {
	tests := map[string]func(p *fanoutPair){
		"nothing is handed on":             func(p *fanoutPair) { p.setForwardingStopped(true) },
		"the source sees nothing any more": func(p *fanoutPair) { p.source.Invalidate(); p.sourceIsWatcher.Store(false) },
		"the source is no longer one":      func(p *fanoutPair) { p.setForwardingStopped(true); p.other.Invalidate() },
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			p := newFanoutPair(ctx, t, shortMaxAge)
			cut(p)
			p.store.Set("a/2", []byte("2"))
			poll.WaitOn(t, p.otherMirror.hasEntries(map[string]string{"a/1": "1", "a/2": "2"}))
			poll.WaitOn(t, p.watchesDirectlyIs(true))
		})
	}
}

// TestFanoutAlone checks that a process without forwarded data sees changes at once: its own reads
// of the service must not count as forwarded data.
func TestFanoutAlone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newFanoutPair(ctx, t, longMaxAge)
	p.setForwardingStopped(true)
	p.other.Invalidate()
	want := map[string]string{"a/1": "1"}
	for i := range 4 {
		key := fmt.Sprint("a/n", i)
		p.store.Set(key, []byte("x"))
		want[key] = "x"
		poll.WaitOn(t, p.otherMirror.hasEntries(want))
	}
}

// TestFanoutGap checks that a process does not miss changes that the source has already dropped
// from its log.
func TestFanoutGap(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newFanoutPair(ctx, t, shortMaxAge)
	p.setForwardingStopped(true)
	want := map[string]string{"a/1": "1"}
	big := make([]byte, 400<<10)
	for i := range 5 {
		key := fmt.Sprint("a/big", i)
		p.store.Set(key, big)
		want[key] = string(big)
		poll.WaitOn(t, p.sourceMirror.hasEntries(want))
	}
	seen := knownUpTo(1)
	batch := p.source.Since(seen)["a/"]
	assert.Assert(t, batch.Full, "the log is bounded: what was dropped does not count as nothing")
	assert.Equal(t, len(batch.Events), len(want), "all entries instead")
	p.setForwardingStopped(false)
	poll.WaitOn(t, p.otherMirror.hasEntries(want))
}

// TestFanoutIgnoresOlderBatch checks that a batch older than the known data is ignored.
func TestFanoutIgnoresOlderBatch(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newFanoutPair(ctx, t, shortMaxAge)
	p.store.Set("a/1", []byte("2"))
	poll.WaitOn(t, p.otherMirror.hasEntries(map[string]string{"a/1": "2"}))
	p.setForwardingStopped(true)
	at := p.other.Progress().Revisions["a/"]
	p.other.Apply(map[string]kv.Batch{"a/": {
		From: 0, To: at - 1, Events: []kv.Event{{Entry: kv.Entry{Key: "a/1", Value: []byte("1"), Revision: at - 1}}},
	}}, time.Now())
	p.store.Set("a/3", []byte("3"))
	poll.WaitOn(t, p.otherMirror.hasEntries(map[string]string{"a/1": "2", "a/3": "3"}))
	assert.Assert(t, p.other.Progress().Revisions["a/"] > at)
}

// TestFanoutFiltersByDigest checks that a change with an unchanged digest is not
// forwarded, and that a process sees it once it watches the service itself.
func TestFanoutFiltersByDigest(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clocktest.Real{})
	firstByte := func(_ string, e kv.Entry) uint64 { return uint64(e.Value[0]) }
	options := kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: longMaxAge, Digest: firstByte, IsWatcher: func() bool { return true }}
	source := kv.NewFanout(options)
	options.IsWatcher = func() bool { return false }
	other := kv.NewFanout(options)
	store.Set("a/1", []byte("x1"))
	var sourceMirror, otherMirror mirror
	go kv.Follow(ctx, kv.FollowOptions{
		Store: source.View(store, false), Prefix: "a/", WatchTimeout: time.Second, Clock: clocktest.Real{}, Follower: &sourceMirror,
	})
	direct := &watchCounter{PrefixStore: store}
	direct.closed.Store(true)
	go kv.Follow(ctx, kv.FollowOptions{
		Store: other.View(direct, false), Prefix: "a/", WatchTimeout: time.Second, Clock: clocktest.Real{}, Follower: &otherMirror,
	})
	poll.WaitOn(t, sourceMirror.hasEntries(map[string]string{"a/1": "x1"}))
	poll.WaitOn(t, otherMirror.hasEntries(map[string]string{"a/1": "x1"}))
	store.Set("a/1", []byte("x2"))
	poll.WaitOn(t, sourceMirror.hasEntries(map[string]string{"a/1": "x2"}))
	store.Set("a/2", []byte("y1"))
	poll.WaitOn(t, sourceMirror.hasEntries(map[string]string{"a/1": "x2", "a/2": "y1"}))
	other.Apply(source.Since(other.Progress()), time.Now())
	poll.WaitOn(t, otherMirror.hasEntries(map[string]string{"a/1": "x1", "a/2": "y1"}))
	direct.closed.Store(false)
	other.Invalidate()
	poll.WaitOn(t, otherMirror.hasEntries(map[string]string{"a/1": "x2", "a/2": "y1"}))
}
