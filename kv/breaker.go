package kv

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/clock"
)

// BreakerOptions configure a Breaker.
type BreakerOptions struct {
	Clock clock.Service
	// Cooldown returns how long calls are refused after a failed call; at 0 none is refused.
	Cooldown func() time.Duration
}

// A Breaker is a circuit breaker for the service. After a failed call it refuses further calls with
// ErrUnavailable for the cooldown, and then lets one call at a time through until one succeeds. All
// views of a process share one Breaker, since the service's failures do not depend on the prefix.
// It limits the load that many processes put on a failing service. Without it, 103 processes that ask
// twice a second for three prefixes make 600 calls a second, and 340 make 2,000, which is all that the
// service bears.
//
// It is safe for concurrent use.
type Breaker struct {
	opts BreakerOptions

	mu   sync.Mutex
	open bool
	// retryAt is when an open Breaker lets a call through. probing is set while that call is in
	// progress.
	retryAt time.Time
	probing bool
}

// errOpen is the error of a call that an open Breaker refuses.
var errOpen = eris.Wrap(ErrUnavailable, "kv: call refused by open circuit breaker")

// NewBreaker returns a closed Breaker.
func NewBreaker(o BreakerOptions) *Breaker { return &Breaker{opts: o} }

// View returns s guarded by the Breaker.
func (b *Breaker) View(s PrefixStore) PrefixStore { return breakerView{breaker: b, store: s} }

// IsOpen reports whether the last call to the service failed.
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// allow reports whether a call may be made. If it returns true, the caller must pass the result to
// recordResult.
func (b *Breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || b.opts.Cooldown() == 0 {
		return true
	}
	if b.probing || b.opts.Clock.Now().Before(b.retryAt) {
		return false
	}
	b.probing = true
	return true
}

// recordResult records the result of a call. A failed call whose context has ended does not open or
// close the Breaker, since the service need not be the cause.
func (b *Breaker) recordResult(ctx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	switch {
	case err == nil, errors.Is(err, ErrCompacted):
		b.open = false
	case ctx.Err() != nil:
	default:
		b.open = true
		b.retryAt = b.opts.Clock.Now().Add(b.opts.Cooldown())
	}
}

// A breakerView is a PrefixStore guarded by a Breaker.
type breakerView struct {
	breaker *Breaker
	store   PrefixStore
}

// ListPrefix implements PrefixStore.
func (v breakerView) ListPrefix(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	if !v.breaker.allow() {
		return nil, 0, errOpen
	}
	entries, at, err := v.store.ListPrefix(ctx, prefix)
	v.breaker.recordResult(ctx, err)
	return entries, at, err
}

// WatchPrefix implements PrefixStore.
func (v breakerView) WatchPrefix(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Event, Revision, error) {
	if !v.breaker.allow() {
		return nil, after, errOpen
	}
	events, at, err := v.store.WatchPrefix(ctx, prefix, after, wait)
	v.breaker.recordResult(ctx, err)
	return events, at, err
}
