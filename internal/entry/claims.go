package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/claim"
	"rockcleat/clock"
	"rockcleat/internal/planner"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/lease"
)

// claimContenders is the number of entries that contend for one shard.
const claimContenders = 2

// Times of claims.
const (
	claimTimeout   = 2 * time.Second
	ownerMemory    = 500 * time.Millisecond
	claimLeasePart = 3
)

// errNoOwner tells that no entry owns a shard now.
var errNoOwner = errors.New("entry: no owner of the claim's shard")

// An ownerRecord is the owner of a shard as last read.
type ownerRecord struct {
	addr string
	at   time.Time
}

// claims is the entry's side of the records of requests that may not be
// repeated: the shards that it owns and the way to those that others own.
type claims struct {
	e       *Entry
	shards  []*claim.Shard
	holders []*lease.Holder
	stops   []func()
	wg      sync.WaitGroup

	mu     sync.Mutex
	owners map[int]ownerRecord
}

func newClaims(e *Entry) *claims {
	s := e.settings.Claims
	c := &claims{e: e, owners: make(map[int]ownerRecord)}
	flush := time.Duration(float64(s.Shards) / s.WritesPerSecond * float64(time.Second))
	for i := range s.Shards {
		h := lease.New(e.store, e.clock, lease.Options{
			Name: leaseName(i), Holder: e.settings.ID, Addr: e.settings.ControlListen, TTL: s.LeaseTTL.Std(),
		})
		c.holders = append(c.holders, h)
		c.shards = append(c.shards, claim.NewShard(e.store, e.clock, claim.Options{
			Index: i, Owner: e.settings.ID, Retention: s.Retention.Std(), FlushEvery: flush,
			Held: func() bool { _, held := h.Held(); return held },
		}))
	}
	return c
}

func leaseName(shard int) string { return fmt.Sprintf("claim/%d", shard) }

// start starts a goroutine for each shard, so that a slow write of one holds up
// no other.
func (c *claims) start() {
	every := c.e.settings.Claims.LeaseTTL.Std() / claimLeasePart
	c.stops = append(c.stops, c.e.clock.Subscribe(every, func(time.Time) { c.stepLeases() }))
	for i := range c.shards {
		c.wg.Add(1)
		go c.run(i)
	}
	go c.stepLeases()
}

// run writes the shard's records when there are some, no more often than the
// shard's part of the write rate allows.
func (c *claims) run(i int) {
	defer c.wg.Done()
	for {
		select {
		case <-c.shards[i].Wake():
		case <-c.e.ctx.Done():
			return
		}
		clock.Sleep(c.e.ctx, c.e.clock, c.shards[i].Due())
		c.flush(i)
	}
}

func (c *claims) flush(i int) {
	if !c.shards[i].IsOpen() {
		return
	}
	ctx, cancel := context.WithTimeout(c.e.ctx, claimTimeout)
	defer cancel()
	if err := c.shards[i].Step(ctx); err != nil {
		c.e.log.Warn("claims not recorded", zap.Int("shard", i), zap.Error(err))
	}
}

// stepLeases renews and contends for the shards' leases and opens or closes the
// shards with them.
func (c *claims) stepLeases() {
	entries := c.e.members.Entries()
	for i, h := range c.holders {
		_, held := h.Held()
		if !held && planner.Rank(c.e.settings.ID, entries, leaseName(i)) >= claimContenders {
			continue
		}
		c.stepLease(i, h)
	}
}

func (c *claims) stepLease(i int, h *lease.Holder) {
	ctx, cancel := context.WithTimeout(c.e.ctx, claimTimeout)
	defer cancel()
	before, _ := h.Held()
	if err := h.Step(ctx); err != nil {
		c.e.log.Debug("claim lease not renewed", zap.Int("shard", i), zap.Error(err))
	}
	token, held := h.Held()
	switch {
	case !held:
		c.shards[i].Close()
	case token != before || !c.shards[i].IsOpen():
		if err := c.shards[i].Open(ctx); err != nil {
			c.e.log.Warn("claim shard not opened", zap.Int("shard", i), zap.Error(err))
		}
	}
}

// stop writes what is pending and gives the leases back.
func (c *claims) stop(ctx context.Context) {
	for _, stop := range c.stops {
		stop()
	}
	for i, h := range c.holders {
		c.flush(i)
		c.shards[i].Close()
		if err := h.Release(ctx); err != nil {
			c.e.log.Warn("lease not given back", zap.String("lease", h.Name()), zap.Error(err))
		}
	}
}

