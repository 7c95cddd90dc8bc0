package placement

import (
	"maps"
	"math"
	"slices"

	"rockcleat/fleet"
	"rockcleat/rendezvous"
	"rockcleat/table"
)

// A cellSummary holds what ownShare needs of one cell.
type cellSummary struct {
	id string
	// replicas counts the replicas of each name that are ready or being loaded.
	replicas map[string]int
	// largestFreeMiB is the largest free memory on one accelerator, in MiB.
	largestFreeMiB int
}

// summary returns the summary of the cell, without servers that are removed or leaving.
func (c Cell) summary() cellSummary {
	n := cellSummary{id: c.ID, replicas: make(map[string]int)}
	for _, s := range c.Servers {
		if s.Removed || s.Leaving {
			continue
		}
		for _, r := range s.Residents {
			if r.State != fleet.StateUnloading {
				n.replicas[r.Name]++
			}
		}
		for _, a := range s.Accelerators {
			n.largestFreeMiB = max(n.largestFreeMiB, a.FreeMiB())
		}
	}
	return n
}

// readCells sets the demand, the summaries of all cells and the state of the planner's own cell.
func (s *plan) readCells() {
	for _, r := range s.in.Rows {
		if r.Kind == table.KindAdapter {
			s.adapters[r.Base] = append(s.adapters[r.Base], r.Name)
		}
	}
	for _, c := range s.in.Cells {
		for name, slots := range c.Demand {
			s.demand[name] += slots
		}
		s.cells = append(s.cells, c.summary())
		if c.ID == s.in.Cell {
			s.readOwnCell(c)
		}
	}
}

// readOwnCell counts the loads in progress in the planner's own cell and adds the accelerators of its servers, except
// those that are removed or leaving.
func (s *plan) readOwnCell(c Cell) {
	for i := range c.Servers {
		srv := &c.Servers[i]
		for _, r := range srv.Residents {
			if r.State == fleet.StateLoading {
				s.loads++
			}
		}
		if srv.Removed || srv.Leaving {
			continue
		}
		s.addAccelerators(srv)
	}
}

func (s *plan) addAccelerators(srv *fleet.Server) {
	for i, a := range srv.Accelerators {
		x := &accelerator{server: srv, index: i, free: a.FreeMiB(), slots: srv.Slots, residents: make(map[string]fleet.State)}
		for _, r := range srv.Residents {
			if r.Accelerator != i {
				continue
			}
			x.residents[r.Name] = r.State
			s.countReplica(x, r)
		}
		s.accelerators = append(s.accelerators, x)
	}
}

func (s *plan) countReplica(x *accelerator, r fleet.Resident) {
	switch r.State {
	case fleet.StateUnloading:
		x.freeing += r.MemoryMiB
		return
	case fleet.StateReady:
		s.ready[r.Name]++
	}
	s.replicas[r.Name]++
}

// setTargets sets the target number of replicas of each name in the cell, and the demand on each accelerator.
// The base model of an adapter with a target has a target of at least 1.
func (s *plan) setTargets() {
	s.targets = make(map[string]int)
	total := s.totalDemand()
	slots := 1
	for _, a := range s.accelerators {
		slots = max(slots, a.slots)
	}
	for _, r := range s.in.Rows {
		if r.Kind == table.KindService {
			continue
		}
		perReplica := s.opts.Headroom * float64(slots)
		n := max(1, int(math.Ceil(total[r.Name]/perReplica)))
		s.targets[r.Name] = s.ownShare(r.Name, n)
	}
	for _, r := range s.in.Rows {
		if r.Kind == table.KindAdapter && s.targets[r.Name] > 0 {
			s.targets[r.Base] = max(s.targets[r.Base], 1)
		}
	}
	for _, x := range s.accelerators {
		demand := 0.0
		for name := range x.residents {
			demand += s.demand[name] / float64(max(s.replicas[name], 1))
		}
		x.demand = demand
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

// ownShare returns how many of n replicas of a name the planner's cell should hold. Replicas that exist count for
// the cell that holds them. The rest are assigned in turn to the cells with room, in the order of their rendezvous
// weights, so that cells that see the same records agree without messages.
func (s *plan) ownShare(name string, n int) int {
	key := rendezvous.Key(name)
	cells := slices.SortedFunc(slices.Values(s.cells), func(a, b cellSummary) int {
		return rendezvous.Compare(a.id, b.id, key)
	})
	own := 0
	for _, c := range cells {
		held := min(c.replicas[name], n)
		n -= held
		if c.id == s.in.Cell {
			own += held
		}
	}
	receivers := s.cellsWithRoom(cells, name)
	for i := range n {
		if receivers[i%len(receivers)].id == s.in.Cell {
			own++
		}
	}
	return own
}

// cellsWithRoom returns the cells with an accelerator that has enough free memory for the name, or all cells if there
// are none.
func (s *plan) cellsWithRoom(cells []cellSummary, name string) []cellSummary {
	mib := s.in.Sizes[name].TotalMiB()
	withRoom := slices.DeleteFunc(slices.Clone(cells), func(c cellSummary) bool { return c.largestFreeMiB < mib })
	if len(withRoom) == 0 {
		return cells
	}
	return withRoom
}
