package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/ledger"
	"rockcleat/placement"
)

// A serverState is the agent's state of its backend server.
type serverState struct {
	ledger ledger.Ledger
	slots  *slotTable
	// unloads are the orders that wait for their copies to drain.
	unloads map[copyID]placement.Order
	// failures is the number of consecutive failed status calls.
	failures int
	// armedAt is the time at which the agent acquired its fencing token. current reports whether
	// the last status was requested after that; an older one may lack the effect of orders of an
	// earlier agent.
	armedAt time.Time
	current bool
	// reported reports whether the engine responds. It is always true for a plain service.
	reported bool
	// version is the version of lastRecord, the record that the planner gets.
	version    uint64
	lastRecord fleet.Server
}

func newServerState() serverState {
	return serverState{slots: newSlotTable(), unloads: make(map[copyID]placement.Order)}
}

// stepStatus reads the engine's status and applies it.
func (a *Agent) stepStatus(now time.Time) {
	asked := a.clock.Now()
	st, err := a.engine.Status(context.Background())
	if err != nil {
		a.noStatus(err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.failures = 0
	a.server.ledger.Settle(ledger.Report{MemoryMiB: st.MemoryMiB, Residents: st.Residents, Finished: st.Finished}, now)
	a.server.slots.setResidents(st.Residents, len(st.MemoryMiB), st.Slots)
	a.reopen()
	a.server.reported = true
	a.server.current = asked.After(a.server.armedAt)
}

// maxFailures is the number of consecutive failed status calls after which the engine's models
// count as not loaded.
const maxFailures = 5

// noStatus counts a failed status call. After maxFailures the agent serves no models until the
// engine responds again.
func (a *Agent) noStatus(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.failures++
	if a.server.failures != maxFailures {
		return
	}
	a.log.Warn("engine does not respond", zap.Error(err))
	a.server.reported = false
	a.nudgePlanner()
	a.server.slots.setResidents(nil, 0, a.server.slots.perAccelerator)
}

// reopen makes copies accept requests again whose unload order has ended without unloading them.
// a.mu must be held.
func (a *Agent) reopen() {
	for p := range a.server.slots.draining {
		if _, waits := a.server.unloads[p]; !waits && !a.server.ledger.Busy(p.name) {
			a.server.slots.undrain(p)
		}
	}
}

// serverRecord returns the record for the planner, under a new version if it has changed. a.mu must
// be held.
func (a *Agent) serverRecord(now time.Time) fleet.Server {
	s := fleet.Server{
		ID: a.settings.ID, Addr: a.Addr(), Hall: a.settings.Hall, Incarnation: a.incarnation, Leaving: a.membership.leaving,
	}
	if a.isService() {
		s.Services = a.settings.Backend.Services
		s.Slots = a.settings.Backend.Slots
	} else if a.server.reported {
		s.Accelerators = a.server.ledger.Accelerators()
		s.Residents = a.server.slots.visible(a.server.ledger.Residents())
		s.Slots = a.server.slots.perAccelerator
	}
	s.Demand = a.work.demandLevels(now)
	if a.server.version == 0 || !s.Same(a.server.lastRecord) {
		a.server.version++
		a.server.lastRecord = s
	}
	return a.server.lastRecord
}
