package lease

import (
	"context"
	"math/rand/v2"
	"time"
)

// Pace of a campaign.
const (
	// renewalsPerTTL is how often a held lease is renewed in its ttl.
	renewalsPerTTL = 3
	// watchWait is how long one watch of another's lease waits.
	watchWait = 5 * time.Second
	// retryPause is the mean pause after a call that failed.
	retryPause = 400 * time.Millisecond
)

// Campaign renews the lease while it is held and otherwise waits for it to come
// free, until ctx ends. While another holds it, it costs one watch each few seconds.
func (h *Holder) Campaign(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.Step(ctx)
		if err != nil {
			pause(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		if _, held := h.Held(); held {
			pause(ctx, h.opts.TTL/renewalsPerTTL)
			continue
		}
		h.await(ctx)
	}
}

// await waits until the lease's key changes or a while has passed.
func (h *Holder) await(ctx context.Context) {
	h.mu.Lock()
	rev := h.seen
	h.mu.Unlock()
	if rev == 0 {
		pause(ctx, rand.N(retryPause))
		return
	}
	if _, err := h.store.Watch(ctx, keyPrefix+h.opts.Name, rev, watchWait); err != nil {
		pause(ctx, rand.N(retryPause))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
