package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/internal/configsync"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
)

// Timing of the feed, which distributes the leader's view of the store down the tree of gateways. A gateway sends a
// long poll to its parent, which responds as soon as there is a change, so that an update takes one network hop
// per level. If each gateway watched the store itself, it would make two calls to the store every second.
const (
	// feedAgeSteps is the number of steps into which the maximum age of a view is divided. A view that is one step
	// newer is sent even without changes. The number of steps is larger than the number of watches that the leader makes
	// within the maximum age, so that the end of each watch propagates immediately.
	feedAgeSteps = 4
	// feedHoldFraction is the fraction of a view's maximum age for which a poll waits for a change.
	feedHoldFraction = 0.6
	// feedShortHoldFraction is the same for a gateway whose source had a stale view. It is short enough to ask a second
	// gateway before the next level of the tree reads the store (levelDelayFraction).
	feedShortHoldFraction = levelDelayFraction
	// feedListHold is how long a poll of a starting gateway waits. It is short, so that the gateway learns whether its
	// source is still reading the list that both lack.
	feedListHold = 50 * time.Millisecond
	// feedListingTime is how long a starting gateway counts on a source that is reading a list. It exceeds the time
	// between two polls, also on a busy VM.
	feedListingTime = 500 * time.Millisecond
	// feedMaxShortHolds is the number of polls in a row with a short hold. After as many stale views, probably no gateway
	// has a fresh one.
	feedMaxShortHolds = 6
	// feedTimeoutMargin is added to the longest hold time to get a poll's timeout, which applies to the start of the response
	// and to each read of its body.
	feedTimeoutMargin = 500 * time.Millisecond
	// feedMinInterval is the minimum time between two polls; changes within it are sent together.
	feedMinInterval = 100 * time.Millisecond
	// feedBackoff is the mean time for which a gateway that did not respond is not polled, and for which gateways of the
	// first level are polled after an ancestor had a stale view. The actual time varies between 0.5 and 1.5 times the
	// mean.
	feedBackoff = time.Second
	// feedStartBackoff is the time for which a gateway that did not respond is not polled by one whose view is out of date.
	feedStartBackoff = 200 * time.Millisecond
)

// feedHold returns how long a poll waits for a change, given the maximum age of a view.
func feedHold(maxAge time.Duration) time.Duration {
	return time.Duration(feedHoldFraction * float64(maxAge))
}

// feedBackoffTime returns a random time with the mean feedBackoff.
func feedBackoffTime() time.Duration { return feedBackoff/2 + rand.N(feedBackoff) }

// A feedRequest polls a gateway for changes in the store.
type feedRequest struct {
	// Progress tells how far the sender knows each prefix that it follows.
	kv.Progress
	// ConfigVersion is the version of the sender's configuration, Addr its peer address.
	ConfigVersion uint64 `json:"config"`
	Addr          string `json:"addr"`
	// MaxHoldMs is how long the poll may wait, in milliseconds; 0 if the sender sets no limit.
	MaxHoldMs int64 `json:"hold,omitempty"`
	// RequestsLists is set if the sender requests large lists separately (kv.Batch.Omitted).
	RequestsLists bool `json:"lists,omitempty"`
}

// A feedReply is the reply to a feedRequest.
type feedReply struct {
	Changes map[string]kv.Batch     `json:"changes,omitempty"`
	Config  configsync.Announcement `json:"news"`
	// Listing holds the prefixes that the replying gateway is about to know, because it is reading them.
	Listing []string `json:"listing,omitempty"`
	// HeldMs is how long the poll waited, in milliseconds.
	HeldMs int64 `json:"held"`
}

// feedPeers polls other gateways.
type feedPeers interface {
	feed(ctx context.Context, addr string, timeout time.Duration, r feedRequest) (feedReply, error)
	list(ctx context.Context, addr, prefix string) (kv.Batch, error)
}

// A feed updates this gateway's view of the store from its parent in the tree of gateways.
//
// If the leader or the parent has lost the store, the first level of the tree reads it. A gateway whose ancestors have a
// stale view then polls any gateway of the first level, since its own ancestor there may have lost the store too.
type feed struct {
	self     string
	gateways *directory
	fanout   *kv.Fanout
	configs  announcer
	peers    feedPeers
	// isLeader reports whether this gateway is the leader. leader returns the leader's address, or an empty string
	// if it is not known.
	isLeader func() bool
	leader   func() string
	clock    clock.Service
	log      *zap.Logger

	// Used only by the goroutine of run. source is the gateway that last sent a fresh view. backoffUntil holds the
	// time until which a gateway is not polled.
	source       string
	backoffUntil map[string]time.Time
	// staleUntil is the time until which the ancestors' views count as stale. pollsRelay is set if meanwhile the next
	// poll goes to a gateway of the first level, and not to the nearest ancestor.
	staleUntil time.Time
	pollsRelay bool
	// staleReplies is the number of stale views received since the last fresh one.
	staleReplies int
}

// run polls until ctx ends.
func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		if addr := f.nextSource(); addr != "" {
			f.poll(ctx, addr)
		}
		clock.Sleep(ctx, f.clock, feedMinInterval)
	}
}

