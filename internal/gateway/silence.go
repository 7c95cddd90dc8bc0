package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"rockcleat/dispatch"
	"rockcleat/table"
)

// Bounds of a server's silence for requests that may be repeated.
const (
	silentFirstShare = 0.5
	silentFirstLeast = 250 * time.Millisecond
	silentStream     = 1500 * time.Millisecond
)

// A silence ends a send whose server says nothing for too long, if the request can go
// on elsewhere; a nil silence ends none.
//
// Silence alone is no reason to give up what the server may still answer: the send goes
// on unless another server can take the request now and the budget pays for it.
type silence struct {
	x      *exchange
	ticket *dispatch.Reservation
	// elsewhere is the request as another server would get it.
	elsewhere dispatch.Request
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	gap       time.Duration
	stopped   atomic.Bool
}

// watchSilence returns the silence of a send, or nil if the request may not be repeated.
func (x *exchange) watchSilence(t *dispatch.Reservation, cancel context.CancelCauseFunc) *silence {
	if x.runs+1 >= x.route.Attempts || x.route.Retry == table.RetryNever {
		return nil
	}
	first := max(time.Duration(float64(x.route.FirstByteObjective)*silentFirstShare), silentFirstLeast)
	if x.route.Stream {
		first = max(first, silentStream)
	}
	s := &silence{x: x, ticket: t, cancel: cancel, gap: silentStream, elsewhere: x.req}
	s.elsewhere.Exclude = append(slices.Clone(x.req.Exclude), t.Server().ID)
	s.timer = time.AfterFunc(first, s.over)
	return s
}

// over ends the send if the request can go on elsewhere, and waits on otherwise.
func (s *silence) over() {
	if s.stopped.Load() {
		return
	}
	if s.x.g.dispatcher.CanSend(&s.elsewhere) && s.x.allowed() {
		s.cancel(errSilent)
		return
	}
	s.x.g.logSilentServer(s.x, s.ticket)
	s.timer.Reset(s.gap)
}

// heard starts the time anew.
func (s *silence) heard() {
	if s != nil {
		s.timer.Reset(s.gap)
	}
}

func (s *silence) stop() {
	if s != nil {
		s.stopped.Store(true)
		s.timer.Stop()
	}
}
