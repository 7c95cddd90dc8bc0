package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/claim"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/lease"
)

// errNoOwner is returned while no entry owns a claim shard.
var errNoOwner = errors.New("entry: claim shard has no owner")

// A cachedOwner is the owner of a shard as last read from its lease.
type cachedOwner struct {
	addr string
	at   time.Time
	// silent is set when a call to it ended without a response: another entry may have the lease by now.
	silent bool
}

// shardOf returns the index of the shard of a key.
func (c *claims) shardOf(key string) int { return claim.ShardOf(key, len(c.shards)) }

// claim claims the key of r at the entry that owns its shard.
func (c *claims) claim(ctx context.Context, r wire.ClaimRequest) (wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	i := c.shardOf(r.Key)
	if c.shards[i].IsOpen() {
		return c.claimLocal(ctx, i, r)
	}
	var resp wire.ClaimResponse
	err := c.callOwner(ctx, i, wire.PathClaim, r, &resp)
	return resp, err
}

// claimLocal claims a key of shard i, which this entry owns.
func (c *claims) claimLocal(ctx context.Context, i int, r wire.ClaimRequest) (wire.ClaimResponse, error) {
	rec, fresh, err := c.shards[i].Claim(ctx, r.Key, r.Fingerprint, r.Attempt)
	return wire.ClaimResponse{Record: rec, Fresh: fresh}, err
}

// finish records the end of a claimed request. If that fails the key stays claimed, so the request
// is never sent again.
func (c *claims) finish(r wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), claimTimeout)
	defer cancel()
	i := c.shardOf(r.Key)
	if c.shards[i].IsOpen() {
		c.finishLocal(i, r)
		return
	}
	if err := c.callOwner(ctx, i, wire.PathClaimFinish, r, nil); err != nil {
		c.log.Warn("recording the end of a claimed request failed", zap.String("attempt", r.Attempt), zap.Error(err))
	}
}

// finishLocal updates the record in memory; the shard's next write stores it.
func (c *claims) finishLocal(i int, r wire.ClaimRequest) {
	if r.NotRun || r.Answer == nil {
		c.shards[i].Release(r.Key, r.Attempt)
		return
	}
	c.shards[i].Finish(r.Key, r.Attempt, *r.Answer)
}

// callOwner posts a message to the entry that owns the shard. If a call certainly had no effect, for
// example because the shard's owner has changed, it looks up the owner again and retries, up to
// maxOwnerCalls calls.
func (c *claims) callOwner(ctx context.Context, i int, path string, in, out any) error {
	for try := range maxOwnerCalls {
		addr, err := c.owner(ctx, i, try > 0)
		if err != nil {
			return err
		}
		err = c.peers.Post(ctx, addr, path, in, out)
		if hadNoResponse(err) {
			c.markSilent(i, addr)
		}
		if err == nil || !hadNoEffect(err) {
			return err
		}
	}
	return errNoOwner
}

// markSilent records that a call to the cached owner of shard i ended without a response.
func (c *claims) markSilent(i int, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.owners[i]; o.addr == addr {
		o.silent = true
		c.owners[i] = o
	}
}

// hadNoResponse reports whether a call failed without a response, other than because the request's client left.
func hadNoResponse(err error) bool {
	var s *wire.StatusError
	return err != nil && !errors.As(err, &s) && !errors.Is(err, context.Canceled)
}

// hadNoEffect reports whether a call certainly had no effect: it was not sent, or the callee does
// not own the shard.
func hadNoEffect(err error) bool {
	var s *wire.StatusError
	return errors.Is(err, wire.ErrNotSent) || errors.As(err, &s) && s.Status == http.StatusMisdirectedRequest
}

// owner returns the address of the shard's owner. It reads the shard's lease if there is no cached
// owner, or if refresh is set or the cached owner is silent, and it is older than ownerCacheTime.
func (c *claims) owner(ctx context.Context, i int, refresh bool) (string, error) {
	c.mu.Lock()
	o, ok := c.owners[i]
	c.mu.Unlock()
	if ok && (!refresh && !o.silent || c.clock.Now().Sub(o.at) < ownerCacheTime) {
		return o.addr, nil
	}
	entry, err := c.store.Get(ctx, "lease/"+leaseName(i))
	if errors.Is(err, kv.ErrNotFound) {
		return "", errNoOwner
	}
	if err != nil {
		return "", err
	}
	var r lease.Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return "", eris.Wrap(err, "entry: decode lease record")
	}
	c.mu.Lock()
	c.owners[i] = cachedOwner{addr: r.Addr, at: c.clock.Now()}
	c.mu.Unlock()
	return r.Addr, nil
}

// serveClaim handles a claim forwarded by another entry.
func (c *claims) serveClaim(ec echo.Context) error {
	return c.serveOwned(ec, func(i int, r wire.ClaimRequest) error {
		resp, err := c.claimLocal(ec.Request().Context(), i, r)
		switch {
		case errors.Is(err, claim.ErrNotOwner):
			return ec.NoContent(http.StatusMisdirectedRequest)
		case err != nil:
			return ec.String(http.StatusServiceUnavailable, err.Error())
		}
		return ec.JSON(http.StatusOK, resp)
	})
}

// serveFinish handles the end of a claimed request, forwarded by another entry.
func (c *claims) serveFinish(ec echo.Context) error {
	return c.serveOwned(ec, func(i int, r wire.ClaimRequest) error {
		c.finishLocal(i, r)
		return ec.NoContent(http.StatusOK)
	})
}

// serveOwned decodes a message of another entry and passes it to serve if this entry owns the key's
// shard; otherwise it responds with status 421.
func (c *claims) serveOwned(ec echo.Context, serve func(shard int, r wire.ClaimRequest) error) error {
	var r wire.ClaimRequest
	if err := ec.Bind(&r); err != nil {
		return err
	}
	i := c.shardOf(r.Key)
	if !c.shards[i].IsOpen() {
		return ec.NoContent(http.StatusMisdirectedRequest)
	}
	return serve(i, r)
}
