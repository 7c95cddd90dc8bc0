package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
)

// TestPollOfStartingGateway checks that a starting gateway polls with a short hold and the usual timeout: a source on a
// small VM that reads or sends a list of thousands of servers responds late, and must not be taken for one that is gone.
func TestPollOfStartingGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fanout := kv.NewFanout(kv.FanoutOptions{
			Clock: clocktest.Real{}, MaxAge: feedFleetMaxAge, IsWatcher: func() bool { return false },
			ListWait: func() time.Duration { return time.Hour },
		})
		go func() { _, _, _ = fanout.View(unusedStore{}, false).ListPrefix(t.Context(), feedFleetPrefix) }()
		synctest.Wait()
		assert.Assert(t, fanout.IsListing())
		peers := &recordingPeers{}
		f := &feed{
			self: "g1", gateways: newDirectory("g1", 1, nil, false), fanout: fanout, configs: noConfigs{}, peers: peers,
			clock: clocktest.Real{}, log: zap.NewNop(), backoffUntil: make(map[string]time.Time),
		}
		f.poll(t.Context(), "g0")
		assert.Equal(t, peers.request.MaxHoldMs, feedListHold.Milliseconds())
		assert.Equal(t, peers.timeout, feedHold(feedFleetMaxAge)+feedTimeoutMargin)
	})
}

// recordingPeers records the last poll.
type recordingPeers struct {
	feedPeers
	timeout time.Duration
	request feedRequest
}

// feed implements feedPeers.
func (p *recordingPeers) feed(_ context.Context, _ string, timeout time.Duration, r feedRequest) (feedReply, error) {
	p.timeout, p.request = timeout, r
	return feedReply{}, nil
}

// An unusedStore is a store that is not called before the test ends.
type unusedStore struct{ kv.PrefixStore }

// ListPrefix implements kv.PrefixStore.
func (unusedStore) ListPrefix(ctx context.Context, _ string) ([]kv.Entry, kv.Revision, error) {
	return nil, 0, ctx.Err()
}
