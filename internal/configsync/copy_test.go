package configsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoreRestoredFromBackup checks that after the store was restored from a backup with an older version than is in
// force, no gateway returns to that version or takes it for a confirmation of its own, and that later writes
// are applied.
func TestStoreRestoredFromBackup(t *testing.T) {
	tests := map[string]func(f *fleet){
		"the same version is written again": func(f *fleet) { f.write(3) },
		"a newer version is written":        func(f *fleet) { f.write(4) },
		"with nobody who leads": func(f *fleet) {
			f.leader.Store(noLeader)
			f.wait(maxAge)
			f.write(4)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5)
				backup := f.store.Copy()
				f.write(3)
				f.wait(settleTime)
				f.checkVersion(3)
				f.store.Restore(backup)
				restored := time.Now()
				f.wait(2 * maxAge)
				f.checkVersion(3)
				for _, m := range f.members {
					assert.Assert(t, m.syncer.CurrentAt().Before(restored.Add(time.Millisecond)), "%s: %v after, behind %v", m.addr, m.syncer.CurrentAt().Sub(restored), m.syncer.storeOutdated)
				}
				test(f)
				f.wait(maxAge + 2*settleTime)
				f.checkVersion(max(3, f.members[0].version.Load()))
				for _, m := range f.members {
					assert.Assert(t, m.syncer.CurrentAt().After(restored.Add(2*maxAge)), "it is proved again")
				}
			})
		})
	}
}

// TestStartWithRestoredStore checks that a gateway that starts while a restored store shows an older version takes the
// newer one from another gateway, or waits for the operators to rewrite it.
func TestStartWithRestoredStore(t *testing.T) {
	tests := map[string]struct {
		// alone means that no other gateway runs, settled that a leader has written since the restore.
		alone, settled bool
		// version is in force after the time within.
		version uint64
		within  time.Duration
	}{
		"beside others":               {version: 3, within: settleTime},
		"alone":                       {alone: true, version: 1, within: settleTimeout + settleTime},
		"alone, the store is settled": {alone: true, settled: true, version: 1, within: settleTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				backup := f.store.Copy()
				f.write(3)
				f.wait(settleTime)
				f.store.Restore(backup)
				if test.alone {
					f.leader.Store(noLeader)
					f.members = nil
				}
				m := f.join(false)
				m.syncer.opts.IsSettled = func(context.Context, int64) (bool, error) { return test.settled, nil }
				f.wait(test.within / 2)
				assert.Assert(t, test.settled || m.version.Load() != 1, "an older version is in force")
				f.wait(test.within / 2)
				assert.Equal(t, m.version.Load(), test.version)
			})
		})
	}
}
