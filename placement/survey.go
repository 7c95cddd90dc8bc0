package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"rockcleat/fleet"
	"rockcleat/rendezvous"
	"rockcleat/table"
)

// A census is a summary of one cell.
type census struct {
	id string
	// copies counts the replicas of each name that are ready or being loaded.
	copies map[string]int
	// largest is the largest free memory on one accelerator, in MiB.
	largest int
}

// census returns the summary of the cell, without servers that are gone or leaving.
func (c Cell) census() census {
	n := census{id: c.ID, copies: make(map[string]int)}
	for _, s := range c.Servers {
		if s.Gone || s.Leaving {
			continue
		}
		for _, r := range s.Residents {
			if r.State != fleet.StateUnloading {
				n.copies[r.Name]++
			}
		}
		for _, a := range s.Accelerators {
			n.largest = max(n.largest, a.FreeMiB())
		}
	}
	return n
}

// survey sets the demand, the summaries of all cells and the state of the planner's own cell.
func (s *plan) survey() {
	for _, r := range s.in.Rows {
		if r.Kind == table.KindAdapter {
			s.adapters[r.Base] = append(s.adapters[r.Base], r.Name)
		}
	}
	for _, c := range s.in.Cells {
		for name, slots := range c.Demand {
			s.demand[name] += slots
		}
		s.census = append(s.census, c.census())
		if c.ID == s.in.Cell {
			s.surveyOwn(c)
		}
	}
}

// surveyOwn counts the loads in progress in the planner's own cell and adds the accelerators of its servers, except
// those that are gone or leaving.
func (s *plan) surveyOwn(c Cell) {
	for i := range c.Servers {
		srv := &c.Servers[i]
		for _, r := range srv.Residents {
			if r.State == fleet.StateLoading {
				s.loads++
			}
		}
		if srv.Gone || srv.Leaving {
			continue
		}
		s.addAccelerators(srv)
	}
}

func (s *plan) addAccelerators(srv *fleet.Server) {
	for i, a := range srv.Accelerators {
		x := &acc{server: srv, index: i, free: a.FreeMiB(), slots: srv.Slots, members: make(map[string]fleet.State)}
		for _, r := range srv.Residents {
			if r.Accelerator != i {
				continue
			}
			x.members[r.Name] = r.State
			s.countCopy(x, r)
		}
		s.accs = append(s.accs, x)
	}
}

func (s *plan) countCopy(x *acc, r fleet.Resident) {
	switch r.State {
	case fleet.StateUnloading:
		x.freeing += r.MemoryMiB
		return
	case fleet.StateReady:
		s.ready[r.Name]++
	}
	s.copies[r.Name]++
}

// decideWanted sets the target number of replicas of each name in the cell, and the demand on each accelerator.
// The base model of an adapter with a target has a target of at least 1.
func (s *plan) decideWanted() {
	s.wanted = make(map[string]int)
	total := s.totalDemand()
	slots := 1
	for _, a := range s.accs {
		slots = max(slots, a.slots)
	}
	for _, r := range s.in.Rows {
		if r.Kind == table.KindService {
			continue
		}
		perCopy := s.opts.Headroom * float64(slots)
		n := max(1, int(math.Ceil(total[r.Name]/perCopy)))
		s.wanted[r.Name] = s.ownPart(r.Name, n)
	}
	for _, r := range s.in.Rows {
		if r.Kind == table.KindAdapter && s.wanted[r.Name] > 0 {
			s.wanted[r.Base] = max(s.wanted[r.Base], 1)
		}
	}
	for _, x := range s.accs {
		share := 0.0
		for name := range x.members {
			share += s.demand[name] / float64(max(s.copies[name], 1))
		}
		x.demand = share
	}
}

// totalDemand returns the demand by name. The demand of an adapter counts for its base model too.
func (s *plan) totalDemand() map[string]float64 {
	total := maps.Clone(s.demand)
	for _, r := range s.in.Rows {
		if r.Kind == table.KindAdapter {
			total[r.Base] += s.demand[r.Name]
		}
	}
	return total
}

// ownPart returns how many of n replicas of a name the planner's cell should hold. Replicas that exist count for
// the cell that holds them. The rest are assigned in turn to the cells with room, in the order of their rendezvous
// weights, so that cells that see the same records agree without messages.
func (s *plan) ownPart(name string, n int) int {
	key := rendezvous.Key(name)
	cells := slices.SortedFunc(slices.Values(s.census), func(a, b census) int {
		return cmp.Compare(rendezvous.Weight(b.id, key), rendezvous.Weight(a.id, key))
	})
	own := 0
	for _, c := range cells {
		part := min(c.copies[name], n)
		n -= part
		if c.id == s.in.Cell {
			own += part
		}
	}
	takers := s.takers(cells, name)
	for i := range n {
		if takers[i%len(takers)].id == s.in.Cell {
			own++
		}
	}
	return own
}

// takers returns the cells with an accelerator that has enough free memory for the name, or all cells if there are
// none.
func (s *plan) takers(cells []census, name string) []census {
	mib := s.in.Sizes[name].TotalMiB()
	roomy := slices.DeleteFunc(slices.Clone(cells), func(c census) bool { return c.largest < mib })
	if len(roomy) == 0 {
		return cells
	}
	return roomy
}
