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

// Pace of the feed, by which the leader's view of the store goes down a tree of gateways. A gateway
// asks its parent, which answers when there is something new, so that news takes one hop's time a
// level. When each gateway watched the store for itself, 103 of them made 14,200 calls to it on a
// calm day, two a second each.
const (
	// feedSteps is the number of steps that the age which a view may have is divided into: one that
	// is a step newer is handed on without a change. More than the three watches of the leader in
	// that time, so that the end of each goes down the tree at once.
	feedSteps = 4
	// feedHoldShare is the part of the age that a view may have for which a question waits for
	// something new.
	feedHoldShare = 0.6
	// feedSlack is how long a gateway may take to answer beside that, and the bound of each time in
	// which no more of the answer arrives.
	feedSlack = 500 * time.Millisecond
	// feedRest is the least time between two questions, so that changes which come close together
	// cost one.
	feedRest = 100 * time.Millisecond
	// feedAvoid is the mean time for which a gateway that gave no answer, or none that is fresh, is
	// not asked again, with jitter of half to one and a half.
	feedAvoid = time.Second
)

// feedHold returns how long a question waits for something new, by the age that a view may have.
func feedHold(maxAge time.Duration) time.Duration {
	return time.Duration(feedHoldShare * float64(maxAge))
}

// A feedRequest asks a gateway for what has changed in the store.
type feedRequest struct {
	// Revisions is up to which revision the asking gateway knows the prefixes that it follows, 0 for
	// one of which it knows nothing.
	Revisions map[string]kv.Revision `json:"seen"`
	// ConfigVersion is the version of the configuration that it holds, Addr is where it takes
	// messages.
	ConfigVersion uint64 `json:"config"`
	Addr          string `json:"addr"`
}

// A feedReply is the answer to a feedRequest.
type feedReply struct {
	Changes map[string]kv.Batch `json:"changes,omitempty"`
	Config  configsync.News     `json:"news"`
	// HeldMs is how long the question waited for the answer, in milliseconds.
	HeldMs int64 `json:"held"`
}

// A feed keeps a gateway's view of the store up to date from its parent in the tree of gateways.
type feed struct {
	self     string
	gateways *directory
	fanout   *kv.Fanout
	configs  *configsync.Syncer
	peers    *peerClient
	// isLeader reports whether this gateway leads, leader returns where the leader takes messages,
	// as far as that is known.
	isLeader func() bool
	leader   func() string
	clock    clock.Service
	log      *zap.Logger

	// The rest belongs to run. source is who was asked last, avoided until when others are not asked.
	source  string
	avoided map[string]time.Time
}

// run asks one gateway after the other until ctx ends.
func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		if addr := f.next(); addr != "" {
			f.ask(ctx, addr)
		}
		clock.Sleep(ctx, f.clock, feedRest)
	}
}

// next returns whom to ask: the parent, else the one above it and so on up to the leader, whoever is
// not avoided; empty if there is nobody, and for the leader itself.
func (f *feed) next() string {
	if f.isLeader() {
		return ""
	}
	now := f.clock.Now()
	for _, addr := range f.gateways.sources(f.leader()) {
		if addr != f.self && !now.Before(f.avoided[addr]) {
			return addr
		}
	}
	return ""
}

// ask asks the gateway at an address and applies its answer. One that gives none is avoided for a
// while, and so is one whose view is too old although it has been asked for it.
func (f *feed) ask(ctx context.Context, addr string) {
	requested := f.clock.Now()
	timeout := feedHold(f.fanout.MaxAge()) + feedSlack
	reply, err := f.peers.feed(ctx, addr, timeout, feedRequest{
		Revisions: f.fanout.Revisions(), ConfigVersion: f.configs.News().Version, Addr: f.self,
	})
	if err != nil {
		f.avoid(addr, "no answer", err)
		return
	}
	madeAt := requested.Add(time.Duration(reply.HeldMs) * time.Millisecond)
	f.fanout.Apply(reply.Changes, madeAt)
	f.configs.Heard(reply.Config, addr, madeAt)
	if f.fanout.IsOld(reply.Changes) {
		f.avoid(addr, "too old", nil)
		return
	}
	if addr != f.source {
		f.source = addr
		f.log.Info("store followed through", zap.String("addr", addr))
	}
}

// avoid does not ask a gateway for a while, and logs it once for each time that it is left.
func (f *feed) avoid(addr, reason string, err error) {
	f.avoided[addr] = f.clock.Now().Add(feedAvoid/2 + rand.N(feedAvoid))
	if addr == f.source {
		f.source = ""
		f.log.Info("store no longer followed through", zap.String("addr", addr), zap.String("reason", reason),
			telemetry.Error(err))
	}
}
