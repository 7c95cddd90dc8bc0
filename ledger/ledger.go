package ledger

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/fleet"
)

// Errors of a reservation.
var (
	// ErrNoMemory means that the accelerator does not have enough free memory.
	ErrNoMemory = errors.New("ledger: not enough free memory")
	// ErrNoAccelerator means that the server has no such accelerator.
	ErrNoAccelerator = errors.New("ledger: no such accelerator")
	// ErrBusy means that another order for the same name may still take effect on the server.
	ErrBusy = errors.New("ledger: another order for the name is outstanding")
)

// An Op is the operation of an order.
type Op string

// Operations of orders.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// An Intent is an order that may still take effect.
type Intent struct {
	// ID identifies the order in the backend server's reports.
	ID string `json:"id"`
	Op Op     `json:"op"`
	// Name is the model or adapter to load or unload.
	Name string `json:"name"`
	// Base is the base model of an adapter.
	Base string `json:"base,omitempty"`
	// Accelerator is the index of the accelerator.
	Accelerator int `json:"acc"`
	MemoryMiB   int `json:"mib"`
	// Until is the time after which the order can no longer reach the server.
	Until time.Time `json:"until"`
}

// A Report is a backend server's report of its own state.
type Report struct {
	// MemoryMiB is the memory of each accelerator.
	MemoryMiB []int
	Residents []fleet.Resident
	// Finished lists the IDs of the latest orders that were completed or have failed.
	Finished []string
}

// A Ledger is the memory account of one backend server. It is not safe for concurrent use.
//
// The zero value has no accelerators and rejects every reservation.
type Ledger struct {
	memory    []int
	residents []fleet.Resident
	intents   map[string]Intent
}

// Restore replaces all intents with those that a previous process has stored.
func (l *Ledger) Restore(intents []Intent) {
	l.intents = make(map[string]Intent)
	for _, i := range intents {
		l.intents[i.ID] = i
	}
}

// Reserve adds the intent of an order. It must be called before the order is sent. The errors are
// ErrNoAccelerator, ErrBusy and ErrNoMemory.
func (l *Ledger) Reserve(i Intent) error {
	if i.Accelerator < 0 || i.Accelerator >= len(l.memory) {
		return eris.Wrapf(ErrNoAccelerator, "accelerator %d of %d", i.Accelerator, len(l.memory))
	}
	if l.Busy(i.Name) {
		return eris.Wrap(ErrBusy, i.Name)
	}
	if free := l.memory[i.Accelerator] - l.Reserved(i.Accelerator); i.Op == OpLoad && i.MemoryMiB > free {
		return eris.Wrapf(ErrNoMemory, "%s needs %d MiB, accelerator %d has %d MiB free", i.Name, i.MemoryMiB, i.Accelerator, free)
	}
	if l.intents == nil {
		l.intents = make(map[string]Intent)
	}
	l.intents[i.ID] = i
	return nil
}

// Busy reports whether an order for the name may still take effect.
func (l *Ledger) Busy(name string) bool {
	for _, i := range l.intents {
		if i.Name == name {
			return true
		}
	}
	return false
}

// Cancel removes an intent whose order is certain not to take effect, because it was not sent or was
// rejected.
func (l *Ledger) Cancel(id string) { delete(l.intents, id) }

// Settle applies a report received at the time now. It removes the intents of finished orders, and of
// expired ones unless the server is loading or unloading their name.
func (l *Ledger) Settle(r Report, now time.Time) {
	l.memory = slices.Clone(r.MemoryMiB)
	l.residents = slices.Clone(r.Residents)
	for id, i := range l.intents {
		if slices.Contains(r.Finished, id) || now.After(i.Until) && !l.isLoadingOrUnloading(i.Name) {
			delete(l.intents, id)
		}
	}
}

func (l *Ledger) isLoadingOrUnloading(name string) bool {
	return slices.ContainsFunc(l.residents, func(r fleet.Resident) bool {
		return r.Name == name && r.State != fleet.StateReady
	})
}

// Reserved returns the memory of an accelerator, in MiB, that residents occupy or that outstanding loads
// may occupy.
func (l *Ledger) Reserved(accelerator int) int {
	total := 0
	for _, r := range l.residents {
		if r.Accelerator == accelerator {
			total += r.MemoryMiB
		}
	}
	for _, i := range l.intents {
		if i.Op == OpLoad && i.Accelerator == accelerator && !l.isResident(i.Name, accelerator) {
			total += i.MemoryMiB
		}
	}
	return total
}

// isResident reports whether the named model or adapter is resident on an accelerator, in any state.
func (l *Ledger) isResident(name string, accelerator int) bool {
	return slices.ContainsFunc(l.residents, func(r fleet.Resident) bool {
		return r.Name == name && r.Accelerator == accelerator
	})
}

// Accelerators returns the total and reserved memory of each accelerator.
func (l *Ledger) Accelerators() []fleet.Accelerator {
	accs := make([]fleet.Accelerator, len(l.memory))
	for i, m := range l.memory {
		accs[i] = fleet.Accelerator{MemoryMiB: m, ReservedMiB: l.Reserved(i)}
	}
	return accs
}

// Residents returns the residents of the last report. The caller must not modify the slice.
func (l *Ledger) Residents() []fleet.Resident { return l.residents }

// Intents returns the orders that may still take effect, ordered by ID.
func (l *Ledger) Intents() []Intent {
	return slices.SortedFunc(maps.Values(l.intents), func(a, b Intent) int { return cmp.Compare(a.ID, b.ID) })
}
