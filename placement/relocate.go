package placement

import (
	"cmp"
	"slices"

	"rockcleat/fleet"
	"rockcleat/table"
)

// A relocation is the load of a replica on another accelerator, so that the present replica can be evicted.
type relocation struct {
	row table.Row
	to  *acc
}

// relocate prepares room for a row when the free memory is fragmented over several accelerators. It chooses the
// accelerator with the least memory to relocate and loads replicas of that accelerator elsewhere too. When they
// are ready, the replicas on the chosen accelerator are no longer the last, and makeRoom evicts them.
func (s *plan) relocate(r table.Row, reason string) {
	need := s.in.Sizes[r.Name].TotalMiB()
	var best []relocation
	bestMiB := 0
	for _, x := range s.accs {
		if !s.suits(x, r) || s.unsettled(x) {
			continue
		}
		moves, mib := s.relocations(x, need-x.free)
		if moves != nil && (best == nil || mib < bestMiB) {
			best, bestMiB = moves, mib
		}
	}
	for _, m := range best {
		s.load(m.to, m.row, reason)
	}
}

// unsettled reports whether a load or unload is in progress on the accelerator.
func (s *plan) unsettled(x *acc) bool {
	for _, state := range x.members {
		if state != fleet.StateReady {
			return true
		}
	}
	return false
}

// relocations returns the replicas to load elsewhere so that an amount of memory can be freed on x, and their total
// size in MiB. It returns nil if the memory cannot be freed.
func (s *plan) relocations(x *acc, need int) ([]relocation, int) {
	taken := make(map[*acc]int)
	var moves []relocation
	total := 0
	for _, row := range s.movable(x) {
		mib := s.in.Sizes[row.Name].TotalMiB()
		to := s.elsewhere(x, row, mib, taken)
		if to == nil {
			continue
		}
		taken[to] += mib
		moves = append(moves, relocation{row: row, to: to})
		total += mib
		if total >= need {
			return moves, total
		}
	}
	return nil, 0
}

// movable returns the rows that are on x without an adapter there that depends on them, the largest first, so that
// few have to be moved.
func (s *plan) movable(x *acc) []table.Row {
	var rows []table.Row
	for _, r := range s.in.Rows {
		_, has := x.members[r.Name]
		if has && !s.carries(x, r.Name) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int {
		return cmp.Compare(s.in.Sizes[b.Name].TotalMiB(), s.in.Sizes[a.Name].TotalMiB())
	})
	return rows
}

// elsewhere returns the accelerator other than x with the least free memory in which the row fits (best fit), or
// nil if there is none. taken is the memory of other relocations to each accelerator, in MiB.
func (s *plan) elsewhere(x *acc, r table.Row, mib int, taken map[*acc]int) *acc {
	var best *acc
	for _, o := range s.accs {
		room := o.free - taken[o]
		if o == x || !s.suits(o, r) || room < mib {
			continue
		}
		if best == nil || room < best.free-taken[best] {
			best = o
		}
	}
	return best
}