func (c *claims) shardOf(key string) int { return claim.ShardOf(key, len(c.shards)) }

// claim asks the owner of the key's shard.
func (c *claims) claim(ctx context.Context, r wire.ClaimRequest) (wire.ClaimAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	i := c.shardOf(r.Key)
	if c.shards[i].IsOpen() {
		return c.claimHere(ctx, i, r)
	}
	var a wire.ClaimAnswer
	err := c.callOwner(ctx, i, wire.PathClaim, r, &a)
	return a, err
}

func (c *claims) claimHere(ctx context.Context, i int, r wire.ClaimRequest) (wire.ClaimAnswer, error) {
	rec, fresh, err := c.shards[i].Claim(ctx, r.Key, r.Fingerprint, r.Attempt)
	return wire.ClaimAnswer{Record: rec, Fresh: fresh}, err
}

// finish records the end of a claimed request. What is lost here leaves the key
// claimed, so that the request is never sent again.
func (c *claims) finish(r wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.e.ctx), claimTimeout)
	defer cancel()
	i := c.shardOf(r.Key)
	if c.shards[i].IsOpen() {
		c.finishHere(i, r)
		return
	}
	if err := c.callOwner(ctx, i, wire.PathClaimFinish, r, nil); err != nil {
		c.e.log.Warn("end of a claimed request not recorded", zap.String("attempt", r.Attempt), zap.Error(err))
	}
}

// finishHere records in memory at once and in the platform's service with the
// shard's next write.
func (c *claims) finishHere(i int, r wire.ClaimRequest) {
	if r.Free || r.Answer == nil {
		c.shards[i].Release(r.Key, r.Attempt)
		return
	}
	c.shards[i].Finish(r.Key, r.Attempt, *r.Answer)
}

// callOwner sends a message to the entry that owns the shard, and once more if
// it has changed hands.
func (c *claims) callOwner(ctx context.Context, i int, path string, in, out any) error {
	for try := range 2 {
		addr, err := c.owner(ctx, i, try > 0)
		if err != nil {
			return err
		}
		err = c.e.peers.Post(ctx, addr, path, in, out)
		if err == nil || !isNotOwner(err) {
			return err
		}
	}
	return errNoOwner
}

// isNotOwner reports whether a call surely had no effect because the callee is
// gone or owns the shard no more.
func isNotOwner(err error) bool {
	var s *wire.StatusError
	return errors.Is(err, wire.ErrNotSent) || errors.As(err, &s) && s.Status == http.StatusMisdirectedRequest
}

// owner returns the address of the shard's owner.
func (c *claims) owner(ctx context.Context, i int, again bool) (string, error) {
	c.mu.Lock()
	o, ok := c.owners[i]
	c.mu.Unlock()
	if ok && (!again || time.Since(o.at) < ownerMemory) {
		return o.addr, nil
	}
	entry, err := c.e.store.Get(ctx, "lease/"+leaseName(i))
	if errors.Is(err, kv.ErrNotFound) {
		return "", errNoOwner
	}
	if err != nil {
		return "", err
	}
	var r lease.Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return "", eris.Wrap(err, "entry: decode lease")
	}
	c.mu.Lock()
	c.owners[i] = ownerRecord{addr: r.Addr, at: time.Now()}
	c.mu.Unlock()
	return r.Addr, nil
}

// serveClaim answers another entry's claim.
func (c *claims) serveClaim(ec echo.Context) error {
	var r wire.ClaimRequest
	if err := ec.Bind(&r); err != nil {
		return err
	}
	i := c.shardOf(r.Key)
	if !c.shards[i].IsOpen() {
		return ec.NoContent(http.StatusMisdirectedRequest)
	}
	a, err := c.claimHere(ec.Request().Context(), i, r)
	if errors.Is(err, claim.ErrNotOwner) {
		return ec.NoContent(http.StatusMisdirectedRequest)
	}
	if err != nil {
		return ec.String(http.StatusServiceUnavailable, err.Error())
	}
	return ec.JSON(http.StatusOK, a)
}

// serveFinish records the end of another entry's claimed request.
func (c *claims) serveFinish(ec echo.Context) error {
	var r wire.ClaimRequest
	if err := ec.Bind(&r); err != nil {
		return err
	}
	i := c.shardOf(r.Key)
	if !c.shards[i].IsOpen() {
		return ec.NoContent(http.StatusMisdirectedRequest)
	}
	c.finishHere(i, r)
	return ec.NoContent(http.StatusOK)
}
