package gateway

import (
	"context"
	"time"

	"rockcleat/clock"
	"rockcleat/internal/configsync"
	"rockcleat/kv"
)

// An announcer announces which configuration this gateway has, and receives the announcements of others.
type announcer interface {
	Announcement() configsync.Announcement
	HandleAnnouncement(a configsync.Announcement, addr string, at time.Time)
}

// A feedSource replies to the polls of other gateways with this gateway's view of the store.
type feedSource struct {
	fanout  *kv.Fanout
	configs announcer
	clock   clock.Service
	// storeFailed reports whether this gateway's last call to the store failed.
	storeFailed func() bool
}

// awaitChanges waits until there is something new for the polling gateway, for at most the hold time. It does not wait
// if the polling gateway is looking for a fresh view (feedRequest.MaxHoldMs) and the store has failed for this gateway:
// the other should ask the next one.
func (s feedSource) awaitChanges(ctx context.Context, r feedRequest, requestedAt time.Time) {
	before := s.fanout.CurrentTimes(r.Progress)
	maxAge := s.fanout.MaxAge()
	hold := feedHold(maxAge)
	if r.MaxHoldMs > 0 {
		if s.storeFailed() {
			return
		}
		hold = min(hold, time.Duration(r.MaxHoldMs)*time.Millisecond)
	}
	end := requestedAt.Add(hold)
	for ctx.Err() == nil {
		changed := s.fanout.Changed()
		left := end.Sub(s.clock.Now())
		if left <= 0 || s.fanout.HasUpdates(r.Progress, maxAge/feedAgeSteps, before) || s.configs.Announcement().Version > r.ConfigVersion {
			return
		}
		clock.Await(ctx, s.clock, changed, left)
	}
}

// reply returns the reply to a poll that was received at requestedAt.
func (s feedSource) reply(r feedRequest, requestedAt time.Time) feedReply {
	changes := s.fanout.Since(r.Progress)
	if r.RequestsLists {
		omitLists(changes)
	}
	return feedReply{
		Changes: changes, Config: s.configs.Announcement(), Listing: s.fanout.Listing(r.Progress),
		HeldMs: s.clock.Now().Sub(requestedAt).Milliseconds(),
	}
}
