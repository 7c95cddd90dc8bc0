package agent

import (
	"time"

	"go.uber.org/zap"
)

// Times of an agent that was paused.
const (
	// pauseNoticed is the gap between two ticks that tells of a pause.
	pauseNoticed = 2 * time.Second
	// mistrustTime is how long new work is refused after a pause while no planner
	// has told whether the server is leaving.
	mistrustTime = 5 * time.Second
)

// noticePause makes an agent that was paused refuse new work until a planner has
// spoken to it: what it knows may be old, and so may be the requests that have
// been waiting for it. a.mu is held.
func (a *Agent) noticePause(now time.Time) {
	if a.lastTick.IsZero() || now.Sub(a.lastTick) < pauseNoticed {
		return
	}
	a.log.Warn("this process was paused", zap.Duration("for", now.Sub(a.lastTick)))
	a.lastTick = now
	a.mistrust = now.Add(mistrustTime)
	a.pauses++
	a.queue.RefuseAll(reasonPaused)
}
