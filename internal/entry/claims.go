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

// Times and counts of claims.
const (
	// claimTimeout bounds one claim, one write of records and one step of a lease.
	claimTimeout = 2 * time.Second
	// ownerMemory is how long an owner just read from the store is not read again.
	ownerMemory = 500 * time.Millisecond
	// ownerTries is how many owners are called for one claim: a shard may change hands once.
	ownerTries = 2
	// claimLeasePart divides the lease's length into the time between two renewals.
	claimLeasePart = 3
	// claimContenders is the number of entries that contend for one shard: its owner and
	// one to take over.
	claimContenders = 2
)

// claimsOptions are what claims are made of.
type claimsOptions struct {
	// ctx ends with the entry, after its last request.
	ctx context.Context
	// id is the entry's, addr that of its control listener.
	id, addr string
	settings config.Claims
	store    kv.Store
	clock    clock.Service
	log      *zap.Logger
	peers    *wire.Client
	members  *members
}

// claims is the entry's side of the records of requests that may not be
// repeated: the shards that it owns and the way to those that others own.
type claims struct {
	claimsOptions
	shards  []*claim.Shard
	holders []*lease.Holder
	stops   []func()

	mu     sync.Mutex
	owners map[int]ownerRecord
}

// newClaims returns claims that own no shard until start. All shards together write no more
// often than the settings allow.
func newClaims(o claimsOptions) *claims {
	s := o.settings
	c := &claims{claimsOptions: o, owners: make(map[int]ownerRecord)}
	flush := time.Duration(float64(s.Shards) / s.WritesPerSecond * float64(time.Second))
	for i := range s.Shards {
		h := lease.New(o.store, o.clock, lease.Options{
			Name: leaseName(i), Holder: o.id, Addr: o.addr, TTL: s.LeaseTTL.Std(),
		})
		c.holders = append(c.holders, h)
		c.shards = append(c.shards, claim.NewShard(o.store, o.clock, claim.Options{
			Index: i, Owner: o.id, Retention: s.Retention.Std(), FlushEvery: flush,
			Held: func() bool { _, held := h.Held(); return held },
		}))
	}
	return c
}

// leaseName is the name of a shard's lease.
func leaseName(shard int) string { return fmt.Sprintf("claim/%d", shard) }

// start starts a goroutine for each shard, so that a slow write of one holds up
// no other.
func (c *claims) start() {
	every := c.settings.LeaseTTL.Std() / claimLeasePart
	c.stops = append(c.stops, c.clock.Subscribe(every, func(time.Time) { c.stepLeases() }))
	for i := range c.shards {
		go c.run(i)
	}
	go c.stepLeases()
}

// run writes the shard's records when there are some, no more often than the
// shard's part of the write rate allows.
func (c *claims) run(i int) {
	for {
		select {
		case <-c.shards[i].Wake():
		case <-c.ctx.Done():
			return
		}
		clock.Sleep(c.ctx, c.clock, c.shards[i].Due())
		c.flush(i)
	}
}

// flush writes the records of a shard that is owned.
func (c *claims) flush(i int) {
	if !c.shards[i].IsOpen() {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	if err := c.shards[i].Step(ctx); err != nil {
		c.log.Warn("claims not recorded", zap.Int("shard", i), zap.Error(err))
	}
}

// stepLeases renews and contends for the shards' leases and opens or closes the
// shards with them.
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

// stepLease renews or contends for a shard's lease and opens or closes the shard with it. A shard
// closes as soon as its lease may have lapsed, since two owners would let one key run twice; a cell
// (package planner) stays until another entry can hold it, since its agents compare tokens.
func (c *claims) stepLease(i int, h *lease.Holder) {
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	before, _ := h.Held()
	if err := h.Step(ctx); err != nil {
		c.log.Debug("claim lease not renewed", zap.Int("shard", i), zap.Error(err))
	}
	token, held := h.Held()
	switch {
	case !held:
		c.shards[i].Close()
	case token != before || !c.shards[i].IsOpen():
		if err := c.shards[i].Open(ctx); err != nil {
			c.log.Warn("claim shard not opened", zap.Int("shard", i), zap.Error(err))
		}
	}
}

// stop writes what is pending and releases the leases.
func (c *claims) stop(ctx context.Context) {
	for _, stop := range c.stops {
		stop()
	}
	for i, h := range c.holders {
		c.flush(i)
		c.shards[i].Close()
		if err := h.Release(ctx); err != nil {
			c.log.Warn("lease not given back", zap.String("lease", h.Name()), zap.Error(err))
		}
	}
}
