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
	to  *accelerator
}

// relocate prepares room for a row when the free memory is fragmented over several accelerators. It chooses the
// accelerator with the least memory to relocate and plans loads of its replicas on other accelerators. When they are
// ready, the replicas on the chosen accelerator are no longer the last, and a later plan evicts them (evictFor).
func (s *plan) relocate(r table.Row, reason string) {
	need := s.in.Sizes[r.Name].TotalMiB()
	var best []relocation
	bestMiB := 0
	for _, x := range s.accelerators {
		if !s.eligible(x, r) || s.hasOrderInProgress(x) {
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

// hasOrderInProgress reports whether a load or unload is in progress on the accelerator.
func (s *plan) hasOrderInProgress(x *accelerator) bool {
	for _, state := range x.residents {
		if state != fleet.StateReady {
			return true
		}
	}
	return false
}

// relocations returns the replicas to load elsewhere so that an amount of memory can be freed on x, and their total
// size in MiB. It returns nil if the memory cannot be freed.
func (s *plan) relocations(x *accelerator, need int) ([]relocation, int) {
	reserved := make(map[*accelerator]int)
	var moves []relocation
	total := 0
	for _, row := range s.movable(x) {
		mib := s.in.Sizes[row.Name].TotalMiB()
		to := s.bestFit(x, row, mib, reserved)
		if to == nil {
			continue
		}
		reserved[to] += mib
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
func (s *plan) movable(x *accelerator) []table.Row {
	var rows []table.Row
	for _, r := range s.in.Rows {
		_, has := x.residents[r.Name]
		if has && !s.hasAdapterOf(x, r.Name) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int {
		return cmp.Compare(s.in.Sizes[b.Name].TotalMiB(), s.in.Sizes[a.Name].TotalMiB())
	})
	return rows
}

// bestFit returns the accelerator other than x with the least free memory in which the row fits (best fit), or
// nil if there is none. reserved is the memory of other relocations to each accelerator, in MiB.
func (s *plan) bestFit(x *accelerator, r table.Row, mib int, reserved map[*accelerator]int) *accelerator {
	var best *accelerator
	for _, o := range s.accelerators {
		free := o.free - reserved[o]
		if o == x || !s.eligible(o, r) || free < mib {
			continue
		}
		if best == nil || free < best.free-reserved[best] {
			best = o
		}
	}
	return best
}
