package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"rockcleat/internal/wire"
)

// A membership records whether an agent is leaving. A leaving agent finishes its requests. Entries
// send it new ones only if no other server can run them.
type membership struct {
	leaving bool
	// stopping reports whether the agent is leaving because it stops or was superseded.
	// leavingListVersion is the latest version of the platform's list of VMs that lists the agent as
	// leaving.
	stopping           bool
	leavingListVersion uint64
	// closeAt is the time from which a leaving agent refuses new requests.
	closeAt time.Time
}

// closed reports whether the agent refuses new requests.
func (m *membership) closed(now time.Time) bool { return m.leaving && !now.Before(m.closeAt) }

// applyList records whether a version of the platform's list of VMs lists the agent as leaving. It
// reports whether this canceled the leaving, which is the case if a later version does not list the
// agent as leaving and the agent is not stopping: the earlier version then referred to a previous VM
// of the same name.
func (m *membership) applyList(leaving bool, listVersion uint64) (canceled bool) {
	if leaving {
		m.leavingListVersion = max(m.leavingListVersion, listVersion)
		return false
	}
	if m.stopping || !m.leaving || m.leavingListVersion == 0 || listVersion <= m.leavingListVersion {
		return false
	}
	m.leaving, m.leavingListVersion = false, 0
	return true
}

// Leave marks the agent as leaving and notifies the planner. For the leave time the agent still
// accepts requests that no other server can run. After that it refuses new and waiting requests.
func (a *Agent) Leave(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.membership.leaving {
		return
	}
	a.membership.leaving = true
	a.membership.closeAt = a.clock.Now().Add(a.settings.LeaveTime.Std())
	a.log.Info("leaving", zap.String("reason", reason), zap.Int("running", a.workload.queue.Running()))
	a.requestExchange()
}

// LeavePermanently is like Leave, but a later version of the platform's list of VMs does not cancel
// it.
func (a *Agent) LeavePermanently(reason string) {
	a.Leave(reason)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.membership.stopping = true
}

// closed reports whether the agent refuses new requests. a.mu must be held.
func (a *Agent) closed() bool { return a.membership.closed(a.clock.Now()) }

// requestExchange asks the planner for an immediate exchange, in the background. a.mu must be held.
func (a *Agent) requestExchange() {
	addr := a.planner.addr
	if addr == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestExchangeTimeout)
		defer cancel()
		err := a.entryClient.Post(ctx, addr, wire.PathExchangeTrigger, wire.ExchangeTrigger{Server: a.settings.ID}, nil)
		if err != nil {
			a.log.Debug("requesting an exchange with the planner failed", zap.Error(err))
		}
	}()
}

// requestExchangeTimeout bounds the request to the planner.
const requestExchangeTimeout = time.Second

// applyList marks the agent as leaving or not according to the platform's list of VMs. An agent
// that is no longer leaving gets a new incarnation, because entries have marked the previous one as
// leaving.
func (a *Agent) applyList(msg wire.Exchange) {
	if msg.Leaving {
		a.Leave("the platform's list says so")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.membership.applyList(msg.Leaving, msg.List) {
		return
	}
	a.incarnation = uuid.NewString()
	a.log.Info("no longer leaving; a later list of VMs does not list the agent as leaving", zap.Uint64("list", msg.List))
}
