package planner

import (
	"cmp"
	"maps"
	"slices"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// A grantBook divides the concurrency limits of rows among a cell's agents. For each row the sum of
// the grants that the agents may hold never exceeds the limit.
type grantBook struct {
	// believed maps an agent and a row to the largest grant that the agent may hold. Agents that
	// have not reported yet are missing.
	believed map[string]map[string]int
}

func newGrantBook() *grantBook { return &grantBook{believed: make(map[string]map[string]int)} }

// report replaces an agent's grants by those that it has reported.
func (b *grantBook) report(agent string, grants []wire.ConcurrencyGrant) {
	has := make(map[string]int)
	for _, g := range grants {
		has[g.Row] = g.Max
	}
	b.believed[agent] = has
}

// sending records grants before they are sent. Since the message may be lost, the larger of the old
// and the new grant counts until the agent reports.
func (b *grantBook) sending(agent string, grants []wire.ConcurrencyGrant) {
	for _, g := range grants {
		b.believed[agent][g.Row] = max(b.believed[agent][g.Row], g.Max)
	}
}

// forget removes an agent that has left the cell.
func (b *grantBook) forget(agent string) { delete(b.believed, agent) }

// knows reports whether the agent has reported its grants.
func (b *grantBook) knows(agent string) bool {
	_, ok := b.believed[agent]
	return ok
}

// others returns the sum of the grants of a row that all other agents may hold.
func (b *grantBook) others(agent, row string) int {
	sum := 0
	for id, has := range b.believed {
		if id != agent {
			sum += has[row]
		}
	}
	return sum
}

// next returns the grants to send to an agent: for each limited row that it serves, an even share
// of the cell's part, reduced to what the other agents' grants leave. A grant increases only if
// complete reports that all agents of the cell have reported.
func (b *grantBook) next(agent string, rows []table.Row, servers []fleet.Server, part partOf, complete bool) []wire.ConcurrencyGrant {
	var grants []wire.ConcurrencyGrant
	for _, r := range rows {
		if r.Concurrency == 0 {
			continue
		}
		limit := part(r.Concurrency)
		target := share(agent, r.Name, limit, servers)
		now := b.believed[agent][r.Name]
		if target > now {
			room := max(limit-b.others(agent, r.Name), now)
			target = min(target, room)
			if !complete {
				target = now
			}
		}
		if target > 0 {
			grants = append(grants, wire.ConcurrencyGrant{Row: r.Name, Max: target})
		}
	}
	return grants
}

// A partOf returns the cell's part of a limit.
type partOf func(limit int) int

// cellPart divides limits evenly among the cells. The first cells in the order of ids get one more
// where a limit does not divide evenly.
func cellPart(cell string, cells []string) partOf {
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

// share returns an agent's even share of a limit among the servers that are ready to serve the row,
// or 0 if the agent's server is not one of them.
func share(agent, row string, limit int, servers []fleet.Server) int {
	ready := make(map[string]bool)
	for _, s := range servers {
		if !s.Gone && !s.Leaving && (s.Has(row) || slices.Contains(s.Services, row)) {
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
