package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/claim"
	"rockcleat/clock/clocktest"
	"rockcleat/internal/standin"
	"rockcleat/internal/standin/standintest"
	"rockcleat/kv"
)

// owner is a process that owns a shard.
type owner struct {
	*claim.Shard
	holdsLease bool
}

func newOwner(t *testing.T, store kv.Store, name string) *owner {
	t.Helper()
	o := &owner{holdsLease: true}
	o.Shard = claim.NewShard(store, clocktest.Real{}, claim.Options{
		Owner: name, Retention: time.Minute, HoldsLease: func() bool { return o.holdsLease },
	})
	return o
}

// run opens the shard and writes its records in the background until the test ends.
func (o *owner) run(t *testing.T) *owner {
	t.Helper()
	assert.NilError(t, o.Open(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	stop := clocktest.Real{}.Subscribe(time.Millisecond, func(time.Time) { _ = o.Flush(ctx) })
	t.Cleanup(func() {
		cancel()
		stop()
	})
	return o
}

func mustClaim(t *testing.T, s *claim.Shard, key, attempt string, wantClaimed bool) claim.Record {
	t.Helper()
	r, claimed, err := s.Claim(context.Background(), key, 1, attempt)
	assert.NilError(t, err)
	assert.Equal(t, claimed, wantClaimed)
	return r
}

func TestClaimStates(t *testing.T) {
	tests := map[string]struct {
		between func(*claim.Shard)
		fresh   bool
		state   claim.State
	}{
		"in progress": {func(*claim.Shard) {}, false, claim.StateClaimed},
		"answered": {func(s *claim.Shard) {
			s.Finish("k", "one", claim.Response{Status: 200, Body: []byte("x"), Complete: true})
		}, false, claim.StateDone},
		"not run":                 {func(s *claim.Shard) { s.Release("k", "one") }, true, claim.StateClaimed},
		"released by another":     {func(s *claim.Shard) { s.Release("k", "other") }, false, claim.StateClaimed},
		"released after answered": {func(s *claim.Shard) { s.Finish("k", "one", claim.Response{}); s.Release("k", "one") }, false, claim.StateDone},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, store := standintest.KV(t)
			o := newOwner(t, store, "a").run(t)
			mustClaim(t, o.Shard, "k", "one", true)
			tc.between(o.Shard)
			r := mustClaim(t, o.Shard, "k", "two", tc.fresh)
			assert.Equal(t, r.State, tc.state)
		})
	}
}

// TestNextOwner guards against claims lost in a change of the owner, and against claims that the
// previous owner accepts afterwards.
func TestNextOwner(t *testing.T) {
	_, store := standintest.KV(t)
	a := newOwner(t, store, "a").run(t)
	mustClaim(t, a.Shard, "claimed", "one", true)
	mustClaim(t, a.Shard, "done", "one", true)
	a.Finish("done", "one", claim.Response{Status: 201, Body: []byte("paid"), Complete: true})
	mustClaim(t, a.Shard, "flush", "one", true)
	b := newOwner(t, store, "b").run(t)
	assert.Equal(t, mustClaim(t, b.Shard, "claimed", "two", false).State, claim.StateClaimed)
	r := mustClaim(t, b.Shard, "done", "two", false)
	assert.Equal(t, string(r.Response.Body), "paid")
	_, claimed, err := a.Claim(context.Background(), "new", 1, "one")
	assert.ErrorIs(t, err, claim.ErrNotOwner)
	assert.Assert(t, !claimed)
	mustClaim(t, b.Shard, "new", "two", true)
}

// TestOwnerWithExpiredLease checks that an owner whose lease has expired records no claim.
func TestOwnerWithExpiredLease(t *testing.T) {
	_, store := standintest.KV(t)
	a := newOwner(t, store, "a")
	assert.NilError(t, a.Open(context.Background()))
	a.holdsLease = false
	result := make(chan error, 1)
	go func() {
		_, _, err := a.Claim(context.Background(), "k", 1, "one")
		result <- err
	}()
	for len(result) == 0 {
		_ = a.Flush(context.Background())
	}
	assert.ErrorIs(t, <-result, claim.ErrNotOwner)
}

// TestLostAnswers guards against a key that is claimed twice, or not at all, because the response of a
// successful write was lost.
func TestLostAnswers(t *testing.T) {
	s, store := standintest.KV(t)
	o := newOwner(t, store, "a").run(t)
	s.SetFaults(standin.Faults{LoseResponses: 3})
	for i := range 10 {
		mustClaim(t, o.Shard, fmt.Sprint(i), "one", true)
		mustClaim(t, o.Shard, fmt.Sprint(i), "two", false)
	}
}

func TestClaimsFailDuringOutage(t *testing.T) {
	s, store := standintest.KV(t)
	o := newOwner(t, store, "a").run(t)
	s.SetFaults(standin.Faults{Outage: true})
	_, claimed, err := o.Claim(context.Background(), "k", 1, "one")
	assert.ErrorIs(t, err, claim.ErrNotRecorded)
	assert.Assert(t, !claimed)
	s.SetFaults(standin.Faults{})
	mustClaim(t, o.Shard, "k", "two", true)
}

// TestRace guards against two concurrent attempts that both claim a key.
func TestRace(t *testing.T) {
	_, store := standintest.KV(t)
	o := newOwner(t, store, "a").run(t)
	var mu sync.Mutex
	successes := make(map[string]int)
	var wg sync.WaitGroup
	for attempt := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range 20 {
				key := fmt.Sprint(k)
				_, claimed, err := o.Claim(context.Background(), key, 1, fmt.Sprint(attempt))
				if err == nil && claimed {
					mu.Lock()
					successes[key]++
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, len(successes), 20)
	for key, n := range successes {
		assert.Equal(t, n, 1, key)
	}
}

// TestClaimsAreBatched checks that concurrent claims are written in batches.
func TestClaimsAreBatched(t *testing.T) {
	s, store := standintest.KV(t)
	o := newOwner(t, store, "a")
	assert.NilError(t, o.Open(context.Background()))
	before := s.Stats().Writes
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _, err := o.Claim(context.Background(), fmt.Sprint(i), 1, "one")
			assert.Check(t, err)
		}()
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(5 * time.Millisecond):
			assert.NilError(t, o.Flush(context.Background()))
		}
	}
	writes := s.Stats().Writes - before
	assert.Assert(t, writes <= 50, "100 claims took %d writes", writes)
}

// TestOpenTwice checks that a claim that waits while its shard is opened again is not confirmed, since its record is
// not written.
func TestOpenTwice(t *testing.T) {
	_, store := standintest.KV(t)
	o := newOwner(t, store, "a")
	ctx := context.Background()
	assert.NilError(t, o.Open(ctx))
	outcome := make(chan error, 1)
	go func() {
		_, _, err := o.Claim(ctx, "k", 1, "one")
		outcome <- err
	}()
	<-o.Wake()
	assert.NilError(t, o.Open(ctx))
	assert.NilError(t, o.Flush(ctx))
	assert.ErrorIs(t, <-outcome, claim.ErrNotOwner)
}
