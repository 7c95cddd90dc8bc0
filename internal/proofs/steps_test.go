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

// knows reports whether a status lists a server under the address.
func knows(st wire.StatusResponse, id, addr string) bool {
	for _, s := range st.Servers {
		if s.ID == id && s.Addr == addr {
			return true
		}
	}
	return false
}

// edit changes one row's weight and returns the version that holds the edit.
func (tr *trial) edit(name string, change func(*table.Row)) uint64 {
	tr.t.Helper()
	var version uint64
	tr.until("an edit of "+name+" is saved", func() bool {
		var t wire.TableResponse
		e := tr.liveEntry(0)
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

// planner returns the entry that plans a cell, nil if none does now.
func (tr *trial) planner() *lab.Node {
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
	tr.until("a planner plans", func() bool {
		p = tr.planner()
		return p != nil
	})
	return p
}

// restart kills a daemon and starts it anew.
func (tr *trial) restart(n *lab.Node) {
	n.Kill()
	tr.must(tr.StartNode(tr.ctx, n))
}

// kvOutage takes the key-value service out, does f and lets it come back.
func (tr *trial) kvOutage(f func()) {
	tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{Outage: true}))
	f()
	tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{}))
}

// rivals are two models of which only one fits beside the others: putting one
// into the table in place of the other makes an unload and, into the memory that
// it frees, a load.
var rivals = []string{"summary", "digest"}

// swap puts the rival that is not in the table in place of the one that is.
func (tr *trial) swap() {
	out := rivals[tr.swaps%2]
	in := rivals[(tr.swaps+1)%2]
	tr.swaps++
	tr.edit(out, nil)
	tr.edit(in, func(r *table.Row) { r.Organisation = "guild" })
}

// churn swaps the rivals and waits until the change is carried out.
func (tr *trial) churn() {
	tr.swap()
	tr.awaitSwapped()
}

func (tr *trial) awaitSwapped() {
	in, out := rivals[tr.swaps%2], rivals[(tr.swaps+1)%2]
	tr.until(in+" is there and "+out+" is gone", func() bool {
		n := tr.copies()
		return n[in] > 0 && n[out] == 0
	})
}

// copies returns the ready copies of each name as the engines themselves say.
func (tr *trial) copies() map[string]int {
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
