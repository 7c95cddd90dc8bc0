package agent

import (
	"cmp"
	"maps"
	"slices"

	"rockcleat/fleet"
)

// A replicaID identifies a replica of a model or adapter by the row's name and the accelerator's index.
type replicaID struct {
	name        string
	accelerator int
}

// A slotTable tracks the slots in which requests run. It implements fairqueue.Slots.
type slotTable struct {
	slotsPerAccelerator int
	// used is the number of slots in use, by accelerator.
	used  []int
	ready map[replicaID]bool
	// draining are the replicas that accept no more requests because they will be unloaded.
	draining map[replicaID]bool
	// running is the number of requests running on each replica.
	running map[replicaID]int
	// replicas maps each slot in use to its replica. lastSlot is the last slot number assigned.
	replicas map[int]replicaID
	lastSlot int
}

func newSlotTable() *slotTable {
	return &slotTable{
		ready:    make(map[replicaID]bool),
		draining: make(map[replicaID]bool),
		running:  make(map[replicaID]int),
		replicas: make(map[int]replicaID),
	}
}

// setServices configures the table for a plain service: one accelerator on which all services are
// ready.
func (t *slotTable) setServices(names []string, slots int) {
	t.slotsPerAccelerator = slots
	t.used = make([]int, 1)
	for _, n := range names {
		t.ready[replicaID{name: n}] = true
	}
}

// setResidents applies the engine's status.
func (t *slotTable) setResidents(residents []fleet.Resident, accelerators, slots int) {
	t.slotsPerAccelerator = slots
	for len(t.used) < accelerators {
		t.used = append(t.used, 0)
	}
	clear(t.ready)
	present := make(map[replicaID]bool)
	for _, r := range residents {
		id := replicaID{name: r.Name, accelerator: r.Accelerator}
		present[id] = true
		if r.State == fleet.StateReady {
			t.ready[id] = true
		}
	}
	maps.DeleteFunc(t.draining, func(id replicaID, _ bool) bool { return !present[id] })
}

// Take implements fairqueue.Slots. It selects the accelerator with the most free slots.
func (t *slotTable) Take(row string) (int, bool) {
	best := -1
	for accelerator := range t.used {
		id := replicaID{name: row, accelerator: accelerator}
		if !t.ready[id] || t.draining[id] || t.used[accelerator] >= t.slotsPerAccelerator {
			continue
		}
		if best < 0 || t.used[accelerator] < t.used[best] {
			best = accelerator
		}
	}
	if best < 0 {
		return 0, false
	}
	id := replicaID{name: row, accelerator: best}
	t.used[best]++
	t.running[id]++
	t.lastSlot++
	t.replicas[t.lastSlot] = id
	return t.lastSlot, true
}

// Release implements fairqueue.Slots.
func (t *slotTable) Release(slot int) {
	id, ok := t.replicas[slot]
	if !ok {
		return
	}
	delete(t.replicas, slot)
	t.used[id.accelerator]--
	if t.running[id]--; t.running[id] == 0 {
		delete(t.running, id)
	}
}

// Total implements fairqueue.Slots.
func (t *slotTable) Total(row string) int {
	total := 0
	for accelerator := range t.used {
		id := replicaID{name: row, accelerator: accelerator}
		if t.ready[id] && !t.draining[id] {
			total += t.slotsPerAccelerator
		}
	}
	return total
}

// accelerator returns the accelerator of a slot in use.
func (t *slotTable) accelerator(slot int) int { return t.replicas[slot].accelerator }

// drain stops new requests to a replica and reports whether none is running on it.
func (t *slotTable) drain(id replicaID) bool {
	t.draining[id] = true
	return t.running[id] == 0
}

// resume makes a replica accept requests again.
func (t *slotTable) resume(id replicaID) { delete(t.draining, id) }

// load returns the sum of the busy slots and the waiting requests, in percent of all slots.
func (t *slotTable) load(waiting int) int {
	busy := waiting
	for _, u := range t.used {
		busy += u
	}
	return 100 * busy / max(len(t.used)*t.slotsPerAccelerator, 1)
}

// withDraining returns the residents, ordered by accelerator and name, with draining replicas
// shown as unloading.
func (t *slotTable) withDraining(residents []fleet.Resident) []fleet.Resident {
	out := slices.Clone(residents)
	for i, r := range out {
		if t.draining[replicaID{name: r.Name, accelerator: r.Accelerator}] {
			out[i].State = fleet.StateUnloading
		}
	}
	slices.SortFunc(out, func(a, b fleet.Resident) int {
		return cmp.Or(cmp.Compare(a.Accelerator, b.Accelerator), cmp.Compare(a.Name, b.Name))
	})
	return out
}
