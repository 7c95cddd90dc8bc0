package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"rockcleat/fleet"
	"rockcleat/table"
)

// dropUnlisted unloads what the table no longer names.
func (s *plan) dropUnlisted() {
	listed := make(map[string]bool, len(s.in.Rows))
	for _, r := range s.in.Rows {
		listed[r.Name] = true
	}
	for _, x := range s.accs {
		for _, name := range slices.Sorted(maps.Keys(x.members)) {
			if !listed[name] && x.members[name] == fleet.StateReady {
				s.unload(x, name, "not in the table")
			}
		}
	}
}

// byUrgency returns the rows with fewer copies than wanted, models before
// adapters, higher tiers and greater demand first.
func (s *plan) byUrgency(want func(r table.Row) bool) []table.Row {
	var rows []table.Row
	for _, r := range s.in.Rows {
		if r.Kind != table.KindService && want(r) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int {
		return cmp.Or(
			cmp.Compare(kindRank(a.Kind), kindRank(b.Kind)),
			cmp.Compare(b.Tier.Factor(), a.Tier.Factor()),
			cmp.Compare(s.demand[b.Name], s.demand[a.Name]),
			cmp.Compare(s.in.Sizes[b.Name].TotalMiB(), s.in.Sizes[a.Name].TotalMiB()),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return rows
}

func kindRank(k table.Kind) int {
	if k == table.KindModel {
		return 0
	}
	return 1
}

// placeFirst gives every name its first copy.
func (s *plan) placeFirst() {
	rows := s.byUrgency(func(r table.Row) bool { return s.copies[r.Name] == 0 && s.wanted[r.Name] > 0 })
	for _, r := range rows {
		if s.full() {
			return
		}
		if x := s.roomFor(r); x != nil {
			s.load(x, r, "no copy")
			continue
		}
		reason := "room for " + r.Name + ", which has no copy"
		if !s.makeRoom(r, reason, 0) {
			s.relocate(r, reason)
		}
	}
}

// placeExtra adds copies that demand justifies.
func (s *plan) placeExtra() {
	rows := s.byUrgency(func(r table.Row) bool { return s.copies[r.Name] > 0 && s.copies[r.Name] < s.wanted[r.Name] })
	for _, r := range rows {
		if s.full() {
			return
		}
		reason := fmt.Sprintf("demand %.1f slots, %d of %d copies", s.demand[r.Name], s.copies[r.Name], s.wanted[r.Name])
		if x := s.roomFor(r); x != nil {
			s.load(x, r, reason)
			continue
		}
		s.makeRoom(r, "room for "+r.Name+": "+reason, s.opts.Hold)
	}
}

// full reports whether the plan has as many orders or loads as it may.
func (s *plan) full() bool {
	return len(s.orders) >= s.opts.MaxOrders || s.loads >= s.opts.MaxLoads
}

// roomFor returns the least busy accelerator that can take the row, or nil.
func (s *plan) roomFor(r table.Row) *acc {
	need := s.in.Sizes[r.Name].TotalMiB()
	var best *acc
	for _, x := range s.accs {
		if !s.suits(x, r) || x.free < need {
			continue
		}
		if best == nil || s.better(x, best) {
			best = x
		}
	}
	return best
}

// better prefers the less busy accelerator and, between equals, the emptier one.
func (s *plan) better(a, b *acc) bool {
	if math.Abs(a.demand-b.demand) > levelUnit {
		return a.demand < b.demand
	}
	return a.free > b.free
}

// suits reports whether the accelerator lacks the row and, for an adapter, has
// its base.
func (s *plan) suits(x *acc, r table.Row) bool {
	if _, has := x.members[r.Name]; has {
		return false
	}
	return r.Kind != table.KindAdapter || x.members[r.Base] == fleet.StateReady
}

// makeRoom unloads copies that are not needed from one accelerator until the
// row would fit there, keeps the room for it and reports whether there is such an
// accelerator; held says how long a copy must have been surplus.
func (s *plan) makeRoom(r table.Row, reason string, held time.Duration) bool {
	need := s.in.Sizes[r.Name].TotalMiB()
	var best *acc
	var bestEvictions []string
	for _, x := range s.accs {
		if !s.suits(x, r) {
			continue
		}
		evictions, ok := s.evictions(x, need-x.free-x.freeing, held)
		if ok && (best == nil || len(evictions) < len(bestEvictions)) {
			best, bestEvictions = x, evictions
		}
	}
	if best == nil {
		return false
	}
	for _, name := range bestEvictions {
		s.unload(best, name, reason)
	}
	best.free -= need
	return true
}

// evictions returns copies whose unloading frees the memory, and whether there are
// enough; none are needed for memory that is being freed already.
func (s *plan) evictions(x *acc, need int, held time.Duration) ([]string, bool) {
	if need <= 0 {
		return nil, true
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(x.members)) {
		if x.members[name] == fleet.StateReady && s.evictable(name, held) && !s.carries(x, name) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(s.demand[a], s.demand[b]) })
	for i, name := range names {
		need -= s.in.Sizes[name].TotalMiB()
		if need <= 0 {
			return names[:i+1], true
		}
	}
	return nil, false
}

// evictable reports whether a copy of the name may be evicted: never the last one that
// serves, whatever is being loaded. A first copy of another name (held 0) may evict any copy
// but the last; demand may evict surplus ones only.
func (s *plan) evictable(name string, held time.Duration) bool {
	if s.ready[name] <= 1 {
		return false
	}
	if held == 0 {
		return true
	}
	since, ok := s.surplus[name]
	return ok && s.copies[name] > s.wanted[name] && s.in.Now.Sub(since) >= held
}

// carries reports whether an adapter on the accelerator needs the model there.
func (s *plan) carries(x *acc, name string) bool {
	return slices.ContainsFunc(s.adapters[name], func(adapter string) bool {
		_, has := x.members[adapter]
		return has
	})
}
