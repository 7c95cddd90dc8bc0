package agent

import (
	"time"

	"go.uber.org/zap"

	"rockcleat/internal/wire"
)

// Times of pauses of this process.
const (
	// pauseNoticed is the minimum gap between two ticks that counts as a pause.
	pauseNoticed = 2 * time.Second
	// distrustTime is the maximum time after a pause during which new requests are refused. A
	// planner that has contacted the agent since the pause ends it earlier.
	distrustTime = 5 * time.Second
)

// A contact is the agent's state of its contact with planners, and of the pauses of this process,
// after which its information may be out of date.
type contact struct {
	// token is the newest fencing token of a planner. planner is the control address of the planner
	// that last contacted the agent, and exchanged the time at which it did.
	token     int64
	planner   string
	exchanged time.Time
	// lastTick is the time at which the queue was last processed. Until distrustUntil the agent
	// refuses new requests.
	lastTick      time.Time
	distrustUntil time.Time
	// pauses is the number of pauses. A message that contains the current number was sent after the
	// last pause.
	pauses int
}

// accept records a planner's message and reports whether no newer planner is known.
func (c *contact) accept(x wire.Exchange, now time.Time) bool {
	if x.Token < c.token {
		return false
	}
	c.token, c.planner, c.exchanged = x.Token, x.From, now
	if x.Pauses == c.pauses {
		c.distrustUntil = time.Time{}
	}
	return true
}

// notePause records a pause if the last tick is too long ago. It returns the length of the pause,
// or 0 if there was none.
func (c *contact) notePause(now time.Time) time.Duration {
	gap := now.Sub(c.lastTick)
	if c.lastTick.IsZero() || gap < pauseNoticed {
		return 0
	}
	c.lastTick = now
	c.distrustUntil = now.Add(distrustTime)
	c.pauses++
	return gap
}

// noticePause refuses the waiting requests if the process was paused, since they and the agent's
// information may be out of date. New requests are refused until a planner contacts the agent or
// distrustTime has passed. a.mu must be held.
func (a *Agent) noticePause(now time.Time) {
	gap := a.contact.notePause(now)
	if gap == 0 {
		return
	}
	a.log.Warn("process was paused", zap.Duration("for", gap))
	a.work.queue.RefuseAll(reasonPaused)
}
