package planner

import (
	"cmp"
	"maps"
	"slices"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// A grantTracker divides the concurrency limits of rows among a cell's agents. For each row the sum
// of the grants that the agents may hold never exceeds the limit.
type grantTracker struct {
	// maxHeld maps an agent and a row to the largest grant that the agent may hold. Agents that
	// have not reported yet are missing.
	maxHeld map[string]map[string]int
}

func newGrantTracker() *grantTracker { return &grantTracker{maxHeld: make(map[string]map[string]int)} }

// report replaces an agent's grants by those that it has reported.
func (t *grantTracker) report(agent string, grants []wire.ConcurrencyGrant) {
	held := make(map[string]int)
	for _, g := range grants {
		held[g.Row] = g.Max
	}
	t.maxHeld[agent] = held
}

// recordSend records grants before they are sent. Since the message may be lost, the larger of the
// old and the new grant counts until the agent reports.
func (t *grantTracker) recordSend(agent string, grants []wire.ConcurrencyGrant) {
	for _, g := range grants {
		t.maxHeld[agent][g.Row] = max(t.maxHeld[agent][g.Row], g.Max)
	}
}

// remove removes an agent that has left the cell.
func (t *grantTracker) remove(agent string) { delete(t.maxHeld, agent) }

// hasReported reports whether the agent has reported its grants.
func (t *grantTracker) hasReported(agent string) bool {
	_, ok := t.maxHeld[agent]
	return ok
}

// heldByOthers returns the sum of the grants of a row that all other agents may hold.
func (t *grantTracker) heldByOthers(agent, row string) int {
	sum := 0
	for id, held := range t.maxHeld {
		if id != agent {
			sum += held[row]
		}
	}
	return sum
}

// next returns the grants to send to an agent: for each limited row that it serves, an even share
// of the cell's part of the limit, as given by share. A grant increases only as far as the other
// agents' grants allow, and only if complete is set, which means that all agents of the cell have
// reported.
func (t *grantTracker) next(agent string, rows []table.Row, servers []fleet.Server, share limitShare, complete bool) []wire.ConcurrencyGrant {
	var grants []wire.ConcurrencyGrant
	for _, r := range rows {
		if r.MaxConcurrency == 0 {
			continue
		}
		limit := share(r.MaxConcurrency)
		target := agentShare(agent, r.Name, limit, servers)
		current := t.maxHeld[agent][r.Name]
		if target > current {
			room := max(limit-t.heldByOthers(agent, r.Name), current)
			target = min(target, room)
			if !complete {
				target = current
			}
		}
		if target > 0 {
			grants = append(grants, wire.ConcurrencyGrant{Row: r.Name, Max: target})
		}
	}
	return grants
}

// A limitShare returns the cell's part of a limit.
type limitShare func(limit int) int

// cellShare returns the limitShare of a cell. Limits are divided evenly among the cells; if a limit
// does not divide evenly, the first cells in the order of ids get one more.
func cellShare(cell string, cells []string) limitShare {
	sorted := slices.Sorted(slices.Values(cells))
	i := max(slices.Index(sorted, cell), 0)
	n := max(len(sorted), 1)
	return func(limit int) int {
		part := limit / n
		if i < limit%n {
			part++
		}
		return part
	}
}

// agentShare returns an agent's even share of a limit among the servers that are ready to serve the
// row, or 0 if the agent's server is not one of them.
func agentShare(agent, row string, limit int, servers []fleet.Server) int {
	ready := make(map[string]bool)
	for _, s := range servers {
		if !s.Removed && !s.Leaving && (s.HasReady(row) || slices.Contains(s.Services, row)) {
			ready[s.ID] = true
		}
	}
	ids := slices.SortedFunc(maps.Keys(ready), cmp.Compare[string])
	i := slices.Index(ids, agent)
	if i < 0 {
		return 0
	}
	part := limit / len(ids)
	if i < limit%len(ids) {
		part++
	}
	return part
}
