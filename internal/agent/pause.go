package agent

import (
	"time"

	"go.uber.org/zap"

	"rockcleat/internal/wire"
)

// Parameters of the detection of pauses of this process.
const (
	// minPause is the minimum gap between two ticks that counts as a pause.
	minPause = 2 * time.Second
	// refusalTimeAfterPause is the maximum time after a pause during which new requests are
	// refused. It ends earlier if the agent receives a planner's message that was sent after the
	// pause and does not list the agent as leaving.
	refusalTimeAfterPause = 5 * time.Second
)

// A plannerContact records which planner last contacted the agent and when. It also records pauses
// of this process, after which the agent's state may be out of date.
type plannerContact struct {
	// token is the newest fencing token of a planner. addr is the control address of the planner
	// that last contacted the agent, and lastExchange the time at which it did.
	token        int64
	addr         string
	lastExchange time.Time
	// lastTick is the time at which the queue was last processed. The agent refuses new requests
	// until refuseUntil.
	lastTick    time.Time
	refuseUntil time.Time
	// pauses is the number of pauses. A message that contains the current number was sent after the
	// last pause.
	pauses int
}

// accept records a planner's message and reports whether no newer planner is known. An agent that
// began to leave during a pause goes on refusing: other servers have taken its requests over, and
// those that still arrive were sent before the entries noticed.
func (c *plannerContact) accept(msg wire.Exchange, now time.Time) bool {
	if msg.Token < c.token {
		return false
	}
	c.token, c.addr, c.lastExchange = msg.Token, msg.From, now
	if msg.Pauses == c.pauses && !msg.Leaving {
		c.refuseUntil = time.Time{}
	}
	return true
}

// recordPause records a pause if the last tick is too long ago. It returns the length of the pause,
// or 0 if there was none.
func (c *plannerContact) recordPause(now time.Time) time.Duration {
	gap := now.Sub(c.lastTick)
	if c.lastTick.IsZero() || gap < minPause {
		return 0
	}
	c.lastTick = now
	c.refuseUntil = now.Add(refusalTimeAfterPause)
	c.pauses++
	return gap
}

// handlePause refuses the waiting requests if the process was paused, since they and the agent's
// state may be out of date. New requests are refused until a planner's message sent after the pause
// arrives or refusalTimeAfterPause has passed. a.mu must be held.
func (a *Agent) handlePause(now time.Time) {
	gap := a.planner.recordPause(now)
	if gap == 0 {
		return
	}
	a.log.Warn("process was paused", zap.Duration("for", gap))
	a.workload.queue.RefuseAll(reasonPaused)
}

// pausedSince reports whether the process was paused after it had counted the given number of
// pauses. A request granted a slot before a pause must not be sent after it.
func (a *Agent) pausedSince(pauses int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handlePause(a.clock.Now())
	return a.planner.pauses != pauses
}
