package lease_test

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
	"rockcleat/lease"
)

// shortTTL keeps takeovers short.
const shortTTL = 300 * time.Millisecond

func contender(s kv.Store, name string) *lease.Holder {
	return lease.New(s, clocktest.Real{}, lease.Options{Name: "role", Holder: name, Addr: name, TTL: shortTTL})
}

func holds(h *lease.Holder, want bool) poll.Check {
	return func(poll.LogT) poll.Result {
		if held(h) == want {
			return poll.Success()
		}
		return poll.Continue("held is %v", !want)
	}
}

func TestCampaign(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clocktest.Real{})
	a, b := contender(store, "a"), contender(store, "b")
	first, endFirst := context.WithCancel(ctx)
	go a.Campaign(first, store)
	poll.WaitOn(t, holds(a, true))
	assert.Assert(t, !a.HasSeenOther())
	go b.Campaign(ctx, store)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.OtherHolder().Holder == "a" {
			return poll.Success()
		}
		return poll.Continue("b has not seen a")
	})
	endFirst()
	poll.WaitOn(t, holds(a, false))
	// The store expires leases only during calls.
	_, _ = store.Get(ctx, "x")
	poll.WaitOn(t, holds(b, true))
	assert.Assert(t, b.HasSeenOther())
	before, _ := a.Held()
	after, _ := b.Held()
	assert.Assert(t, after > before, "token %d after %d", after, before)
}

func TestCampaignDuringOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clocktest.Real{})
	store.Fail(func(string) error { return kv.ErrUnavailable })
	a := contender(store, "a")
	go a.Campaign(ctx, store)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if store.Calls("list") > 1 {
			return poll.Success()
		}
		return poll.Continue("%d lists", store.Calls("list"))
	})
	assert.Assert(t, !held(a))
	store.Fail(nil)
	poll.WaitOn(t, holds(a, true))
	store.Fail(func(string) error { return kv.ErrUnavailable })
	poll.WaitOn(t, holds(a, false))
}

// TestCampaignRetriesAfterConflict guards against a campaign that stops for good: the service
// refuses the record of a free lease, and no event follows.
func TestCampaignRetriesAfterConflict(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clocktest.Real{})
	store.Fail(func(call string) error {
		if call == "put" {
			return kv.ErrConflict
		}
		return nil
	})
	a := contender(store, "a")
	go a.Campaign(ctx, store)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if store.Calls("put") > 0 {
			return poll.Success()
		}
		return poll.Continue("nothing is refused yet")
	})
	store.Fail(nil)
	poll.WaitOn(t, holds(a, true))
}

func TestCampaignSurvivesCompaction(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kvtest.New(clocktest.Real{})
	a, b := contender(store, "a"), contender(store, "b")
	go a.Campaign(ctx, store)
	poll.WaitOn(t, holds(a, true))
	go b.Campaign(ctx, store)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.OtherHolder().Holder == "a" {
			return poll.Success()
		}
		return poll.Continue("b has not seen a")
	})
	watches := store.Calls("watch")
	for range 3 {
		store.Set("elsewhere", []byte("x"))
		store.Compact()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if store.Calls("keep") > 3 {
			return poll.Success()
		}
		return poll.Continue("%d renewals", store.Calls("keep"))
	})
	// Each compaction costs each campaign at most one list and one watch.
	assert.Assert(t, store.Calls("watch")-watches <= 8, "%d watches", store.Calls("watch")-watches)
}

// grantCounter counts the leases that are requested.
type grantCounter struct {
	kv.Store
	grants atomic.Int64
}

// Grant implements kv.Store.
func (s *grantCounter) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.grants.Add(1)
	return s.Store.Grant(ctx, ttl)
}

// TestCampaignDelay checks that processes with a Delay request no lease if another process
// has acquired it in that time, and acquire it otherwise.
func TestCampaignDelay(t *testing.T) {
	const delay = 500 * time.Millisecond
	delayed := func(s kv.Store, name string) *lease.Holder {
		return lease.New(s, clocktest.Real{}, lease.Options{
			Name: "role", Holder: name, TTL: shortTTL, Delay: func() time.Duration { return delay },
		})
	}
	t.Run("taken by another", func(t *testing.T) {
		store := kvtest.New(clocktest.Real{})
		counted := &grantCounter{Store: store}
		holders := make([]*lease.Holder, 5)
		for i := range holders {
			holders[i] = delayed(counted, fmt.Sprint("patient", i))
			go holders[i].Campaign(t.Context(), store)
		}
		first := contender(store, "first")
		go first.Campaign(t.Context(), store)
		poll.WaitOn(t, holds(first, true))
		for _, h := range holders {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if h.OtherHolder().Holder != "first" {
					return poll.Continue("the holder is not known")
				}
				return poll.Success()
			})
		}
		clock.Sleep(t.Context(), clocktest.Real{}, 2*delay)
		assert.Equal(t, counted.grants.Load(), int64(0))
	})
	t.Run("taken by nobody", func(t *testing.T) {
		store := kvtest.New(clocktest.Real{})
		h := delayed(store, "patient")
		go h.Campaign(t.Context(), store)
		poll.WaitOn(t, holds(h, true))
	})
}
