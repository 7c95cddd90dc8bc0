package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
)

// Timing of a stop. New requests are accepted for at most 3 s after the signal, so that requests that the load balancer
// still sends are served.
const (
	// noticeTime is how long a stopping gateway accepts new connections, so that the load balancer can notice the stop.
	noticeTime = 2500 * time.Millisecond
	// refusalReserve is the part of the time to stop that is reserved for refusing requests without a response.
	refusalReserve = 400 * time.Millisecond
	// drainPollInterval is the time between two checks for open connections.
	drainPollInterval = 10 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process.
	exitReserve = 700 * time.Millisecond
)

// A lifecycle counts the requests in progress and records that the gateway is stopping.
type lifecycle struct {
	inProgress atomic.Int64
	// stop is nil until the gateway stops.
	stop atomic.Pointer[stopTimes]
	// unansweredCtx ends when requests without a response are cancelled.
	unansweredCtx    context.Context
	cancelUnanswered context.CancelFunc
}

// stopTimes are the times of a stop.
type stopTimes struct {
	// noticed is the end of noticeTime. responsesEnd is when requests without a response are cancelled.
	noticed, responsesEnd time.Time
}

// canFinish reports whether a request that has been read now may be passed on. Requests that arrive after noticeTime, over
// connections that were open before or began to send them earlier, are passed on only if their deadline is before the
// responses end: the others would be cancelled while their server works on them.
func (l *lifecycle) canFinish(now, deadline time.Time) bool {
	t := l.stop.Load()
	return t == nil || now.Before(t.noticed) || !deadline.After(t.responsesEnd)
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	l.unansweredCtx, l.cancelUnanswered = context.WithCancel(context.Background())
	return l
}

// begin counts a request; end must be called when it has finished.
func (l *lifecycle) begin() (end func()) {
	l.inProgress.Add(1)
	return func() { l.inProgress.Add(-1) }
}

func (l *lifecycle) requests() int64  { return l.inProgress.Load() }
func (l *lifecycle) isStopping() bool { return l.stop.Load() != nil }

// Stop makes the gateway unready, keeps accepting requests until the load balancer has noticed, waits for requests to
// finish until ctx ends, and closes all listeners.
//
// Streams continue until they finish or ctx ends; each connection is closed after its response. Stop returns an error if
// connections were still open when ctx ended.
func (g *Gateway) Stop(ctx context.Context) error {
	now, unanswered := g.clock.Now(), g.unansweredTime(ctx)
	g.lifecycle.stop.Store(&stopTimes{noticed: now.Add(noticeTime), responsesEnd: now.Add(unanswered)})
	g.log.Info("leaving", zap.Int64("requests", g.lifecycle.requests()))
	g.placer.Stop(ctx)
	timer := g.clock.AfterFunc(unanswered, g.lifecycle.cancelUnanswered)
	defer timer.Stop()
	clock.Sleep(ctx, g.clock, noticeTime)
	g.listeners.closeFront()
	left := g.drain(ctx)
	g.cancel()
	for _, stop := range g.stops {
		stop()
	}
	if left > 0 {
		g.log.Warn("requests aborted at the end of the grace period", zap.Int64("requests", g.lifecycle.requests()), zap.Int("connections", left))
	}
	g.listeners.close()
	g.log.Info("stopped")
	if left > 0 {
		return eris.Wrap(ctx.Err(), "gateway: stop")
	}
	return nil
}

// drain closes idle connections, and waits until all connections are closed or ctx ends. It returns the number of
// connections still open.
func (g *Gateway) drain(ctx context.Context) int {
	for {
		left := g.conns.drain(g.clock.Now())
		if left == 0 || ctx.Err() != nil {
			return left
		}
		clock.Sleep(ctx, g.clock, drainPollInterval)
	}
}

// unansweredTime returns the time until requests without a response are cancelled.
func (g *Gateway) unansweredTime(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return g.StopTimeout()
	}
	return max(time.Until(end)-refusalReserve, 0)
}

// StopTimeout returns the maximum duration of Stop.
func (g *Gateway) StopTimeout() time.Duration { return g.settings.Grace.Std() - exitReserve }
