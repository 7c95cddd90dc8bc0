package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// TestTable checks promise 8: an accepted table comes into force everywhere and never reverts.
func TestTable(t *testing.T) {
	tr := start(t, 8, "an accepted table never reverts", func(o *lab.Options) { o.Entries = 3 })
	watch := tr.watchVersions()
	var mu sync.Mutex
	accepted := make(map[string]uint64)
	var newest uint64
	// race runs two operators concurrently, which edit one shared row and one row of their own.
	race := func() {
		var wg sync.WaitGroup
		for o := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				tr.operator(o, func(id string, v uint64) {
					mu.Lock()
					defer mu.Unlock()
					accepted[id] = v
					newest = max(newest, v)
				})
			}()
		}
		wg.Wait()
	}
	var worst time.Duration
	settle := func() {
		began := time.Now()
		tr.must(tr.AwaitVersion(tr.ctx, newest))
		worst = max(worst, time.Since(began))
	}
	steps := []step{
		{"two operators at once", func() { race(); settle() }},
		{"key-value answers lost", func() {
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{LoseAnswers: 4}))
			race()
			settle()
		}},
		{"entry killed after the save", func() { race(); tr.restart(tr.Entries[tr.rng.IntN(3)]); settle() }},
		{"key-value service out during the spread, entry and agent killed", func() {
			race()
			tr.kvOutage(func() {
				tr.restart(tr.Entries[tr.rng.IntN(3)])
				tr.restart(tr.Backends[tr.rng.IntN(len(tr.Backends))].Agent)
				settle()
			})
		}},
		{"entry frozen during the spread", func() {
			e := tr.Entries[1]
			e.Freeze()
			race()
			e.Thaw()
			settle()
		}},
		{"planner killed", func() { tr.awaitPlanner().Kill(); tr.restartDead(); race(); settle() }},
	}
	record := &editRecord{}
	for i, s := range steps {
		steps[i].do = func() {
			record.read(tr)
			s.do()
		}
	}
	tr.runSteps(steps)
	watch()
	tr.checkHistory(record, accepted)
	tr.row.worst = fmt.Sprintf("%.1fs from an edit to everywhere, %d edits", worst.Seconds(), len(accepted))
}

func (tr *trial) restartDead() {
	for _, e := range tr.Entries {
		if e.Exited() {
			tr.must(tr.StartNode(tr.ctx, e))
		}
	}
}

// operatorPatience is the timeout of an operator's call to one entry.
const operatorPatience = time.Second

// operator saves three edits. It retries each under the same ID until it is saved or refused as a
// conflict, and calls saved for those saved.
func (tr *trial) operator(o int, saved func(id string, v uint64)) {
	for i := range 3 {
		name := "hint"
		if i > 0 {
			name = []string{"summary", "headline"}[o]
		}
		id := uuid.NewString()
		var e table.Edit
		tries := 0
		tr.until("an edit's outcome is known", func() bool {
			// Each attempt uses another entry, as the command line does.
			n := tr.liveEntry(o + tries)
			tries++
			if e.ID == "" {
				r, ok := tr.rowNow(n, name)
				if !ok {
					return false
				}
				r.Weight = r.Weight%1000 + 1
				e = table.Edit{ID: id, Changes: []table.Change{{Name: name, Seen: r.Version, Row: &r}}}
			}
			ctx, cancel := context.WithTimeout(tr.ctx, operatorPatience)
			defer cancel()
			v, err := tr.SaveEdit(ctx, n, e)
			if err == nil {
				saved(id, v)
				return true
			}
			if !isConflict(err) {
				tr.t.Logf("saving edit %s of row %s failed, will retry: %v", id, name, err)
			}
			return isConflict(err)
		})
	}
}

func (tr *trial) rowNow(n *lab.Node, name string) (table.Row, bool) {
	ctx, cancel := context.WithTimeout(tr.ctx, operatorPatience)
	defer cancel()
	var t wire.TableAnswer
	if err := lab.Client().Get(ctx, n.Control, wire.PathTable, &t); err != nil {
		return table.Row{}, false
	}
	for _, r := range t.Rows {
		if r.Name == name {
			return r, true
		}
	}
	return table.Row{}, false
}
