package placement

import (
	"cmp"
	"slices"

	"rockcleat/fleet"
	"rockcleat/table"
)

// A relocation is a copy to be loaded on another accelerator so that the one it
// sits on now can go.
type relocation struct {
	row table.Row
	to  *acc
}

// relocate makes room for a row whose memory is free only in pieces: it loads
// the copies of one accelerator, those with the least memory, elsewhere as well.
// When they are ready the copies there are no longer the last, and makeRoom
// drops them.
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

// unsettled reports whether memory on the accelerator is about to change anyway.
func (s *plan) unsettled(x *acc) bool {
	for _, state := range x.members {
		if state != fleet.StateReady {
			return true
		}
	}
	return false
}

// relocations returns the copies to load elsewhere so that the memory can be
// freed on x, and their size in MiB; nil if there is no way.
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

// movable returns the rows of the copies on x that no adapter there needs, the
// largest first, so that few are moved.
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

// elsewhere returns the accelerator with the least room that still takes the
// row beside what has been given to it, or nil.
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
