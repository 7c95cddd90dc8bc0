package planner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"rockcleat/internal/inventory"
	"rockcleat/kv"
)

// cellsKey is the key of the cell list in the key-value service.
const cellsKey = "cells"

// A Cell is a group of backend servers that is planned as a unit.
type Cell struct {
	ID      string   `json:"id"`
	Servers []string `json:"servers"`
}

// A cellList is the value stored under cellsKey.
type cellList struct {
	// Next is the number of the next new cell. It only grows, so no cell id is used twice.
	Next  int    `json:"next"`
	Cells []Cell `json:"cells"`
}

func decodeCells(value []byte) (cellList, error) {
	var l cellList
	err := json.Unmarshal(value, &l)
	return l, eris.Wrap(err, "planner: decode cells")
}

// assign returns the list with each backend server in vms assigned to exactly one cell, and all
// other servers and empty cells removed. changed reports whether the result differs from l.
func (l cellList) assign(vms []inventory.VM, size int) (next cellList, changed bool) {
	present := make(map[string]bool)
	for _, vm := range vms {
		present[vm.ID] = true
	}
	next.Next = l.Next
	assigned := make(map[string]bool)
	for _, c := range l.Cells {
		kept := Cell{ID: c.ID}
		for _, id := range c.Servers {
			if present[id] {
				kept.Servers = append(kept.Servers, id)
				assigned[id] = true
			}
		}
		changed = changed || len(kept.Servers) != len(c.Servers)
		if len(kept.Servers) > 0 {
			next.Cells = append(next.Cells, kept)
		}
	}
	for _, vm := range sortedByHall(vms) {
		if !assigned[vm.ID] {
			next.add(vm.ID, size)
			changed = true
		}
	}
	return next, changed
}

// sortedByHall returns the VMs ordered by data hall, so that a new cell is filled from one hall
// where possible.
func sortedByHall(vms []inventory.VM) []inventory.VM {
	return slices.SortedFunc(slices.Values(vms), func(a, b inventory.VM) int {
		return cmp.Or(cmp.Compare(a.Hall, b.Hall), cmp.Compare(a.ID, b.ID))
	})
}

// add assigns a server to the cell with the fewest servers if it has room, else to a new cell.
func (l *cellList) add(id string, size int) {
	best := -1
	for i, c := range l.Cells {
		if len(c.Servers) < size && (best < 0 || len(c.Servers) < len(l.Cells[best].Servers)) {
			best = i
		}
	}
	if best < 0 {
		l.Cells = append(l.Cells, Cell{ID: fmt.Sprintf("cell-%d", l.Next)})
		l.Next++
		best = len(l.Cells) - 1
	}
	l.Cells[best].Servers = append(l.Cells[best].Servers, id)
}

// updateCells assigns the VMs to cells and stores the list if it has changed. It returns nil if
// another entry has changed the list at the same time.
func updateCells(ctx context.Context, store kv.Store, vms []inventory.VM, size int) error {
	e, err := store.Get(ctx, cellsKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	var l cellList
	if err == nil {
		if l, err = decodeCells(e.Value); err != nil {
			return err
		}
	}
	next, changed := l.assign(vms, size)
	if !changed {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "planner: encode cells")
	}
	_, err = store.Put(ctx, kv.Write{Key: cellsKey, Value: value, Expect: e.Revision})
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}
