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

// unloadUnlisted unloads the models and adapters that are no longer in the table.
func (s *plan) unloadUnlisted() {
	listed := make(map[string]bool, len(s.in.Rows))
	for _, r := range s.in.Rows {
		listed[r.Name] = true
	}
	for _, x := range s.accelerators {
		for _, name := range slices.Sorted(maps.Keys(x.residents)) {
			if !listed[name] && x.residents[name] == fleet.StateReady {
				s.unload(x, name, "not in the table")
			}
		}
	}
}

// byUrgency returns the models and adapters for which want returns true, the most urgent first: models before
// adapters, then by decreasing tier, demand and size.
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

// placeMissing plans the first replica of each name that has none in the cell and a target above 0. If no accelerator
// has room, it evicts or relocates other replicas.
func (s *plan) placeMissing() {
	rows := s.byUrgency(func(r table.Row) bool { return s.replicas[r.Name] == 0 && s.targets[r.Name] > 0 })
	for _, r := range rows {
		if s.limitReached() {
			return
		}
		if x := s.leastBusyFit(r); x != nil {
			s.load(x, r, "no copy")
			continue
		}
		reason := "room for " + r.Name + ", which has no copy"
		if !s.evictFor(r, reason, 0) {
			s.relocate(r, reason)
		}
	}
}

// placeAdditional plans additional replicas for names with fewer than their target.
func (s *plan) placeAdditional() {
	rows := s.byUrgency(func(r table.Row) bool { return s.replicas[r.Name] > 0 && s.replicas[r.Name] < s.targets[r.Name] })
	for _, r := range rows {
		if s.limitReached() {
			return
		}
		reason := fmt.Sprintf("demand %.1f slots, %d of %d copies", s.demand[r.Name], s.replicas[r.Name], s.targets[r.Name])
		if x := s.leastBusyFit(r); x != nil {
			s.load(x, r, reason)
			continue
		}
		s.evictFor(r, "room for "+r.Name+": "+reason, s.opts.Hold)
	}
}

// limitReached reports whether the plan has reached the limit on orders or loads.
func (s *plan) limitReached() bool {
	return len(s.orders) >= s.opts.MaxOrders || s.loads >= s.opts.MaxLoads
}

// leastBusyFit returns the least busy accelerator with enough free memory for the row, or nil if there is none.
func (s *plan) leastBusyFit(r table.Row) *accelerator {
	need := s.in.Sizes[r.Name].TotalMiB()
	var best *accelerator
	for _, x := range s.accelerators {
		if !s.eligible(x, r) || x.free < need {
			continue
		}
		if best == nil || s.preferred(x, best) {
			best = x
		}
	}
	return best
}

// preferred reports whether a is preferred to b: it is less busy or, if both are about equally busy, has more free
// memory.
func (s *plan) preferred(a, b *accelerator) bool {
	if math.Abs(a.demand-b.demand) > levelUnit {
		return a.demand < b.demand
	}
	return a.free > b.free
}

// eligible reports whether the row may be loaded on the accelerator: it is not there yet and, for an adapter, its base
// model is ready there.
func (s *plan) eligible(x *accelerator, r table.Row) bool {
	if _, has := x.residents[r.Name]; has {
		return false
	}
	return r.Kind != table.KindAdapter || x.residents[r.Base] == fleet.StateReady
}

// evictFor evicts replicas from the accelerator that needs the fewest evictions until the row fits there, and
// reserves the memory for the row. It reports whether there is such an accelerator. See evictable for
// minSurplusTime.
func (s *plan) evictFor(r table.Row, reason string, minSurplusTime time.Duration) bool {
	need := s.in.Sizes[r.Name].TotalMiB()
	var best *accelerator
	var bestEvictions []string
	for _, x := range s.accelerators {
		if !s.eligible(x, r) {
			continue
		}
		evictions, ok := s.evictions(x, need-x.free-x.freeing, minSurplusTime)
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

// evictions returns the names to evict from an accelerator to free an amount of memory, those with the least demand
// first; ok is false if the memory cannot be freed. No evictions are needed if need is not positive.
func (s *plan) evictions(x *accelerator, need int, minSurplusTime time.Duration) ([]string, bool) {
	if need <= 0 {
		return nil, true
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(x.residents)) {
		if x.residents[name] == fleet.StateReady && s.evictable(name, minSurplusTime) && !s.hasAdapterOf(x, name) {
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

// evictable reports whether a replica of the name may be evicted. The last ready replica never is, even if another
// one is being loaded. With a minSurplusTime of 0, for the first replica of another name, any other replica may be
// evicted. Otherwise the name must have had more replicas than its target for at least minSurplusTime.
func (s *plan) evictable(name string, minSurplusTime time.Duration) bool {
	if s.ready[name] <= 1 {
		return false
	}
	if minSurplusTime == 0 {
		return true
	}
	since, ok := s.surplusSince[name]
	return ok && s.replicas[name] > s.targets[name] && s.in.Now.Sub(since) >= minSurplusTime
}

// hasAdapterOf reports whether the accelerator holds an adapter of the model.
func (s *plan) hasAdapterOf(x *accelerator, name string) bool {
	return slices.ContainsFunc(s.adapters[name], func(adapter string) bool {
		_, has := x.residents[adapter]
		return has
	})
}
