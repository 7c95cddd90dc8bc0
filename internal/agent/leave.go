package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"rockcleat/internal/wire"
)

// A membership says whether the agent's server is leaving.
type membership struct {
	leaving bool
	// stopping says that the agent leaves by its own stop, or because another has taken
	// over; listed is the version of the platform's list that last said that it leaves.
	stopping bool
	listed   uint64
	// closeAt is when a leaving agent takes no new work any more.
	closeAt time.Time
}

// closed reports whether the agent takes no new work any more.
func (m *membership) closed(now time.Time) bool { return m.leaving && !now.Before(m.closeAt) }

// noteListed notes what a version of the platform's list says, and reports whether the agent stays
// after all. Should a later version of the list say that it does not leave, it stays: what
// made it leave was about its VM's former life.
func (m *membership) noteListed(leaving bool, list uint64) (stays bool) {
	if leaving {
		m.listed = max(m.listed, list)
		return false
	}
	if m.stopping || !m.leaving || m.listed == 0 || list <= m.listed {
		return false
	}
	m.leaving, m.listed = false, 0
	return true
}

// Leave begins the leaving: entries and the planner learn of it at once, and for
// the leave time the agent still takes requests that have nowhere else to go.
// After that it takes no new work and sends waiting requests elsewhere.
func (a *Agent) Leave(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.membership.leaving {
		return
	}
	a.membership.leaving = true
	a.membership.closeAt = a.clock.Now().Add(a.settings.LeaveTime.Std())
	a.log.Info("leaving", zap.String("reason", reason), zap.Int("running", a.work.queue.Running()))
	a.nudgePlanner()
}

// LeaveForGood leaves whatever the platform's list says.
func (a *Agent) LeaveForGood(reason string) {
	a.Leave(reason)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.membership.stopping = true
}

// closed reports whether the agent takes no new work any more; a.mu is held.
func (a *Agent) closed() bool { return a.membership.closed(a.clock.Now()) }

// nudgePlanner asks the planner to exchange messages now; a.mu is held.
func (a *Agent) nudgePlanner() {
	addr := a.contact.planner
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

// followList leaves when the platform's list says so. If the agent stays after all, it does so under
// a new incarnation, since others have marked the old one.
func (a *Agent) followList(x wire.Exchange) {
	if x.Leaving {
		a.Leave("the platform's list says so")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.membership.noteListed(x.Leaving, x.List) {
		return
	}
	a.incarnation = uuid.NewString()
	a.log.Info("not leaving after all: a later list says so", zap.Uint64("list", x.List))
}
