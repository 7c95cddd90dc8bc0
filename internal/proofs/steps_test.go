package proofs

import (
	"slices"

	"github.com/google/uuid"

	"rockcleat/internal/engine"
	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// listsServer reports whether a status lists the server with that address.
func listsServer(st wire.StatusResponse, id, addr string) bool {
	for _, s := range st.Servers {
		if s.ID == id && s.Addr == addr {
			return true
		}
	}
	return false
}

// editRow applies change to a row, or removes the row if change is nil, and returns the table
// version of the edit. It retries until the edit is saved.
func (tr *trial) editRow(name string, change func(*table.Row)) uint64 {
	tr.t.Helper()
	var version uint64
	tr.waitUntil("an edit of "+name+" is saved", func() bool {
		var t wire.TableResponse
		e := tr.runningEntry(0)
		if err := lab.NewControlClient().Get(tr.ctx, e.Control, wire.PathTable, &t); err != nil {
			return false
		}
		i := slices.IndexFunc(t.Rows, func(r table.Row) bool { return r.Name == name })
		r, seen := table.NewRow(name), uint64(0)
		if i >= 0 {
			r, seen = t.Rows[i], t.Rows[i].Version
		}
		c := table.Change{Name: name, ExpectedVersion: seen}
		if change != nil {
			change(&r)
			c.Row = &r
		}
		v, err := tr.SaveEdit(tr.ctx, e, table.Edit{ID: uuid.NewString(), Changes: []table.Change{c}})
		version = v
		return err == nil
	})
	return version
}

// findPlanner returns an entry that currently plans a cell, or nil.
func (tr *trial) findPlanner() *lab.Node {
	for _, e := range tr.Entries {
		if e.Exited() {
			continue
		}
		if st, err := tr.Status(tr.ctx, e, false); err == nil && len(st.Cells) > 0 {
			return e
		}
	}
	return nil
}

func (tr *trial) awaitPlanner() *lab.Node {
	var p *lab.Node
	tr.waitUntil("a planner plans", func() bool {
		p = tr.findPlanner()
		return p != nil
	})
	return p
}

// restart kills a daemon and starts it again.
func (tr *trial) restart(n *lab.Node) {
	n.Kill()
	tr.must(tr.StartNode(tr.ctx, n))
}

// withKVOutage calls f during an outage of the key-value service.
func (tr *trial) withKVOutage(f func()) {
	tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{Outage: true}))
	f()
	tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{}))
}

// swappedModels are two models of which only one fits into memory beside the others. Replacing one
// by the other in the table causes an unload, and a load into the memory that it frees.
var swappedModels = []string{"summary", "digest"}

// swap replaces the swapped model that is in the table by the other one.
func (tr *trial) swap() {
	out := swappedModels[tr.swaps%2]
	in := swappedModels[(tr.swaps+1)%2]
	tr.swaps++
	tr.editRow(out, nil)
	tr.editRow(in, func(r *table.Row) { r.Organisation = "guild" })
}

// swapAndWait swaps the models and waits until the engines have carried out the change.
func (tr *trial) swapAndWait() {
	tr.swap()
	tr.awaitSwapped()
}

func (tr *trial) awaitSwapped() {
	in, out := swappedModels[tr.swaps%2], swappedModels[(tr.swaps+1)%2]
	tr.waitUntil(in+" is there and "+out+" is gone", func() bool {
		n := tr.readyReplicas()
		return n[in] > 0 && n[out] == 0
	})
}

// readyReplicas returns the number of ready replicas of each name, as reported by the engines.
func (tr *trial) readyReplicas() map[string]int {
	n := make(map[string]int)
	for _, b := range tr.engines() {
		var st engine.Status
		if b.Server.Exited() || lab.Fetch(tr.ctx, b.URL+engine.PathStatus, &st) != nil {
			continue
		}
		for _, r := range st.Residents {
			if r.State == "ready" {
				n[r.Name]++
			}
		}
	}
	return n
}
