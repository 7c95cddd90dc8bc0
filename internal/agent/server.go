package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/ledger"
	"rockcleat/placement"
)

// A serverState is the agent's view of its backend server.
type serverState struct {
	ledger ledger.Ledger
	slots  *slotTable
	// unloads are the unload orders whose replicas are still draining.
	unloads map[replicaID]placement.Order
	// statusFailures is the number of consecutive failed status calls.
	statusFailures int
	// tookOverAt is the time at which the agent acquired its fencing token. statusCurrent reports
	// whether the last status was requested after that; an older one may lack the effect of orders
	// of an earlier agent.
	tookOverAt    time.Time
	statusCurrent bool
	// engineResponds reports whether the engine responds to status calls. It is always true for a
	// plain service.
	engineResponds bool
	// version is the version of lastRecord, the record that the planner gets.
	version    uint64
	lastRecord fleet.Server
}

func newServerState() serverState {
	return serverState{slots: newSlotTable(), unloads: make(map[replicaID]placement.Order)}
}

// stepStatus reads the engine's status and applies it.
func (a *Agent) stepStatus(now time.Time) {
	requestedAt := a.clock.Now()
	status, err := a.engine.Status(context.Background())
	if err != nil {
		a.statusFailed(err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.statusFailures = 0
	a.server.ledger.ApplyReport(ledger.Report{MemoryMiB: status.MemoryMiB, Residents: status.Residents, Finished: status.Finished}, now)
	a.server.slots.setResidents(status.Residents, len(status.MemoryMiB), status.Slots)
	a.resumeReplicas()
	a.server.engineResponds = true
	a.server.statusCurrent = requestedAt.After(a.server.tookOverAt)
}

// maxStatusFailures is the number of consecutive failed status calls after which the engine's
// models count as not loaded.
const maxStatusFailures = 5

// statusFailed counts a failed status call. After maxStatusFailures the agent serves no models
// until the engine responds again.
func (a *Agent) statusFailed(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.statusFailures++
	if a.server.statusFailures != maxStatusFailures {
		return
	}
	a.log.Warn("engine does not respond", zap.Error(err))
	a.server.engineResponds = false
	a.requestExchange()
	a.server.slots.setResidents(nil, 0, a.server.slots.slotsPerAccelerator)
}

// resumeReplicas makes the replicas accept requests again whose unload order has ended without
// unloading them. a.mu must be held.
func (a *Agent) resumeReplicas() {
	for id := range a.server.slots.draining {
		if _, waiting := a.server.unloads[id]; !waiting && !a.server.ledger.HasIntentFor(id.name) {
			a.server.slots.resume(id)
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
	} else if a.server.engineResponds {
		s.Accelerators = a.server.ledger.Accelerators()
		s.Residents = a.server.slots.withDraining(a.server.ledger.Residents())
		s.Slots = a.server.slots.slotsPerAccelerator
	}
	s.Demand = a.workload.demandLevels(now)
	if a.server.version == 0 || !s.EqualExceptVersion(a.server.lastRecord) {
		a.server.version++
		a.server.lastRecord = s
	}
	return a.server.lastRecord
}
