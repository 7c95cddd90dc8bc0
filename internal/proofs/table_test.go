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
	tr := startTrial(t, 8, "an accepted table never reverts", func(o *lab.Options) { o.Entries = 3 })
	stopWatch := tr.watchVersions()
	var mu sync.Mutex
	accepted := make(map[string]uint64)
	var newest uint64
	// editConcurrently runs two operators, which edit one shared row and one row of their own each.
	editConcurrently := func() {
		var wg sync.WaitGroup
		for o := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				tr.runOperator(o, func(id string, v uint64) {
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
	awaitNewest := func() {
		start := time.Now()
		tr.must(tr.AwaitTableVersion(tr.ctx, newest))
		worst = max(worst, time.Since(start))
	}
	steps := []faultStep{
		{"two operators at once", func() { editConcurrently(); awaitNewest() }},
		{"key-value answers lost", func() {
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{LoseResponses: 4}))
			editConcurrently()
			awaitNewest()
		}},
		{"entry killed after the save", func() { editConcurrently(); tr.restart(tr.Entries[tr.rng.IntN(3)]); awaitNewest() }},
		{"key-value service out during the spread, entry and agent killed", func() {
			editConcurrently()
			tr.withKVOutage(func() {
				tr.restart(tr.Entries[tr.rng.IntN(3)])
				tr.restart(tr.Backends[tr.rng.IntN(len(tr.Backends))].Agent)
				awaitNewest()
			})
		}},
		{"entry frozen during the spread", func() {
			e := tr.Entries[1]
			e.Freeze()
			editConcurrently()
			e.Thaw()
			awaitNewest()
		}},
		{"planner killed", func() { tr.awaitPlanner().Kill(); tr.restartExitedEntries(); editConcurrently(); awaitNewest() }},
	}
	history := &editHistory{}
	for i, s := range steps {
		steps[i].inject = func() {
			history.read(tr)
			s.inject()
		}
	}
	tr.runFaultSteps(steps)
	stopWatch()
	tr.checkHistory(history, accepted)
	tr.row.worst = fmt.Sprintf("%.1fs from an edit to everywhere, %d edits", worst.Seconds(), len(accepted))
}

func (tr *trial) restartExitedEntries() {
	for _, e := range tr.Entries {
		if e.Exited() {
			tr.must(tr.StartNode(tr.ctx, e))
		}
	}
}

// operatorTimeout is the timeout of an operator's call to one entry.
const operatorTimeout = time.Second

// runOperator saves three edits. It retries each under the same ID until it is saved or refused as a
// conflict, and calls saved for those saved.
func (tr *trial) runOperator(o int, saved func(id string, v uint64)) {
	for i := range 3 {
		name := "hint"
		if i > 0 {
			name = []string{"summary", "headline"}[o]
		}
		id := uuid.NewString()
		var e table.Edit
		attempts := 0
		tr.waitUntil("an edit's outcome is known", func() bool {
			// Each attempt uses another entry, as the command line does.
			n := tr.runningEntry(o + attempts)
			attempts++
			if e.ID == "" {
				r, ok := tr.currentRow(n, name)
				if !ok {
					return false
				}
				r.Weight = r.Weight%1000 + 1
				e = table.Edit{ID: id, Changes: []table.Change{{Name: name, ExpectedVersion: r.Version, Row: &r}}}
			}
			ctx, cancel := context.WithTimeout(tr.ctx, operatorTimeout)
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

func (tr *trial) currentRow(n *lab.Node, name string) (table.Row, bool) {
	ctx, cancel := context.WithTimeout(tr.ctx, operatorTimeout)
	defer cancel()
	var t wire.TableResponse
	if err := lab.NewControlClient().Get(ctx, n.Control, wire.PathTable, &t); err != nil {
		return table.Row{}, false
	}
	for _, r := range t.Rows {
		if r.Name == name {
			return r, true
		}
	}
	return table.Row{}, false
}
