package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// A Follower takes in what stands under a prefix.
type Follower interface {
	// Replace takes all entries; whatever is not among them is gone.
	Replace(entries []Entry)
	// Apply takes changes in their order.
	Apply(events []Event)
	// Lost tells that the service cannot be heard, Heard that it was.
	Unreachable(err error)
	Reachable()
}

// Pauses between calls that fail.
const (
	firstPause = 100 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// Follow keeps a follower up to date with a prefix until ctx ends. Each watch
// waits for at most wait, so that a connection which has silently died is noticed.
func Follow(ctx context.Context, s PrefixStore, prefix string, wait time.Duration, f Follower) {
	pause := firstPause
	for ctx.Err() == nil {
		entries, at, err := s.ListPrefix(ctx, prefix)
		if err != nil {
			f.Unreachable(err)
			pause = backOff(ctx, pause)
			continue
		}
		pause = firstPause
		f.Reachable()
		f.Replace(entries)
		follow(ctx, s, prefix, at, wait, f)
	}
}

// follow watches from a revision until the service has forgotten it.
func follow(ctx context.Context, s PrefixStore, prefix string, at Revision, wait time.Duration, f Follower) {
	pause := firstPause
	for ctx.Err() == nil {
		events, next, err := s.WatchPrefix(ctx, prefix, at, wait)
		if errors.Is(err, ErrCompacted) {
			return
		}
		if err != nil {
			f.Unreachable(err)
			pause = backOff(ctx, pause)
			continue
		}
		pause = firstPause
		at = next
		f.Reachable()
		if len(events) > 0 {
			f.Apply(events)
		}
	}
}

// backOff waits for a pause with jitter and returns the next, longer one.
func backOff(ctx context.Context, pause time.Duration) time.Duration {
	sleep(ctx, pause/2+rand.N(pause))
	return min(2*pause, lastPause)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
