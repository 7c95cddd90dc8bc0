package lease_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/internal/standin"
	"rockcleat/internal/standin/standintest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
	"rockcleat/lease"
)

const ttl = 10 * time.Second

func holder(store kv.Store, c clock.Service, name string) *lease.Holder {
	return lease.New(store, c, lease.Options{Name: "role", Holder: name, Addr: name, TTL: ttl})
}

func held(h *lease.Holder) bool {
	_, ok := h.Held()
	return ok
}

func TestOneHolder(t *testing.T) {
	ctx := context.Background()
	_, store := standintest.KV(t)
	c := clocktest.New(time.Now())
	a, b := holder(store, c, "a"), holder(store, c, "b")
	assert.NilError(t, a.Step(ctx))
	assert.NilError(t, b.Step(ctx))
	assert.Assert(t, held(a) && !held(b))
	assert.Equal(t, b.OtherHolder().Holder, "a")
	first, _ := a.Held()
	assert.NilError(t, a.Release(ctx))
	assert.NilError(t, b.Step(ctx))
	second, ok := b.Held()
	assert.Assert(t, ok && second > first)
}

// TestPausedHolder checks that a holder whose clock has passed the TTL no longer counts as holding
// the lease, whatever the service says.
func TestPausedHolder(t *testing.T) {
	_, store := standintest.KV(t)
	c := clocktest.New(time.Now())
	a := holder(store, c, "a")
	assert.NilError(t, a.Step(context.Background()))
	c.Advance(ttl)
	assert.Assert(t, !held(a))
}

// TestLostAnswers drops the first responses of the service: two holders must never hold the lease
// together, and one must acquire it in the end.
func TestLostAnswers(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		ctx := context.Background()
		s, store := standintest.KV(t)
		c := clocktest.New(time.Now())
		a, b := holder(store, c, "a"), holder(store, c, "b")
		s.SetFaults(standin.Faults{LoseAnswers: lost})
		for range 4 {
			_ = a.Step(ctx)
			_ = b.Step(ctx)
			assert.Assert(t, !held(a) || !held(b))
		}
		assert.Assert(t, held(a) || held(b), "%d lost answers", lost)
	}
}

func TestOutage(t *testing.T) {
	s, store := standintest.KV(t)
	c := clocktest.New(time.Now())
	a := holder(store, c, "a")
	assert.NilError(t, a.Step(context.Background()))
	s.SetFaults(standin.Faults{Outage: true})
	assert.ErrorIs(t, a.Step(context.Background()), kv.ErrUnavailable)
	assert.Assert(t, held(a))
}

// TestLeaseOfAnEarlierEra checks that a holder gives up its lease when the service is restored from
// a backup, and that the next token is higher although the count of writes has gone down.
func TestLeaseOfAnEarlierEra(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	store := kvtest.New(c)
	backup := store.Copy()
	for range 60 {
		store.Set("other", nil)
	}
	h := lease.New(store, c, lease.Options{Name: "n", Holder: "a", TTL: time.Second})
	store.OnEra(h.EndEra)
	assert.NilError(t, h.Step(t.Context()))
	first, isHeld := h.Held()
	assert.Assert(t, isHeld)
	h.EndEra(store.Era())
	_, isHeld = h.Held()
	assert.Assert(t, isHeld, "it is of this era")
	store.Restore(backup)
	_, isHeld = h.Held()
	assert.Assert(t, !isHeld, "the service has forgotten it")
	assert.NilError(t, h.Step(t.Context()))
	second, isHeld := h.Held()
	assert.Assert(t, isHeld)
	assert.Assert(t, second > first, "%d after %d", second, first)
	assert.Assert(t, second < 1<<53, "decoders keep it")
}
