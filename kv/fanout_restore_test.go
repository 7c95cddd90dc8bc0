package kv_test

import (
	"hash/crc32"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
)

// A fanoutMember is one process with its view of a service.
type fanoutMember struct {
	*kv.Fanout
	view kv.PrefixStore
	at   kv.Revision
}

// newFanoutMember returns a process whose digest of an entry is that of its value.
func newFanoutMember(store *kvtest.Store, isWatcher bool) *fanoutMember {
	f := kv.NewFanout(kv.FanoutOptions{
		Clock: clocktest.Real{}, MaxAge: time.Second, IsWatcher: func() bool { return isWatcher },
		Digest:          func(_ string, e kv.Entry) uint64 { return uint64(crc32.ChecksumIEEE(e.Value)) },
		PeriodicWriters: func(string) kv.PeriodicWriters { return counterWriters{} },
	})
	return &fanoutMember{Fanout: f, view: f.View(store, false)}
}

// list lists the prefix and returns the value of each key.
func (m *fanoutMember) list(t *testing.T) map[string]string {
	t.Helper()
	entries, at, err := m.view.ListPrefix(t.Context(), "s/")
	assert.NilError(t, err)
	m.at = at
	values := make(map[string]string)
	for _, e := range entries {
		values[e.Key] = string(e.Value)
	}
	return values
}

// follow returns the changes that a watch finds, or those of a list if the watch asks for one.
func (m *fanoutMember) follow(t *testing.T) map[string]string {
	t.Helper()
	events, at, err := m.view.WatchPrefix(t.Context(), "s/", m.at, 100*time.Millisecond)
	if err != nil {
		assert.ErrorIs(t, err, kv.ErrCompacted)
		return m.list(t)
	}
	m.at = at
	values := make(map[string]string)
	for _, e := range events {
		values[e.Entry.Key] = string(e.Entry.Value)
	}
	return values
}

// forwardTo sends another process what it lacks.
func (m *fanoutMember) forwardTo(other *fanoutMember) {
	other.Apply(m.Since(other.Progress()), time.Now())
}

// TestFanoutForwardsEntryRewrittenAfterRestore guards against an outdated entry of a backup that a process keeps which
// listed the service after the restore: the writer's next write does not differ from what the other processes know.
func TestFanoutForwardsEntryRewrittenAfterRestore(t *testing.T) {
	tests := map[string]struct{ throughRelay bool }{
		"from the watcher": {},
		"from a relay":     {throughRelay: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kvtest.New(clocktest.Real{})
				store.Set("s/a", []byte("1"))
				backup := store.Backup()
				store.Set("s/a", []byte("2"))
				watcher, relay, late := newFanoutMember(store, true), newFanoutMember(store, false), newFanoutMember(store, false)
				watcher.list(t)
				relay.list(t)
				store.Restore(backup)
				assert.DeepEqual(t, watcher.follow(t), map[string]string{"s/a": "2"})
				watcher.forwardTo(relay)
				assert.DeepEqual(t, late.list(t), map[string]string{"s/a": "1"})

				store.Set("s/a", []byte("2"))
				watcher.follow(t)
				if test.throughRelay {
					watcher.forwardTo(relay)
					relay.forwardTo(late)
				} else {
					watcher.forwardTo(late)
				}
				assert.DeepEqual(t, late.follow(t), map[string]string{"s/a": "2"})
			})
		})
	}
}

// TestFanoutWholePrefixReplacesEntryOfBackup guards against an outdated entry of a backup that a process keeps although
// another one has sent it the whole prefix.
func TestFanoutWholePrefixReplacesEntryOfBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New(clocktest.Real{})
		store.Set("s/a", []byte("1"))
		backup := store.Backup()
		store.Set("s/a", []byte("2"))
		store.Set("s/b", []byte("1"))
		watcher, late := newFanoutMember(store, true), newFanoutMember(store, false)
		watcher.list(t)
		store.Restore(backup)
		known := map[string]string{"s/a": "2", "s/b": "1"}
		assert.DeepEqual(t, watcher.follow(t), known)
		assert.DeepEqual(t, late.list(t), map[string]string{"s/a": "1"})
		watcher.forwardTo(late)
		assert.DeepEqual(t, late.follow(t), known)
	})
}

// TestListAgainAfterRestore guards against a process that lists the service once more shortly after a restore, or that
// becomes the watcher then, and uses entries removed before the restore in place of those written since the backup.
func TestListAgainAfterRestore(t *testing.T) {
	tests := map[string]struct{ otherProcess, wholePrefix bool }{
		"same process":                      {},
		"another process, sent changes":     {otherProcess: true},
		"another process, sent all entries": {otherProcess: true, wholePrefix: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kvtest.New(clocktest.Real{})
				store.Set("s/a", []byte("1"))
				store.Set("s/removed", []byte("1"))
				backup := store.Backup()
				store.Set("s/a", []byte("2"))
				store.Set("s/b", []byte("1"))
				store.Remove("s/removed")
				watcher, next := newFanoutMember(store, true), newFanoutMember(store, false)
				watcher.list(t)
				next.list(t)
				store.Restore(backup)
				known := map[string]string{"s/a": "2", "s/b": "1"}
				assert.DeepEqual(t, watcher.follow(t), known)
				if test.wholePrefix {
					whole, ok := watcher.List("s/")
					assert.Assert(t, ok)
					next.Apply(map[string]kv.Batch{"s/": whole}, time.Now())
				} else {
					watcher.forwardTo(next)
				}
				if !test.otherProcess {
					next = watcher
				}

				// Forwarded data is too old by now, so that the list goes to the service.
				time.Sleep(writeInterval / 2)
				store.Set("s/new", []byte("1"))
				known["s/new"] = "1"
				assert.DeepEqual(t, next.list(t), known)
				assert.DeepEqual(t, next.list(t), known)
				time.Sleep(writeInterval/2 + time.Millisecond)
				next.follow(t)
				delete(known, "s/b")
				assert.DeepEqual(t, next.list(t), known)
				store.Set("s/removed", []byte("2"))
				known["s/removed"] = "2"
				assert.DeepEqual(t, next.list(t), known)
			})
		})
	}
}
