package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/ledger"
	"rockcleat/placement"
)

// A serverState holds the agent's view of its backend server.
type serverState struct {
	ledger ledger.Ledger
	slots  *slotTable
	// unloads are orders that wait for their copies to drain.
	unloads map[copyID]placement.Order
	// failures is the number of reports that the engine has missed in a row.
	failures int
	// armedAt is when the agent took over the record of its server, and current says
	// that the last report was asked for after that: an older one may lack what a former
	// agent has done meanwhile.
	armedAt time.Time
	current bool
	// reported says that the engine answers.
	reported bool
	// version is that of lastRecord, the record that the planner gets.
	version    uint64
	lastRecord fleet.Server
}

func newServerState() serverState {
	return serverState{slots: newSlotTable(), unloads: make(map[copyID]placement.Order)}
}

// stepStatus applies the engine's report.
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

// maxFailures is the number of reports in a row that an engine may miss before its models
// count as not there: half a second.
const maxFailures = 5

// noStatus counts a missed report; an engine that misses several serves nothing.
func (a *Agent) noStatus(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.failures++
	if a.server.failures != maxFailures {
		return
	}
	a.log.Warn("the engine does not answer", zap.Error(err))
	a.server.reported = false
	a.nudgePlanner()
	a.server.slots.setResidents(nil, 0, a.server.slots.perAccelerator)
}

// reopen lets copies take requests again whose unload came to nothing; a.mu is held.
func (a *Agent) reopen() {
	for p := range a.server.slots.draining {
		if _, waits := a.server.unloads[p]; !waits && !a.server.ledger.Busy(p.name) {
			a.server.slots.undrain(p)
		}
	}
}

// serverRecord returns the record for the planner, with a new version if it
// differs from the last one; a.mu is held.
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
