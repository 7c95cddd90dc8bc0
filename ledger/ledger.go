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

// Outcomes of a reservation.
var (
	// ErrNoMemory says that the accelerator has not enough memory left.
	ErrNoMemory = errors.New("ledger: not enough memory")
	// ErrNoAccelerator says that the server has no such accelerator.
	ErrNoAccelerator = errors.New("ledger: no such accelerator")
	// ErrBusy says that an order for the same name on the server may still take effect.
	ErrBusy = errors.New("ledger: order outstanding for this name")
)

// An Op is the operation of an order.
type Op string

// The orders that use the ledger.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// An Intent is an order that may still take effect.
type Intent struct {
	// ID names the order; the backend server lists it when it has finished it.
	ID          string `json:"id"`
	Op          Op     `json:"op"`
	Name        string `json:"name"`
	Base        string `json:"base,omitempty"`
	Accelerator int    `json:"acc"`
	MemoryMiB   int    `json:"mib"`
	// Until is when an order that no server has listed can no longer arrive.
	Until time.Time `json:"until"`
}

// A Report is the backend server's report on itself.
type Report struct {
	MemoryMiB []int
	Residents []fleet.Resident
	// Finished lists the ids of the latest orders that were carried out or failed.
	Finished []string
}

// A Ledger is the account of one backend server; it is not safe for concurrent use.
//
// Its zero value knows no accelerator and so reserves nothing.
type Ledger struct {
	memory    []int
	residents []fleet.Resident
	intents   map[string]Intent
}

// Restore sets the intents that a former keeper of the ledger has recorded.
func (l *Ledger) Restore(intents []Intent) {
	l.intents = make(map[string]Intent)
	for _, i := range intents {
		l.intents[i.ID] = i
	}
}

// Reserve counts an order before it is sent.
func (l *Ledger) Reserve(i Intent) error {
	if i.Accelerator < 0 || i.Accelerator >= len(l.memory) {
		return eris.Wrapf(ErrNoAccelerator, "accelerator %d of %d", i.Accelerator, len(l.memory))
	}
	if l.Busy(i.Name) {
		return eris.Wrap(ErrBusy, i.Name)
	}
	if free := l.memory[i.Accelerator] - l.Reserved(i.Accelerator); i.Op == OpLoad && i.MemoryMiB > free {
		return eris.Wrapf(ErrNoMemory, "%s needs %d MiB, accelerator %d has %d MiB", i.Name, i.MemoryMiB, i.Accelerator, free)
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

// Cancel drops an intent whose order was surely never sent.
func (l *Ledger) Cancel(id string) { delete(l.intents, id) }

// Settle applies a report and drops the intents that can no longer take effect.
func (l *Ledger) Settle(r Report, now time.Time) {
	l.memory = slices.Clone(r.MemoryMiB)
	l.residents = slices.Clone(r.Residents)
	for id, i := range l.intents {
		if slices.Contains(r.Finished, id) || now.After(i.Until) && !l.moving(i.Name) {
			delete(l.intents, id)
		}
	}
}

// moving reports whether the server is loading or unloading the name.
func (l *Ledger) moving(name string) bool {
	return slices.ContainsFunc(l.residents, func(r fleet.Resident) bool {
		return r.Name == name && r.State != fleet.StateReady
	})
}

// Reserved returns the memory in MiB that is or may come to be taken on an accelerator.
func (l *Ledger) Reserved(accelerator int) int {
	total := 0
	for _, r := range l.residents {
		if r.Accelerator == accelerator {
			total += r.MemoryMiB
		}
	}
	for _, i := range l.intents {
		if i.Op == OpLoad && i.Accelerator == accelerator && !l.holds(i.Name, accelerator) {
			total += i.MemoryMiB
		}
	}
	return total
}

// holds reports whether the name is resident on an accelerator.
func (l *Ledger) holds(name string, accelerator int) bool {
	return slices.ContainsFunc(l.residents, func(r fleet.Resident) bool {
		return r.Name == name && r.Accelerator == accelerator
	})
}

// Accelerators returns the account of each accelerator.
func (l *Ledger) Accelerators() []fleet.Accelerator {
	accs := make([]fleet.Accelerator, len(l.memory))
	for i, m := range l.memory {
		accs[i] = fleet.Accelerator{MemoryMiB: m, ReservedMiB: l.Reserved(i)}
	}
	return accs
}

// Residents returns the residents of the last report.
func (l *Ledger) Residents() []fleet.Resident { return l.residents }

// Intents returns the orders that may still take effect, in the order of their ids.
func (l *Ledger) Intents() []Intent {
	return slices.SortedFunc(maps.Values(l.intents), func(a, b Intent) int { return cmp.Compare(a.ID, b.ID) })
}