// nextSource returns the address to poll: that of the nearest ancestor in the tree not in backoff. While the ancestors'
// views are stale, it returns a gateway of the first level in turn with that ancestor, and so it does on the first level
// if this gateway's view is out of date. It returns an empty string if there is none, and on the leader.
func (f *feed) nextSource() string {
	if f.isLeader() {
		return ""
	}
	now := f.clock.Now()
	leader := f.leader()
	ancestors := f.gateways.sources(leader)
	var sources []string
	switch {
	case f.hasStaleAncestors(now) && f.pollsRelay:
		sources = append(f.gateways.relays(leader), ancestors...)
	case f.isBehind(now):
		sources = append(ancestors, f.gateways.relays(leader)...)
	default:
		sources = ancestors
	}
	for _, addr := range sources {
		if addr != f.self && !now.Before(f.backoffUntil[addr]) {
			return addr
		}
	}
	return ""
}

// isBehind reports whether this gateway has not received a fresh view, from the store or another gateway, for longer
// than its maximum age.
func (f *feed) isBehind(now time.Time) bool {
	for _, currentAt := range f.fanout.CurrentTimes(f.fanout.Progress()) {
		if now.Sub(currentAt) > f.fanout.MaxAge() {
			return true
		}
	}
	return false
}

func (f *feed) hasStaleAncestors(now time.Time) bool { return now.Before(f.staleUntil) }

// poll sends a poll to the gateway at addr and applies its reply. A gateway that does not respond is not polled again
// for a while.
func (f *feed) poll(ctx context.Context, addr string) {
	requested := f.clock.Now()
	request := feedRequest{
		Progress: f.fanout.Progress(), ConfigVersion: f.configs.Announcement().Version, Addr: f.self, RequestsLists: true,
		MaxHoldMs: f.maxHold().Milliseconds(),
	}
	pollCtx, cancel := f.untilListed(ctx)
	defer cancel()
	defer f.fanout.EndTransfers()
	// A short hold does not shorten the timeout: a source that reads or sends lists may respond late.
	timeout := feedHold(f.fanout.MaxAge()) + feedTimeoutMargin
	reply, err := f.peers.feed(pollCtx, addr, timeout, request)
	if err == nil {
		err = f.fetchLists(ctx, addr, reply.Changes)
	}
	if pollCtx.Err() != nil && ctx.Err() == nil {
		return
	}
	if err != nil {
		f.backOff(addr, err)
		return
	}
	madeAt := requested.Add(time.Duration(reply.HeldMs) * time.Millisecond)
	f.fanout.ExtendListWait(reply.Listing, f.clock.Now().Add(feedListingTime))
	f.fanout.Apply(reply.Changes, madeAt)
	f.configs.HandleAnnouncement(reply.Config, addr, madeAt)
	if f.fanout.IsStale(reply.Changes) {
		f.recordStale(addr)
		return
	}
	f.staleReplies = 0
	if addr != f.source {
		f.source = addr
		f.log.Info("store followed through", zap.String("addr", addr))
	}
}

// maxHold returns the limit on how long a poll waits for a change, or 0 if there is none. There is one while this
// gateway reads a list for the first time, and after a source had a stale view.
func (f *feed) maxHold() time.Duration {
	switch {
	case f.fanout.IsListing():
		return feedListHold
	case f.staleReplies > 0 && f.staleReplies <= feedMaxShortHolds:
		return time.Duration(feedShortHoldFraction * float64(f.fanout.MaxAge()))
	}
	return 0
}

// untilListed returns a context for a poll. While the list of gateways is not known, it ends when there is one: the poll
// then goes to the parent in the tree.
func (f *feed) untilListed(ctx context.Context) (context.Context, context.CancelFunc) {
	pollCtx, cancel := context.WithCancel(ctx)
	if f.gateways.isListed() {
		return pollCtx, cancel
	}
	go func() {
		select {
		case <-f.gateways.listed:
			cancel()
		case <-pollCtx.Done():
		}
	}()
	return pollCtx, cancel
}

// fetchLists requests the lists that the gateway at addr has left out of its reply.
func (f *feed) fetchLists(ctx context.Context, addr string, changes map[string]kv.Batch) error {
	for prefix, b := range changes {
		if !b.Omitted {
			continue
		}
		f.fanout.BeginTransfer(prefix)
		list, err := f.peers.list(ctx, addr, prefix)
		if err != nil {
			return err
		}
		// The list is at least as recent as the reply.
		list.AgeMs = b.AgeMs
		changes[prefix] = list
	}
	return nil
}

// backOff excludes a gateway that did not respond from polling for a while. While this gateway is starting, the others
// may be too, so it tries again soon.
func (f *feed) backOff(addr string, err error) {
	now := f.clock.Now()
	pause := feedBackoffTime()
	if f.isBehind(now) {
		pause = feedStartBackoff
	}
	f.backoffUntil[addr] = now.Add(pause)
	f.sourceLost(addr, "no answer", err)
}

// recordStale makes the next poll go to another kind of source, after a source had a stale view. A gateway below the
// second level first gives its parent the time to find another source.
func (f *feed) recordStale(addr string) {
	now := f.clock.Now()
	if f.hasStaleAncestors(now) {
		f.pollsRelay = !f.pollsRelay
	} else {
		f.pollsRelay = f.gateways.depth(f.leader()) <= 2
	}
	f.staleReplies++
	f.staleUntil = now.Add(feedBackoffTime())
	f.sourceLost(addr, "too old", nil)
}

// sourceLost logs that a gateway is no longer the source of this gateway's view.
func (f *feed) sourceLost(addr, reason string, err error) {
	if addr == f.source {
		f.source = ""
		f.log.Info("store no longer followed through", zap.String("addr", addr), zap.String("reason", reason),
			telemetry.Error(err))
	}
}
