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
	// Pause returns for how long the service is not asked after a call that failed; 0 asks it
	// always.
	Pause func() time.Duration
}

// A Breaker spares a service that fails: after a call that failed, further ones are refused with
// ErrUnavailable for a time, and then one at a time is let through until one succeeds. All views of
// a process share one, since a service that fails for one prefix fails for the others.
//
// Where each of n processes asked a service that turned all away twice a second, for three prefixes,
// 103 of them made 600 calls a second, and 340 would make 2,000, which is all that it bears.
//
// It is safe for concurrent use.
type Breaker struct {
	opts BreakerOptions

	mu   sync.Mutex
	open bool
	// retryAt is when an open Breaker lets a call through; probing says that one is under way.
	retryAt time.Time
	probing bool
}

// errOpen says that a Breaker lets no call through.
var errOpen = eris.Wrap(ErrUnavailable, "kv: not asked, the last call failed")

// NewBreaker returns a Breaker that lets calls through.
func NewBreaker(o BreakerOptions) *Breaker { return &Breaker{opts: o} }

// View returns the service as seen through the Breaker.
func (b *Breaker) View(s PrefixStore) PrefixStore { return breakerView{breaker: b, store: s} }

// allow reports whether a call may be made.
func (b *Breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || b.opts.Pause() == 0 {
		return true
	}
	if b.probing || b.opts.Clock.Now().Before(b.retryAt) {
		return false
	}
	b.probing = true
	return true
}

// note notes how a call ended. One that its caller ended says nothing of the service.
func (b *Breaker) note(ctx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	switch {
	case err == nil, errors.Is(err, ErrCompacted):
		b.open = false
	case ctx.Err() != nil:
	default:
		b.open = true
		b.retryAt = b.opts.Clock.Now().Add(b.opts.Pause())
	}
}

// A breakerView is a PrefixStore behind a Breaker.
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
	v.breaker.note(ctx, err)
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
	v.breaker.note(ctx, err)
	return events, at, err
}
