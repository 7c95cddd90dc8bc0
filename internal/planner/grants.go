package planner

import (
	"cmp"
	"maps"
	"slices"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// A grantBook divides rows' concurrency among a cell's agents so that the sum
// of what the agents may believe to have never exceeds a row's limit.
type grantBook struct {
	// believed holds, by agent and row, the most that the agent may believe to
	// have; an agent that is missing has not reported yet.
	believed map[string]map[string]int
}

func newGrantBook() *grantBook { return &grantBook{believed: make(map[string]map[string]int)} }

// report sets the grants that an agent reports.
func (b *grantBook) report(agent string, grants []wire.ConcurrencyGrant) {
	has := make(map[string]int)
	for _, g := range grants {
		has[g.Row] = g.Max
	}
	b.believed[agent] = has
}

// sending counts grants that are about to be sent and may or may not arrive.
func (b *grantBook) sending(agent string, grants []wire.ConcurrencyGrant) {
	for _, g := range grants {
		b.believed[agent][g.Row] = max(b.believed[agent][g.Row], g.Max)
	}
}

// forget drops an agent whose VM has left the platform's list.
func (b *grantBook) forget(agent string) { delete(b.believed, agent) }

// knows reports whether the agent has reported.
func (b *grantBook) knows(agent string) bool {
	_, ok := b.believed[agent]
	return ok
}

// others returns the most of a row that all agents but one may believe to have.
func (b *grantBook) others(agent, row string) int {
	sum := 0
	for id, has := range b.believed {
		if id != agent {
			sum += has[row]
		}
	}
	return sum
}

// next returns the grants to send to an agent: its part of each limited row
// that it serves, within the room that the others' parts leave. While an agent of the
// cell has not reported no grant rises.
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

// partOf returns the part of a limit that falls to the cell.
type partOf func(limit int) int

// cellPart divides a limit evenly over the cells, the first ones getting the rest.
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

// share returns an agent's even part of a limit among the servers that are
// ready for the row.
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
