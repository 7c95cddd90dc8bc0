package agent

import (
	"cmp"
	"maps"
	"slices"

	"rockcleat/fleet"
)

// A copyID identifies a copy of a model or adapter by the row's name and the accelerator's index.
type copyID struct {
	name        string
	accelerator int
}

// A slotTable tracks the slots in which requests run. It implements fairqueue.Slots.
type slotTable struct {
	perAccelerator int
	used           []int
	ready          map[copyID]bool
	// draining are the copies that accept no more requests because they will be unloaded.
	draining map[copyID]bool
	running  map[copyID]int
	copies   map[int]copyID
	lastSlot int
}

func newSlotTable() *slotTable {
	return &slotTable{
		ready:    make(map[copyID]bool),
		draining: make(map[copyID]bool),
		running:  make(map[copyID]int),
		copies:   make(map[int]copyID),
	}
}

// setServices configures the table for a plain service: one accelerator on which all services are
// ready.
func (t *slotTable) setServices(names []string, slots int) {
	t.perAccelerator = slots
	t.used = make([]int, 1)
	for _, n := range names {
		t.ready[copyID{name: n}] = true
	}
}

// setResidents applies the engine's status.
func (t *slotTable) setResidents(residents []fleet.Resident, accelerators, slots int) {
	t.perAccelerator = slots
	for len(t.used) < accelerators {
		t.used = append(t.used, 0)
	}
	clear(t.ready)
	present := make(map[copyID]bool)
	for _, r := range residents {
		p := copyID{name: r.Name, accelerator: r.Accelerator}
		present[p] = true
		if r.State == fleet.StateReady {
			t.ready[p] = true
		}
	}
	maps.DeleteFunc(t.draining, func(p copyID, _ bool) bool { return !present[p] })
}

// Take implements fairqueue.Slots. It selects the accelerator with the most free slots.
func (t *slotTable) Take(row string) (int, bool) {
	best := -1
	for acc := range t.used {
		p := copyID{name: row, accelerator: acc}
		if !t.ready[p] || t.draining[p] || t.used[acc] >= t.perAccelerator {
			continue
		}
		if best < 0 || t.used[acc] < t.used[best] {
			best = acc
		}
	}
	if best < 0 {
		return 0, false
	}
	p := copyID{name: row, accelerator: best}
	t.used[best]++
	t.running[p]++
	t.lastSlot++
	t.copies[t.lastSlot] = p
	return t.lastSlot, true
}

// Release implements fairqueue.Slots.
func (t *slotTable) Release(slot int) {
	p, ok := t.copies[slot]
	if !ok {
		return
	}
	delete(t.copies, slot)
	t.used[p.accelerator]--
	if t.running[p]--; t.running[p] == 0 {
		delete(t.running, p)
	}
}

// Total implements fairqueue.Slots.
func (t *slotTable) Total(row string) int {
	total := 0
	for acc := range t.used {
		p := copyID{name: row, accelerator: acc}
		if t.ready[p] && !t.draining[p] {
			total += t.perAccelerator
		}
	}
	return total
}

// accelerator returns the accelerator of a slot in use.
func (t *slotTable) accelerator(slot int) int { return t.copies[slot].accelerator }

// drain stops new requests to a copy and reports whether none is running on it.
func (t *slotTable) drain(p copyID) bool {
	t.draining[p] = true
	return t.running[p] == 0
}

// resume makes a copy accept requests again.
func (t *slotTable) resume(p copyID) { delete(t.draining, p) }

// load returns the number of busy slots and waiting requests, in percent of all slots.
func (t *slotTable) load(waiting int) int {
	busy := waiting
	for _, u := range t.used {
		busy += u
	}
	return 100 * busy / max(len(t.used)*t.perAccelerator, 1)
}

// withDraining returns the residents in order, with draining copies shown as unloading.
func (t *slotTable) withDraining(residents []fleet.Resident) []fleet.Resident {
	out := slices.Clone(residents)
	for i, r := range out {
		if t.draining[copyID{name: r.Name, accelerator: r.Accelerator}] {
			out[i].State = fleet.StateUnloading
		}
	}
	slices.SortFunc(out, func(a, b fleet.Resident) int {
		return cmp.Or(cmp.Compare(a.Accelerator, b.Accelerator), cmp.Compare(a.Name, b.Name))
	})
	return out
}
