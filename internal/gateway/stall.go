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

// How long a server may send nothing before a request that may be sent again leaves it
// (docs/design/0010, stalled servers).
const (
	// stallShare is the part of the objective for the first byte that a plain request
	// waits for it.
	stallShare = 0.5
	// minStallTime is how long a plain request waits at least.
	minStallTime = 250 * time.Millisecond
	// streamStallTime is how long a stream waits for its first event at least, and for
	// each further one.
	streamStallTime = 1500 * time.Millisecond
)

// stallTime returns how long a server may send nothing before its first byte.
func stallTime(route table.Route) time.Duration {
	d := max(time.Duration(float64(route.FirstByteObjective)*stallShare), minStallTime)
	if route.Stream {
		d = max(d, streamStallTime)
	}
	return d
}

// A stallTimer ends a send whose server has stalled, if the request can go on elsewhere; a
// nil one ends none.
//
// A stall alone is no reason to give up what the server may still answer: the send goes on
// unless another server can take the request now and the budget pays for the retry.
type stallTimer struct {
	f           *forwarder
	reservation *dispatch.Reservation
	// elsewhere is the request as another server would get it.
	elsewhere dispatch.Request
	cancel    context.CancelCauseFunc
	timer     clock.Timer
	stopped   atomic.Bool
}

// watchStall returns the timer of a send, or nil if the request may not be sent again.
func (f *forwarder) watchStall(res *dispatch.Reservation, cancel context.CancelCauseFunc) *stallTimer {
	if f.record.runs+1 >= f.in.route.Attempts || f.in.route.Retry == table.RetryNever {
		return nil
	}
	s := &stallTimer{f: f, reservation: res, cancel: cancel, elsewhere: f.req}
	s.elsewhere.Exclude = append(slices.Clone(f.req.Exclude), res.Server().ID)
	s.timer = f.proxy.clock.AfterFunc(stallTime(f.in.route), s.expired)
	return s
}

// expired ends the send if the request can go on elsewhere, and waits on otherwise.
func (s *stallTimer) expired() {
	if s.stopped.Load() {
		return
	}
	p := s.f.proxy
	if p.dispatcher.CanSend(&s.elsewhere) && p.budgets.take(s.f.in) {
		s.f.retryPaid.Store(true)
		s.cancel(errStalled)
		return
	}
	p.lines.stalled(s.f.in, s.reservation)
	s.timer.Reset(streamStallTime)
}

// progress starts the time anew.
func (s *stallTimer) progress() {
	if s != nil {
		s.timer.Reset(streamStallTime)
	}
}

func (s *stallTimer) stop() {
	if s != nil {
		s.stopped.Store(true)
		s.timer.Stop()
	}
}
