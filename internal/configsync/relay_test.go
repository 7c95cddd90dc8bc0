package configsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/kv/kvtest"
)

// TestStoreReadsWithoutLeader checks that only the relays read the store while there is no leader, so that the number
// of calls does not grow with the fleet.
func TestStoreReadsWithoutLeader(t *testing.T) {
	const without = 6 * time.Second
	calls := make(map[int]int64)
	sizes := []int{24, 103, 356}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size, " gateways"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTree(t, size)
				before := f.storeCalls()
				f.leader.Store(noLeader)
				f.wait(without)
				calls[size] = f.storeCalls() - before
			})
		})
	}
	t.Logf("calls in %v without a leader: %v", without, calls)
	assert.Equal(t, calls[sizes[2]], calls[sizes[0]])
}

// storeCalls returns the number of calls to the store.
func (f *fleet) storeCalls() (sum int64) {
	for _, m := range f.members {
		sum += m.lists.Load() + m.watches.Load()
	}
	return sum
}

// TestNewLeaderReadsAtOnce checks that a gateway that becomes the leader while it watches the store for itself does not
// finish that watch, during which the others would learn nothing.
func TestNewLeaderReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTree(t, 24)
		f.leader.Store(noLeader)
		last := f.members[len(f.members)-1]
		f.members[1+(len(f.members)-1)%relays].noStore.Store(true)
		f.wait(maxAge + maxAge/2)
		f.leader.Store(int64(len(f.members) - 1))
		last.syncer.Recheck()
		f.wait(maxAge / 2)
		assert.Assert(t, time.Duration(last.syncer.Announcement().AgeMs)*time.Millisecond < maxAge/2)
	})
}

// TestStartWithoutConfiguration checks that gateways that start before there is a configuration do not read the store
// if the leader has, and get the first version from it.
func TestStartWithoutConfiguration(t *testing.T) {
	for _, size := range []int{24, 356} {
		t.Run(fmt.Sprint(size, " gateways"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{t: t, store: kvtest.New(clocktest.Real{}), startWait: settleTime}
				f.store.Set("other", nil)
				f.startWithoutConfig(size)
				f.wait(2 * maxAge)
				for _, m := range f.members[1:] {
					assert.Equal(t, m.lists.Load()+m.watches.Load(), int64(0), "gateway %s", m.addr)
				}
				f.write(1)
				f.wait(settleTime)
				f.checkVersion(1)
			})
		})
	}
}
