package kv_test

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
)

// A mirror is a Follower that keeps the entries and counts the calls.
type mirror struct {
	mu          sync.Mutex
	entries     map[string]string
	unreachable int
	reachable   int
}

func (m *mirror) Replace(entries []kv.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = make(map[string]string)
	for _, e := range entries {
		m.entries[e.Key] = string(e.Value)
	}
}

func (m *mirror) Apply(events []kv.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(m.entries, e.Entry.Key)
			continue
		}
		m.entries[e.Entry.Key] = string(e.Entry.Value)
	}
}

func (m *mirror) Unreachable(error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable++
}

func (m *mirror) Reachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reachable++
}

func (m *mirror) hasEntries(want map[string]string) poll.Check {
	return func(poll.LogT) poll.Result {
		m.mu.Lock()
		defer m.mu.Unlock()
		if maps.Equal(m.entries, want) {
			return poll.Success()
		}
		return poll.Continue("have %v, want %v", m.entries, want)
	}
}

func (m *mirror) unreachableCalls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable
}

func TestFollow(t *testing.T) {
	type fixture struct {
		store *kvtest.Store
		m     *mirror
	}
	tests := map[string]struct {
		trouble func(t *testing.T, f fixture)
		want    map[string]string
	}{
		"changes": {
			trouble: func(_ *testing.T, f fixture) { f.store.Set("a/1", []byte("new")); f.store.Remove("a/2") },
			want:    map[string]string{"a/1": "new"},
		},
		"other prefixes": {
			trouble: func(_ *testing.T, f fixture) { f.store.Set("b/1", []byte("x")) },
			want:    map[string]string{"a/1": "1", "a/2": "2"},
		},
		"changes in a history that is forgotten": {
			trouble: func(t *testing.T, f fixture) {
				f.store.Fail(func(string) error { return kv.ErrUnavailable })
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if f.m.unreachableCalls() > 0 {
						return poll.Success()
					}
					return poll.Continue("not lost yet")
				})
				f.store.Set("a/1", []byte("new"))
				f.store.Remove("a/2")
				f.store.Compact()
				f.store.Fail(nil)
			},
			want: map[string]string{"a/1": "new"},
		},
		"a refusal of each call for a while": {
			trouble: func(t *testing.T, f fixture) {
				f.store.Fail(func(string) error { return kv.ErrRateLimited })
				f.store.Set("a/3", []byte("3"))
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if f.m.unreachableCalls() > 1 {
						return poll.Success()
					}
					return poll.Continue("%d losses", f.m.unreachableCalls())
				})
				f.store.Fail(nil)
			},
			want: map[string]string{"a/1": "1", "a/2": "2", "a/3": "3"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := fixture{store: kvtest.New(clocktest.Real{}), m: &mirror{}}
			f.store.Set("a/1", []byte("1"))
			f.store.Set("a/2", []byte("2"))
			go kv.Follow(ctx, kv.FollowOptions{
				Store: f.store, Prefix: "a/", WatchTimeout: time.Minute, Clock: clocktest.Real{}, Follower: f.m,
			})
			poll.WaitOn(t, f.m.hasEntries(map[string]string{"a/1": "1", "a/2": "2"}))
			test.trouble(t, f)
			poll.WaitOn(t, f.m.hasEntries(test.want))
		})
	}
}

func TestFollowCallCount(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clocktest.Real{})
	store.Set("a/1", []byte("1"))
	m := &mirror{}
	go kv.Follow(ctx, kv.FollowOptions{
		Store: store, Prefix: "a/", WatchTimeout: time.Minute, Clock: clocktest.Real{}, Follower: m,
	})
	poll.WaitOn(t, m.hasEntries(map[string]string{"a/1": "1"}))
	for range 50 {
		// Writes under other prefixes advance the history beyond the followed key's revision.
		store.Set("b/1", []byte("x"))
	}
	store.Compact()
	store.Set("a/1", []byte("2"))
	poll.WaitOn(t, m.hasEntries(map[string]string{"a/1": "2"}))
	assert.Assert(t, store.Calls("list") <= 2, "%d lists", store.Calls("list"))
	assert.Assert(t, store.Calls("watch") <= 4, "%d watches", store.Calls("watch"))
	assert.Assert(t, !errors.Is(ctx.Err(), context.Canceled))
}

func (m *mirror) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.entries[key]
	return ok
}
