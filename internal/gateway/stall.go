package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/table"
)

// Parameters of stall detection: how long a server may send nothing before a request that may be retried is sent to
// another one (docs/design/0010).
const (
	// stallFraction is the fraction of the first-byte objective after which a non-streaming request is stalled.
	stallFraction = 0.5
	// minStallTimeout is the minimum stall timeout of a non-streaming request.
	minStallTimeout = 250 * time.Millisecond
	// streamStallTimeout is the minimum stall timeout of a stream before its first event, and its stall timeout between
	// events.
	streamStallTimeout = 1500 * time.Millisecond
)

// stallTimeout returns how long a server may take to send its first byte.
func stallTimeout(route table.Route) time.Duration {
	d := max(time.Duration(float64(route.FirstByteObjective)*stallFraction), minStallTimeout)
	if route.Stream {
		d = max(d, streamStallTimeout)
	}
	return d
}

// A stallTimer cancels a send whose server has stalled, if another server can take the request immediately and the retry
// budget allows it. Otherwise the send continues, since the server may still respond. A nil stallTimer does nothing.
type stallTimer struct {
	f           *forwarder
	reservation *dispatch.Reservation
	// retryRequest is the dispatcher request with the current server excluded.
	retryRequest dispatch.Request
	cancel       context.CancelCauseFunc
	timer        clock.Timer
	stopped      atomic.Bool
}

// startStallTimer starts the timer of a send. It returns nil if the request may not be sent again.
func (f *forwarder) startStallTimer(res *dispatch.Reservation, cancel context.CancelCauseFunc) *stallTimer {
	if f.record.runs+1 >= f.in.route.MaxAttempts || f.in.route.Retry == table.RetryNever {
		return nil
	}
	s := &stallTimer{f: f, reservation: res, cancel: cancel, retryRequest: f.req}
	s.retryRequest.Exclude = append(slices.Clone(f.req.Exclude), res.Server().ID)
	s.timer = f.proxy.clock.AfterFunc(stallTimeout(f.in.route), s.timedOut)
	return s
}

// timedOut cancels the send if the request can be sent to another server, and otherwise restarts the timer.
func (s *stallTimer) timedOut() {
	if s.stopped.Load() {
		return
	}
	p := s.f.proxy
	r := s.retryRequest
	if version := s.f.version.Load(); version != nil {
		r.Version = version
	}
	if p.dispatcher.CanSend(&r) && p.budgets.take(s.f.in) {
		s.f.retryCharged.Store(true)
		s.cancel(errStalled)
		return
	}
	p.requestLog.stalled(s.f.in, s.reservation)
	s.timer.Reset(streamStallTimeout)
}

// restart restarts the timer.
func (s *stallTimer) restart() {
	if s != nil {
		s.timer.Reset(streamStallTimeout)
	}
}

func (s *stallTimer) stop() {
	if s != nil {
		s.stopped.Store(true)
		s.timer.Stop()
	}
}
