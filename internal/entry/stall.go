package entry

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"rockcleat/clock"
)

// A stallTimer cancels an attempt whose server sends nothing for too long.
type stallTimer struct {
	limit time.Duration
	timer clock.Timer
}

// newStallTimer starts the time.
func newStallTimer(c clock.Service, limit time.Duration, cancel func()) *stallTimer {
	return &stallTimer{limit: limit, timer: c.AfterFunc(limit, cancel)}
}

// progress starts the time anew.
func (s *stallTimer) progress() { s.timer.Reset(s.limit) }

// stop ends the timer.
func (s *stallTimer) stop() { s.timer.Stop() }

// trace makes the agent's interim responses, which show that it is alive while the request
// waits or runs, count as progress.
func (s *stallTimer) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			s.progress()
			return nil
		},
	})
}
