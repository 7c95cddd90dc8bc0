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
// per level.
const (
	// feedAgeSteps is the number of steps into which the maximum age of a view is divided. A view that is one step
	// newer is sent even without changes. The number of steps is larger than the number of watches that the leader makes
	// within the maximum age, so that the end of each watch propagates immediately.
	feedAgeSteps = 4
	// feedHoldFraction is the fraction of a view's maximum age for which a poll waits for a change.
	feedHoldFraction = 0.6
	// feedTimeoutMargin is added to the hold time to get a poll's timeout, which applies to the start of the response
	// and to each read of its body.
	feedTimeoutMargin = 500 * time.Millisecond
	// feedMinInterval is the minimum time between two polls; changes within it are sent together.
	feedMinInterval = 100 * time.Millisecond
	// feedBackoff is the mean time for which a gateway that did not respond, or had a stale view, is not polled. The
	// actual time varies between 0.5 and 1.5 times the mean.
	feedBackoff = time.Second
)

// feedHold returns how long a poll waits for a change, given the maximum age of a view.
func feedHold(maxAge time.Duration) time.Duration {
	return time.Duration(feedHoldFraction * float64(maxAge))
}

// A feedRequest polls a gateway for changes in the store.
type feedRequest struct {
	// Known tells what the sender knows of each prefix that it follows.
	kv.Known
	// ConfigVersion is the version of the sender's configuration, Addr its peer address.
	ConfigVersion uint64 `json:"config"`
	Addr          string `json:"addr"`
}

// A feedReply is the reply to a feedRequest.
type feedReply struct {
	Changes map[string]kv.Batch     `json:"changes,omitempty"`
	Config  configsync.Announcement `json:"news"`
	// HeldMs is how long the poll waited, in milliseconds.
	HeldMs int64 `json:"held"`
}

// A feed updates this gateway's view of the store from its parent in the tree of gateways.
type feed struct {
	self     string
	gateways *directory
	fanout   *kv.Fanout
	configs  *configsync.Syncer
	peers    *peerClient
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

// nextSource returns the address to poll: that of the nearest ancestor in the tree not in backoff. It returns an empty
// string if there is none, and on the leader.
func (f *feed) nextSource() string {
	if f.isLeader() {
		return ""
	}
	now := f.clock.Now()
	for _, addr := range f.gateways.sources(f.leader()) {
		if addr != f.self && !now.Before(f.backoffUntil[addr]) {
			return addr
		}
	}
	return ""
}

// poll sends a poll to the gateway at addr and applies its reply. A gateway that does not respond, or whose view is
// stale, is not polled again for a while.
func (f *feed) poll(ctx context.Context, addr string) {
	requested := f.clock.Now()
	timeout := feedHold(f.fanout.MaxAge()) + feedTimeoutMargin
	reply, err := f.peers.feed(ctx, addr, timeout, feedRequest{
		Known: f.fanout.Known(), ConfigVersion: f.configs.Announcement().Version, Addr: f.self,
	})
	if err != nil {
		f.backOff(addr, "no answer", err)
		return
	}
	madeAt := requested.Add(time.Duration(reply.HeldMs) * time.Millisecond)
	f.fanout.Apply(reply.Changes, madeAt)
	f.configs.HandleAnnouncement(reply.Config, addr, madeAt)
	if f.fanout.IsStale(reply.Changes) {
		f.backOff(addr, "too old", nil)
		return
	}
	if addr != f.source {
		f.source = addr
		f.log.Info("store followed through", zap.String("addr", addr))
	}
}

// backOff excludes a gateway from polling for a while. It logs the change if that gateway was the current source.
func (f *feed) backOff(addr, reason string, err error) {
	f.backoffUntil[addr] = f.clock.Now().Add(feedBackoff/2 + rand.N(feedBackoff))
	if addr == f.source {
		f.source = ""
		f.log.Info("store no longer followed through", zap.String("addr", addr), zap.String("reason", reason),
			telemetry.Error(err))
	}
}
