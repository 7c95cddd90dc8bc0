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

// errNoOwner says that no entry owns a shard now.
var errNoOwner = errors.New("entry: no owner of the claim's shard")

// An ownerRecord is the owner of a shard as last read.
type ownerRecord struct {
	addr string
	at   time.Time
}

// shardOf returns the shard of a key.
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

// claimHere claims a key of a shard that this entry owns.
func (c *claims) claimHere(ctx context.Context, i int, r wire.ClaimRequest) (wire.ClaimAnswer, error) {
	rec, fresh, err := c.shards[i].Claim(ctx, r.Key, r.Fingerprint, r.Attempt)
	return wire.ClaimAnswer{Record: rec, Fresh: fresh}, err
}

// finish records the end of a claimed request. What is lost here leaves the key
// claimed, so that the request is never sent again.
func (c *claims) finish(r wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), claimTimeout)
	defer cancel()
	i := c.shardOf(r.Key)
	if c.shards[i].IsOpen() {
		c.finishHere(i, r)
		return
	}
	if err := c.callOwner(ctx, i, wire.PathClaimFinish, r, nil); err != nil {
		c.log.Warn("end of a claimed request not recorded", zap.String("attempt", r.Attempt), zap.Error(err))
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
	for try := range ownerTries {
		addr, err := c.owner(ctx, i, try > 0)
		if err != nil {
			return err
		}
		err = c.peers.Post(ctx, addr, path, in, out)
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

// owner returns the address of the shard's owner: the one last read, or what the lease says if none
// was read or the last one was asked in vain.
func (c *claims) owner(ctx context.Context, i int, again bool) (string, error) {
	c.mu.Lock()
	o, ok := c.owners[i]
	c.mu.Unlock()
	if ok && (!again || c.clock.Now().Sub(o.at) < ownerMemory) {
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
		return "", eris.Wrap(err, "entry: decode lease")
	}
	c.mu.Lock()
	c.owners[i] = ownerRecord{addr: r.Addr, at: c.clock.Now()}
	c.mu.Unlock()
	return r.Addr, nil
}

// serveClaim answers another entry's claim.
func (c *claims) serveClaim(ec echo.Context) error {
	return c.serveOwned(ec, func(i int, r wire.ClaimRequest) error {
		a, err := c.claimHere(ec.Request().Context(), i, r)
		switch {
		case errors.Is(err, claim.ErrNotOwner):
			return ec.NoContent(http.StatusMisdirectedRequest)
		case err != nil:
			return ec.String(http.StatusServiceUnavailable, err.Error())
		}
		return ec.JSON(http.StatusOK, a)
	})
}

// serveFinish records the end of another entry's claimed request.
func (c *claims) serveFinish(ec echo.Context) error {
	return c.serveOwned(ec, func(i int, r wire.ClaimRequest) error {
		c.finishHere(i, r)
		return ec.NoContent(http.StatusOK)
	})
}

// serveOwned passes another entry's message on with the key's shard, if this entry owns it.
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
