package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/claim"
	"rockcleat/clock"
	"rockcleat/internal/config"
	"rockcleat/internal/planner"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/lease"
)

// Timeouts and limits of claims.
const (
	// claimTimeout bounds one claim, one write of a shard's records and one lease operation.
	claimTimeout = 2 * time.Second
	// ownerCacheTime is the minimum age of a cached owner before a retry reads the lease again.
	ownerCacheTime = 500 * time.Millisecond
	// maxOwnerCalls is the maximum number of calls per claim. The second one covers a change of the
	// owner.
	maxOwnerCalls = 2
	// leaseRenewalsPerTTL is the number of lease renewals per TTL.
	leaseRenewalsPerTTL = 3
	// claimContenders is the number of entries that contend for one shard: its owner and a standby.
	claimContenders = 2
)

// claimsOptions are the dependencies and settings of claims.
type claimsOptions struct {
	// ctx is canceled when the entry stops, after its last request.
	ctx context.Context
	// id is the entry's id, addr the address of its control listener.
	id, addr string
	settings config.Claims
	store    kv.Store
	clock    clock.Service
	log      *zap.Logger
	peers    *wire.Client
	members  *members
}

// claims manages the claim records of requests that must not run twice. It holds the shards that
// this entry owns and calls the owners of the others.
type claims struct {
	claimsOptions
	shards      []*claim.Shard
	holders     []*lease.Holder
	unsubscribe []func()

	mu     sync.Mutex
	owners map[int]cachedOwner
}

// newClaims returns claims that own no shard until start. Each shard's write interval is set so
// that all shards together stay within the configured write rate.
func newClaims(o claimsOptions) *claims {
	s := o.settings
	c := &claims{claimsOptions: o, owners: make(map[int]cachedOwner)}
	flushInterval := time.Duration(float64(s.Shards) / s.WritesPerSecond * float64(time.Second))
	for i := range s.Shards {
		h := lease.New(o.store, o.clock, lease.Options{
			Name: leaseName(i), Holder: o.id, Addr: o.addr, TTL: s.LeaseTTL.Std(),
		})
		c.holders = append(c.holders, h)
		c.shards = append(c.shards, claim.NewShard(o.store, o.clock, claim.Options{
			Index: i, Owner: o.id, Retention: s.Retention.Std(), FlushInterval: flushInterval,
			HoldsLease: func() bool { _, held := h.Held(); return held },
		}))
	}
	return c
}

func leaseName(shard int) string { return fmt.Sprintf("claim/%d", shard) }

// start starts the lease renewal and one goroutine per shard, so that a slow write delays no other
// shard.
func (c *claims) start() {
	interval := c.settings.LeaseTTL.Std() / leaseRenewalsPerTTL
	c.unsubscribe = append(c.unsubscribe, c.clock.Subscribe(interval, func(time.Time) { c.stepLeases() }))
	for i := range c.shards {
		go c.runShard(i)
	}
	go c.stepLeases()
}

// runShard writes the records of shard i whenever some are pending, within the shard's share of the
// write rate.
func (c *claims) runShard(i int) {
	for {
		select {
		case <-c.shards[i].Wake():
		case <-c.ctx.Done():
			return
		}
		clock.Sleep(c.ctx, c.clock, c.shards[i].FlushDelay())
		c.flush(i)
	}
}

// flush writes the pending records of shard i if this entry owns it.
func (c *claims) flush(i int) {
	if !c.shards[i].IsOpen() {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	if err := c.shards[i].Flush(ctx); err != nil {
		c.log.Warn("writing claim records failed", zap.Int("shard", i), zap.Error(err))
	}
}

// stepLeases renews the leases held and contends for those that this entry is ranked for. It opens
// or closes each shard accordingly.
func (c *claims) stepLeases() {
	entries := c.members.Entries()
	for i, h := range c.holders {
		_, held := h.Held()
		if !held && planner.Rank(c.id, entries, leaseName(i)) >= claimContenders {
			continue
		}
		c.stepLease(i, h)
	}
}

// stepLease renews or contends for the lease of shard i and opens or closes the shard accordingly.
// A shard is closed as soon as its lease may have expired, since with two owners a request could
// run twice. The planner, in contrast, keeps a cell until another entry can hold its lease, because
// agents compare fencing tokens.
func (c *claims) stepLease(i int, h *lease.Holder) {
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	before, _ := h.Held()
	if err := h.AcquireOrRenew(ctx); err != nil {
		c.log.Debug("renewing or acquiring a claim lease failed", zap.Int("shard", i), zap.Error(err))
	}
	token, held := h.Held()
	switch {
	case !held:
		c.shards[i].Close()
	case token != before || !c.shards[i].IsOpen():
		if err := c.shards[i].Open(ctx); err != nil {
			c.log.Warn("opening a claim shard failed", zap.Int("shard", i), zap.Error(err))
		}
	}
}

// stop writes the pending records and releases the leases.
func (c *claims) stop(ctx context.Context) {
	for _, stop := range c.unsubscribe {
		stop()
	}
	for i, h := range c.holders {
		c.flush(i)
		c.shards[i].Close()
		if err := h.Release(ctx); err != nil {
			c.log.Warn("releasing a claim lease failed", zap.String("lease", h.Name()), zap.Error(err))
		}
	}
}
