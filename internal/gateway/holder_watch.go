package gateway

import (
	"context"
	"time"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
)

// Timing of the polls for missing models and adapters.
const (
	// holderHold is how long the leader holds a poll while no engine holds one of its targets. It is the maximum interval
	// between reports, so that gateways whose requests wait for a long load cause no more calls than their reports do.
	holderHold = time.Second
	// holderTimeout is the timeout of a poll.
	holderTimeout = holderHold + 500*time.Millisecond
	// holderRetryDelay is the delay after a poll without a usable reply.
	holderRetryDelay = 200 * time.Millisecond
	// holderPollInterval is the minimum time between two polls, so that requests that begin to wait together cause one.
	holderPollInterval = minReportInterval
	// pollReportInterval is the interval between reports above which the leader is polled. Up to it the next report
	// brings the change in time, and polls would only add to the leader's load.
	pollReportInterval = 200 * time.Millisecond
)

// A holderRequest asks the leader which engines hold models or adapters. The leader replies as soon as one does.
type holderRequest struct {
	// Targets have the form MODEL or MODEL/ADAPTER.
	Targets []string `json:"targets"`
}

// A holderWatcher polls the leader while requests wait for models or adapters that no engine is known to hold. In a large
// fleet the reports alone would deliver the change only at their interval, which grows with the number of gateways.
type holderWatcher struct {
	dispatcher *dispatch.Dispatcher
	placer     *placer.Placer
	servers    *serverList
	gateways   *directory
	peers      *peerClient
	// leader returns the leader's address, or an empty string if it is not known.
	leader func() string
	clock  clock.Service
	// missing wakes run when a request begins to wait for a model or adapter that no engine holds.
	missing signal
}

// run polls until ctx ends.
func (w *holderWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		targets := w.targets()
		if len(targets) == 0 {
			select {
			case <-w.missing:
			case <-ctx.Done():
			}
			continue
		}
		pause := holderPollInterval
		if !w.poll(ctx, targets) {
			pause = holderRetryDelay
		}
		clock.Sleep(ctx, w.clock, pause)
	}
}

// targets returns the models and adapters to poll for. There are none while reports are frequent enough.
func (w *holderWatcher) targets() []string {
	if placer.ReportInterval(w.gateways.count()) <= pollReportInterval {
		return nil
	}
	return w.dispatcher.MissingTargets()
}

// poll polls the leader once and applies its reply. It ends early when a request begins to wait for another target.
// It reports whether the leader has replied, or the poll has ended early.
func (w *holderWatcher) poll(ctx context.Context, targets []string) (ok bool) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan placer.Holders, 1)
	go func() { done <- w.call(pollCtx, targets) }()
	select {
	case <-w.missing:
		return true
	case h := <-done:
		if h.IsLeader {
			w.servers.addHolders(h)
		}
		return h.IsLeader
	}
}

// call returns the leader's reply, or an empty one if there is none.
func (w *holderWatcher) call(ctx context.Context, targets []string) placer.Holders {
	if _, own := w.placer.Leader(); own {
		return w.placer.AwaitHolders(ctx, targets, holderHold)
	}
	addr := w.leader()
	if addr == "" {
		return placer.Holders{}
	}
	// The error is not logged, since the reports to the same gateway fail as well and log it.
	h, _ := w.peers.holders(ctx, addr, holderRequest{Targets: targets})
	return h
}
