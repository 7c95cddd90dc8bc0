package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"rockcleat/clock"
)

// A Follower keeps its own copy of what stands under a prefix.
type Follower interface {
	// Replace sets all entries; whatever is not among them is gone.
	Replace(entries []Entry)
	// Apply applies changes in their order.
	Apply(events []Event)
	// Unreachable reports that a call to the service failed, Reachable that one succeeded.
	Unreachable(err error)
	Reachable()
}

// FollowOptions say what Follow follows.
type FollowOptions struct {
	Store  PrefixStore
	Prefix string
	// Round bounds one watch call, so that a connection that has silently died is noticed.
	Round    time.Duration
	Clock    clock.Service
	Follower Follower
}

// Pauses between calls that fail: the first one doubles up to the longest, each with
// jitter of half to one and a half.
const (
	// firstRetryPause is the mean of the first pause.
	firstRetryPause = 100 * time.Millisecond
	// maxRetryPause is the mean of the longest.
	maxRetryPause = 500 * time.Millisecond
)

// Follow lists a prefix and watches it for the follower until ctx ends. It lists anew
// when the service no longer knows the changes since the last watch.
func Follow(ctx context.Context, o FollowOptions) {
	pause := firstRetryPause
	for ctx.Err() == nil {
		entries, at, err := o.Store.ListPrefix(ctx, o.Prefix)
		if err != nil {
			o.Follower.Unreachable(err)
			pause = o.backOff(ctx, pause)
			continue
		}
		o.Follower.Reachable()
		o.Follower.Replace(entries)
		if o.watchFrom(ctx, at) {
			pause = firstRetryPause
			continue
		}
		// A list whose revision cannot be watched from tells nothing new.
		pause = o.backOff(ctx, pause)
	}
}

// watchFrom watches from a revision until the service has compacted it, and reports whether any watch succeeded
// before. A service that answered each watch of a list's revision as compacted was listed some 2,000 times a
// second by one process.
func (o FollowOptions) watchFrom(ctx context.Context, at Revision) (watched bool) {
	pause := firstRetryPause
	for ctx.Err() == nil {
		events, next, err := o.Store.WatchPrefix(ctx, o.Prefix, at, o.Round)
		if errors.Is(err, ErrCompacted) {
			return watched
		}
		if err != nil {
			o.Follower.Unreachable(err)
			pause = o.backOff(ctx, pause)
			continue
		}
		pause, watched = firstRetryPause, true
		at = next
		o.Follower.Reachable()
		if len(events) > 0 {
			o.Follower.Apply(events)
		}
	}
	return watched
}

// backOff waits for a pause with jitter and returns the next, longer one.
func (o FollowOptions) backOff(ctx context.Context, pause time.Duration) time.Duration {
	clock.Sleep(ctx, o.Clock, pause/2+rand.N(pause))
	return min(2*pause, maxRetryPause)
}
