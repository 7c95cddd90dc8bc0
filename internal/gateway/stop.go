package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
)

// Times of a stop. New requests are taken for three seconds after the signal at most, so
// that each that the balancer still sends is answered.
const (
	// noticeTime is how long a stopping gateway still takes new connections, so that the
	// balancer learns of the stop first.
	noticeTime = 2500 * time.Millisecond
	// lastAnswers is left of the time to stop for answers to requests that have none
	// yet.
	lastAnswers = 400 * time.Millisecond
	// drainPause is the pause between two looks for open connections.
	drainPause = 10 * time.Millisecond
	// processEnd is left of the grace for the process's own end
	// (docs/FINDINGS.md, killed at the end of the grace).
	processEnd = 700 * time.Millisecond
)

// A lifecycle counts the requests in progress and says when the gateway is stopping.
type lifecycle struct {
	inProgress atomic.Int64
	stopping   atomic.Bool
	// lastCall ends when requests without an answer must get one.
	lastCall    context.Context
	endLastCall context.CancelFunc
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	l.lastCall, l.endLastCall = context.WithCancel(context.Background())
	return l
}

// begin counts a request and returns what ends it.
func (l *lifecycle) begin() (end func()) {
	l.inProgress.Add(1)
	return func() { l.inProgress.Add(-1) }
}

func (l *lifecycle) requests() int64  { return l.inProgress.Load() }
func (l *lifecycle) isStopping() bool { return l.stopping.Load() }

// Stop turns readiness off, answers what comes while the balancer learns of it, lets
// requests end until ctx does, and closes.
//
// Streams go on until their end or the end of ctx; each answer ends its connection. It
// returns an error if connections were left open.
func (g *Gateway) Stop(ctx context.Context) error {
	g.lifecycle.stopping.Store(true)
	g.log.Info("leaving", zap.Int64("requests", g.lifecycle.requests()))
	g.placer.Stop(ctx)
	lastCall := g.clock.AfterFunc(g.untilLastCall(ctx), g.lifecycle.endLastCall)
	defer lastCall.Stop()
	clock.Sleep(ctx, g.clock, noticeTime)
	g.listeners.closeFront()
	left := g.drain(ctx)
	g.cancel()
	for _, stop := range g.stops {
		stop()
	}
	if left > 0 {
		g.log.Warn("requests cut by the end of the grace", zap.Int64("requests", g.lifecycle.requests()), zap.Int("connections", left))
	}
	g.listeners.close()
	g.log.Info("stopped")
	if left > 0 {
		return eris.Wrap(ctx.Err(), "gateway: stop")
	}
	return nil
}

// drain waits until callers' connections are closed or ctx ends, and returns how many are
// left. Those that wait for a request are ended, the others with their answer.
func (g *Gateway) drain(ctx context.Context) int {
	for {
		left := g.conns.drain(g.clock.Now())
		if left == 0 || ctx.Err() != nil {
			return left
		}
		clock.Sleep(ctx, g.clock, drainPause)
	}
}

// untilLastCall returns after which time requests without an answer are given up, so that
// each still gets one before the process ends.
func (g *Gateway) untilLastCall(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return g.Grace()
	}
	return max(time.Until(end)-lastAnswers, 0)
}

// Grace returns how long Stop may take.
func (g *Gateway) Grace() time.Duration { return g.settings.Grace.Std() - processEnd }
