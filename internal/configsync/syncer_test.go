package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestVersionsReachEveryGateway checks the path by which a version reaches the gateways under partial
// failures, and that no other path is used.
func TestVersionsReachEveryGateway(t *testing.T) {
	tests := map[string]func(f *fleet){
		"through the leader, as a patch, without a read of the store": func(f *fleet) {
			follower := f.members[1]
			before := follower.lists.Load() + follower.watches.Load()
			patches, received := follower.patches.Load(), follower.received.Load()
			f.write(2)
			f.wait(settleTime)
			f.checkVersion(2)
			assert.Equal(f.t, follower.patches.Load(), patches+1)
			received = follower.received.Load() - received
			assert.Assert(f.t, received > 0 && received < 200, "%d bytes reported", received)
			assert.Equal(f.t, follower.lists.Load()+follower.watches.Load(), before)
		},
		"through the leader when the history was forgotten": func(f *fleet) {
			follower := f.members[1]
			before := follower.lists.Load() + follower.watches.Load()
			f.write(2)
			f.store.Compact()
			f.wait(settleTime)
			f.checkVersion(2)
			assert.Equal(f.t, follower.lists.Load()+follower.watches.Load(), before)
		},
		"a row of versions": func(f *fleet) {
			for v := 2; v < 20; v++ {
				f.write(v)
				f.wait(30 * time.Millisecond)
			}
			f.wait(settleTime)
			f.checkVersion(19)
		},
		"from the store when nobody leads": func(f *fleet) {
			f.leader.Store(noLeader)
			f.wait(maxAge)
			lists := f.members[1].lists.Load()
			f.write(2)
			f.wait(settleTime)
			f.checkVersion(2)
			assert.Equal(f.t, f.members[1].lists.Load(), lists, "it goes on from where the leader's news ended")
		},
		"from the store when nobody leads and the history was forgotten": func(f *fleet) {
			// Member 0 keeps reporting a compacted revision, because it cannot reach the store.
			f.members[0].noStore.Store(true)
			f.leader.Store(noLeader)
			f.write(2)
			f.store.Compact()
			f.wait(maxAge + 2*settleTime)
			f.checkVersion(2)
		},
		"from a gateway when the leader does not reach the store": func(f *fleet) {
			patches := f.members[0].patches.Load()
			f.members[0].noStore.Store(true)
			f.write(2)
			f.wait(maxAge + settleTime)
			f.checkVersion(2)
			assert.Equal(f.t, f.members[0].patches.Load(), patches+1)
		},
		"from the store when the leader cannot be asked": func(f *fleet) {
			f.members[1].noPeers.Store(true)
			f.write(2)
			f.wait(settleTime)
			f.checkVersion(2)
			f.write(3)
			f.wait(settleTime)
			f.checkVersion(3)
		},
		"through the leader when the store is down and the first fetch failed": func(f *fleet) {
			f.members[1].noStore.Store(true)
			f.members[1].noPeers.Store(true)
			f.write(2)
			f.wait(settleTime)
			f.members[1].noPeers.Store(false)
			f.wait(2 * settleTime)
			f.checkVersion(2)
		},
		"through the leader when the store takes long": func(f *fleet) {
			f.members[0].noStore.Store(true)
			f.members[1].readTime.Store(int64(time.Minute))
			f.members[2].readTime.Store(int64(time.Minute))
			f.leader.Store(noLeader)
			f.wait(maxAge)
			f.write(2)
			f.wait(settleTime)
			f.checkVersion(1)
			f.members[0].noStore.Store(false)
			f.leader.Store(0)
			f.wait(2 * settleTime)
			f.checkVersion(2)
		},
		"from the next leader": func(f *fleet) {
			f.leader.Store(2)
			f.members[2].syncer.Recheck()
			f.write(2)
			f.wait(settleTime)
			f.checkVersion(2)
		},
		"after one that cannot be decoded": func(f *fleet) {
			f.store.Set(testKey, []byte("not a version\n"))
			f.wait(settleTime)
			f.checkVersion(1)
			f.write(3)
			f.wait(settleTime)
			f.checkVersion(3)
		},
		"to a gateway that joins": func(f *fleet) {
			f.write(2)
			joined := f.join(true)
			f.wait(settleTime)
			f.checkVersion(2)
			assert.Equal(f.t, joined.fullTransfers.Load(), int64(1))
		},
		"to a gateway that is many versions behind": func(f *fleet) {
			fullTransfers := f.members[1].fullTransfers.Load()
			f.leader.Store(noLeader)
			f.members[1].noStore.Store(true)
			f.members[1].noPeers.Store(true)
			for v := 2; v < 9; v++ {
				f.write(v)
				f.wait(settleTime)
			}
			f.members[1].noPeers.Store(false)
			f.leader.Store(0)
			f.wait(3 * settleTime)
			f.checkVersion(8)
			assert.Equal(f.t, f.members[1].fullTransfers.Load(), fullTransfers+1)
		},
		"to a gateway that holds other bytes of a version": func(f *fleet) {
			fullTransfers := f.members[1].fullTransfers.Load()
			h := &f.members[1].syncer.history
			h.mu.Lock()
			h.versions[0].value = []byte("1\nother bytes")
			h.mu.Unlock()
			f.write(2)
			f.wait(settleTime)
			f.checkVersion(2)
			assert.Equal(f.t, f.members[1].fullTransfers.Load(), fullTransfers+1)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				f.checkVersion(1)
				test(f)
			})
		})
	}
}

// TestStoreWatchedWhenNewsIsOld checks that a gateway watches the store itself while the leader's news is too old, and
// not otherwise.
func TestStoreWatchedWhenNewsIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		follower := f.members[1]
		before := follower.watches.Load()
		f.wait(10 * maxAge)
		assert.Equal(t, follower.watches.Load(), before, "the leader's news is fresh")
		f.members[0].noStore.Store(true)
		f.wait(10 * maxAge)
		during := follower.watches.Load()
		assert.Assert(t, during > before, "the leader's news is old")
		f.members[0].noStore.Store(false)
		f.wait(3 * maxAge)
		during = follower.watches.Load()
		f.wait(10 * maxAge)
		assert.Equal(t, follower.watches.Load(), during, "it is fresh again")
	})
}

// TestOutdatedGatewayReportsUnknownAge checks that a gateway that knows of a newer version than it holds does
// not report its own as the newest.
func TestOutdatedGatewayReportsUnknownAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		leader := f.members[0].syncer
		assert.Assert(t, leader.News().AgeMs <= maxAge.Milliseconds())
		f.members[0].noPeers.Store(true)
		f.members[0].noStore.Store(true)
		leader.HeardVersion(7, "1")
		news := leader.News()
		assert.Equal(t, news.Version, uint64(1))
		assert.Equal(t, int64(news.Revision), int64(0))
		assert.Equal(t, news.AgeMs, unknownAge.Milliseconds())
	})
}
