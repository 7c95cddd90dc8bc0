package planner

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/fleet"
	"rockcleat/internal/inventory"
	"rockcleat/internal/standin/standintest"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// TestGrants checks that the sum of the grants that agents use never exceeds a row's limit while
// messages and responses are lost, requests outlast their grants and planners are replaced.
func TestGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 10
		row := table.NewRow("m")
		row.MaxConcurrency = limit
		ids := []string{"a", "b", "c"}
		granted := make(map[string]int)
		running := make(map[string]int)
		tracker := newGrantTracker()
		for range 60 {
			if rapid.IntRange(0, 15).Draw(t, "planner dies") == 0 {
				tracker = newGrantTracker()
			}
			id := rapid.SampledFrom(ids).Draw(t, "agent")
			running[id] = rapid.IntRange(0, granted[id]).Draw(t, "running")
			if tracker.hasReported(id) {
				complete := tracker.hasReported("a") && tracker.hasReported("b") && tracker.hasReported("c")
				g := tracker.next(id, []table.Row{row}, servers(t, ids), cellShare("c", []string{"c"}), complete)
				tracker.recordSend(id, g)
				if rapid.Bool().Draw(t, "arrives") {
					granted[id] = 0
					for _, x := range g {
						granted[id] = x.Max
					}
				}
			}
			if rapid.Bool().Draw(t, "answer arrives") {
				tracker.report(id, []wire.ConcurrencyGrant{{Row: "m", Max: max(granted[id], running[id])}})
			}
			sum := 0
			for _, id := range ids {
				sum += max(granted[id], running[id])
			}
			assert.Assert(t, sum <= limit, "the agents may run %d at once", sum)
		}
	})
}

// servers returns a server for each agent; whether the row is ready on it is random.
func servers(t *rapid.T, ids []string) []fleet.Server {
	var all []fleet.Server
	for _, id := range ids {
		s := fleet.Server{ID: id}
		if rapid.Bool().Draw(t, "ready") {
			s.Residents = []fleet.Resident{{Name: "m", State: fleet.StateReady}}
		}
		all = append(all, s)
	}
	return all
}

func vms(n int) []inventory.VM {
	var all []inventory.VM
	for i := range n {
		all = append(all, inventory.VM{ID: fmt.Sprintf("w%03d", i), Hall: fmt.Sprint(i % 5)})
	}
	return all
}

func TestCells(t *testing.T) {
	const size = 24
	tests := map[string]struct {
		before, after, cells int
	}{
		"today":           {0, 21, 1},
		"the letter":      {0, 730, 31},
		"one more":        {24, 25, 2},
		"some leave":      {48, 30, 2},
		"all leave":       {30, 0, 0},
		"nothing changes": {30, 30, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := cellList{}.assign(vms(tc.before), size)
			next, changed := l.assign(vms(tc.after), size)
			assert.Equal(t, changed, tc.before != tc.after)
			assert.Equal(t, len(next.Cells), tc.cells)
			seen := make(map[string]bool)
			for _, c := range next.Cells {
				assert.Assert(t, len(c.Servers) <= size)
				for _, s := range c.Servers {
					assert.Assert(t, !seen[s])
					seen[s] = true
				}
			}
			assert.Equal(t, len(seen), tc.after)
		})
	}
}

// TestUpdateCellsRace checks that updates with different lists of VMs never use a cell id twice.
func TestUpdateCellsRace(t *testing.T) {
	_, store := standintest.KV(t)
	ctx := context.Background()
	assert.NilError(t, updateCells(ctx, store, vms(30), 24))
	assert.NilError(t, updateCells(ctx, store, vms(0), 24))
	assert.NilError(t, updateCells(ctx, store, vms(30), 24))
	e, err := store.Get(ctx, cellsKey)
	assert.NilError(t, err)
	l, err := decodeCells(e.Value)
	assert.NilError(t, err)
	assert.Equal(t, l.Cells[0].ID, "cell-2")
}
