package entry

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"rockcleat/clock"
)

// A stallTimer cancels an attempt if the agent sends nothing for a given time.
type stallTimer struct {
	limit time.Duration
	timer clock.Timer
}

// newStallTimer starts a timer that calls cancel after limit.
func newStallTimer(c clock.Service, limit time.Duration, cancel func()) *stallTimer {
	return &stallTimer{limit: limit, timer: c.AfterFunc(limit, cancel)}
}

func (s *stallTimer) restart() { s.timer.Reset(s.limit) }

func (s *stallTimer) stop() { s.timer.Stop() }

// trace returns a context whose requests restart the timer on each interim response. An agent sends
// these as heartbeats while the request waits or runs.
func (s *stallTimer) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			s.restart()
			return nil
		},
	})
}
