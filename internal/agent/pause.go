package agent

import (
	"time"

	"go.uber.org/zap"

	"rockcleat/internal/wire"
)

// Times of an agent that was paused.
const (
	// pauseNoticed is the gap between two ticks from which on a pause is assumed.
	pauseNoticed = 2 * time.Second
	// distrustTime is how long new work is refused after a pause while no planner has
	// said whether the server is leaving.
	distrustTime = 5 * time.Second
)

// A contact is the agent's contact with planners, and the pauses of this process that make
// what it knows doubtful.
type contact struct {
	// token is the newest fencing token of a planner, planner the control address of the
	// one that spoke last, and exchanged when it did.
	token     int64
	planner   string
	exchanged time.Time
	// lastTick is when the queue's system last ran, and distrustUntil until when the
	// agent, having been paused, takes no new work unless a planner speaks to it.
	lastTick      time.Time
	distrustUntil time.Time
	// pauses counts the pauses; a planner that names the count has spoken since.
	pauses int
}

// accept notes a planner's message and reports whether no newer planner is known.
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

// notePause returns for how long the process has been paused; 0 if it has not.
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

// noticePause makes an agent that was paused refuse new work until a planner has
// spoken to it: what it knows may be old, and so may be the requests that have been
// waiting for it. a.mu is held.
func (a *Agent) noticePause(now time.Time) {
	gap := a.contact.notePause(now)
	if gap == 0 {
		return
	}
	a.log.Warn("this process was paused", zap.Duration("for", gap))
	a.work.queue.RefuseAll(reasonPaused)
}
