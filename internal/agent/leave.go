package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"rockcleat/internal/wire"
)

// Leave begins the leaving: entries and the planner learn of it at once, and for
// the leave time the agent still takes requests that have nowhere else to go.
// After that it takes no new work and sends waiting requests elsewhere.
func (a *Agent) Leave(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return
	}
	a.leaving = true
	a.closeAt = a.clock.Now().Add(a.settings.LeaveTime.Std())
	a.log.Info("leaving", zap.String("reason", reason), zap.Int("running", a.queue.Running()))
	a.nudgePlanner()
}

// LeaveForGood leaves whatever the platform's list says.
func (a *Agent) LeaveForGood(reason string) {
	a.Leave(reason)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
}

// closed reports whether the agent takes no new work any more; a.mu is held.
func (a *Agent) closed() bool { return a.leaving && !a.clock.Now().Before(a.closeAt) }

// nudgePlanner asks the planner to exchange messages now; a.mu is held.
func (a *Agent) nudgePlanner() {
	addr := a.planner
	if addr == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), nudgeTimeout)
		defer cancel()
		err := a.peers.Post(ctx, addr, wire.PathNudge, wire.Nudge{Server: a.settings.ID}, nil)
		if err != nil {
			a.log.Debug("planner not nudged", zap.Error(err))
		}
	}()
}

// nudgeTimeout bounds a message to the planner.
const nudgeTimeout = time.Second

// heed leaves when the platform's list says so. Should a later version of the list
// say otherwise, the agent stays: what made it leave was about its VM's former
// life. It does so under a new incarnation, since others have marked the old one.
func (a *Agent) heed(x wire.Exchange) {
	if x.Leaving {
		a.Leave("the platform's list says so")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if x.Leaving {
		a.listed = max(a.listed, x.List)
		return
	}
	if a.stopping || !a.leaving || a.listed == 0 || x.List <= a.listed {
		return
	}
	a.leaving, a.listed = false, 0
	a.incarnation = uuid.NewString()
	a.log.Info("not leaving after all: a later list says so", zap.Uint64("list", x.List))
}
