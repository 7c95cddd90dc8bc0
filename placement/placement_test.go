package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/fleet"
	"rockcleat/ledger"
	"rockcleat/placement"
	"rockcleat/table"
)

var start = time.Unix(1000, 0)

func model(name string) table.Row {
	return table.NewRow(name)
}

func adapter(name, base string) table.Row {
	r := table.NewRow(name)
	r.Kind, r.Base = table.KindAdapter, base
	return r
}

func ready(name string, acc, mib int) fleet.Resident {
	return fleet.Resident{Name: name, Accelerator: acc, State: fleet.StateReady, MemoryMiB: mib}
}

func loading(name string, acc, mib int) fleet.Resident {
	return fleet.Resident{Name: name, Accelerator: acc, State: fleet.StateLoading, MemoryMiB: mib}
}

func unloading(name string, acc, mib int) fleet.Resident {
	return fleet.Resident{Name: name, Accelerator: acc, State: fleet.StateUnloading, MemoryMiB: mib}
}

// server returns a server with a number of accelerators of 100 MiB each and the given residents.
func server(id string, accelerators int, residents ...fleet.Resident) fleet.Server {
	s := fleet.Server{ID: id, Slots: 10, Residents: residents}
	for range accelerators {
		s.Accelerators = append(s.Accelerators, fleet.Accelerator{MemoryMiB: 100})
	}
	for _, r := range residents {
		s.Accelerators[r.Accelerator].ReservedMiB += r.MemoryMiB
	}
	return s
}

// demand returns the server with demand for a name added.
func demand(s fleet.Server, name string, slots float64) fleet.Server {
	s.Demand = append(s.Demand, fleet.Demand{Name: name, Level: placement.LevelOf(slots)})
	return s
}

func input(rows []table.Row, sizes map[string]placement.Size, servers ...fleet.Server) placement.Input {
	demand := make(map[string]float64)
	for _, s := range servers {
		for _, d := range s.Demand {
			demand[d.Name] += placement.DemandOf(d.Level)
		}
	}
	return placement.Input{
		Cell: "c", Cells: []placement.Cell{{ID: "c", Servers: servers, Demand: demand}}, Rows: rows, Sizes: sizes, Now: start,
	}
}

func size(mib int) placement.Size { return placement.Size{WeightMiB: mib} }

// formatOrders formats orders as "operation name server/accelerator".
func formatOrders(orders []placement.Order) []string {
	var out []string
	for _, o := range orders {
		out = append(out, fmt.Sprintf("%s %s %s/%d", o.Op, o.Name, o.Server, o.Accelerator))
	}
	return out
}

func TestPlan(t *testing.T) {
	sizes := map[string]placement.Size{"a": size(60), "b": size(60), "x": size(10)}
	leaving := server("old", 1, ready("a", 0, 60))
	leaving.Leaving = true
	gone := server("old", 1, ready("a", 0, 60))
	gone.Gone = true
	tests := map[string]struct {
		rows    []table.Row
		servers []fleet.Server
		want    []string
	}{
		"first copy": {[]table.Row{model("a")}, []fleet.Server{server("s", 1)}, []string{"load a s/0"}},
		"nothing to do": {
			[]table.Row{model("a")}, []fleet.Server{server("s", 1, ready("a", 0, 60))}, nil,
		},
		"one accelerator each": {
			[]table.Row{model("a"), model("b")}, []fleet.Server{server("s", 2)}, []string{"load a s/0", "load b s/1"},
		},
		"copy on a leaving server does not count": {
			[]table.Row{model("a")}, []fleet.Server{leaving, server("s", 1)}, []string{"load a s/0"},
		},
		"copy on a lost server does not count": {
			[]table.Row{model("a")}, []fleet.Server{gone, server("s", 1)}, []string{"load a s/0"},
		},
		"second copy makes room for a first": {
			[]table.Row{model("a"), model("b")},
			[]fleet.Server{server("s", 1, ready("a", 0, 60)), server("t", 1, ready("a", 0, 60))},
			[]string{"unload a s/0"},
		},
		"copy on its way is not yet one that another may go for": {
			[]table.Row{model("a"), model("b")},
			[]fleet.Server{server("s", 1, ready("a", 0, 60)), server("t", 1, loading("a", 0, 60))}, nil,
		},
		"room that is being freed is waited for": {
			[]table.Row{model("a"), model("b")},
			[]fleet.Server{
				server("s", 1, ready("a", 0, 60)), server("t", 1, ready("a", 0, 60)), server("u", 1, unloading("a", 0, 60)),
			}, nil,
		},
		"last copy stays though another has none": {
			[]table.Row{model("a"), model("b")}, []fleet.Server{server("s", 1, ready("a", 0, 60))}, nil,
		},
		"adapter beside its base": {
			[]table.Row{model("a"), adapter("x", "a")},
			[]fleet.Server{server("s", 1), server("t", 1, ready("a", 0, 60))}, []string{"load x t/0"},
		},
		"adapter waits for its base": {
			[]table.Row{model("a"), adapter("x", "a")}, []fleet.Server{server("s", 1)}, []string{"load a s/0"},
		},
		"unlisted model goes": {
			[]table.Row{}, []fleet.Server{server("s", 1, ready("a", 0, 60))}, []string{"unload a s/0"},
		},
		"demand adds a copy": {
			[]table.Row{model("a")},
			[]fleet.Server{demand(server("s", 1, ready("a", 0, 60)), "a", 9), server("t", 1)}, []string{"load a t/0"},
		},
		"demand takes no last copy": {
			[]table.Row{model("a"), model("b")},
			[]fleet.Server{demand(server("s", 1, ready("a", 0, 60)), "a", 50), server("t", 1, ready("b", 0, 60))}, nil,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := placement.NewPlanner(placement.Options{})
			got := formatOrders(p.Plan(input(tc.rows, sizes, tc.servers...)))
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// TestHold checks that a surplus replica is evicted for demand only after Options.Hold.
func TestHold(t *testing.T) {
	sizes := map[string]placement.Size{"a": size(60), "b": size(60)}
	rows := []table.Row{model("a"), model("b")}
	servers := []fleet.Server{
		server("s", 1, ready("a", 0, 60)), server("t", 1, ready("a", 0, 60)),
		demand(server("u", 1, ready("b", 0, 60)), "b", 9),
	}
	p := placement.NewPlanner(placement.Options{Hold: time.Minute})
	in := input(rows, sizes, servers...)
	assert.Equal(t, len(p.Plan(in)), 0)
	in.Now = start.Add(59 * time.Second)
	assert.Equal(t, len(p.Plan(in)), 0)
	in.Now = start.Add(61 * time.Second)
	assert.DeepEqual(t, formatOrders(p.Plan(in)), []string{"unload a s/0"})
}

// TestFreedMemoryIsReserved checks that memory freed for a model without a replica is not used for an additional
// replica of another model.
func TestFreedMemoryIsReserved(t *testing.T) {
	c := &testCell{
		rows:  []table.Row{model("hint"), model("summary"), model("busy")},
		sizes: map[string]placement.Size{"hint": size(40), "summary": size(90), "busy": size(20)},
		servers: []fleet.Server{
			server("a", 1, ready("hint", 0, 40)), server("b", 1, ready("hint", 0, 40), ready("busy", 0, 20)),
		},
	}
	c.servers[1] = demand(c.servers[1], "busy", 20)
	p := placement.NewPlanner(placement.Options{})
	got := c.planRounds(t, p, 6)
	assert.DeepEqual(t, got, []string{"unload hint a/0", "load summary a/0"})
}

// TestPlanInvariants plans for random cells and executes the orders. It checks that no accelerator is
// overcommitted, that no last replica is evicted and that a state without further orders is reached.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCell(t)
		p := placement.NewPlanner(placement.Options{Hold: time.Second, MaxLoads: 100, MaxOrders: 100})
		for round := range 30 {
			in := c.input(start.Add(time.Duration(round) * 10 * time.Second))
			had := c.replicaCounts()
			for _, o := range p.Plan(in) {
				c.execute(t, o)
			}
			for name, n := range had {
				assert.Assert(t, n == 0 || c.replicaCounts()[name] > 0, "the last copy of %s was dropped", name)
			}
		}
		assert.Equal(t, len(p.Plan(c.input(start.Add(time.Hour)))), 0, "plans do not end")
	})
}

// A testCell is a cell whose servers execute orders immediately.
type testCell struct {
	rows    []table.Row
	sizes   map[string]placement.Size
	servers []fleet.Server
}

func drawCell(t *rapid.T) *testCell {
	c := &testCell{sizes: make(map[string]placement.Size)}
	for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
		c.servers = append(c.servers, server(fmt.Sprint("s", i), rapid.IntRange(1, 2).Draw(t, "accelerators")))
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		name := fmt.Sprint("m", i)
		c.rows = append(c.rows, model(name))
		c.sizes[name] = size(rapid.IntRange(10, 70).Draw(t, "size"))
		s := &c.servers[rapid.IntRange(0, len(c.servers)-1).Draw(t, "asks")]
		*s = demand(*s, name, rapid.Float64Range(0, 40).Draw(t, "demand"))
	}
	return c
}

func (c *testCell) input(now time.Time) placement.Input {
	in := input(c.rows, c.sizes, c.servers...)
	in.Now = now
	return in
}

func (c *testCell) replicaCounts() map[string]int {
	n := make(map[string]int)
	for _, s := range c.servers {
		for _, r := range s.Residents {
			n[r.Name]++
		}
	}
	return n
}

func (c *testCell) execute(t assert.TestingT, o placement.Order) {
	i := slices.IndexFunc(c.servers, func(s fleet.Server) bool { return s.ID == o.Server })
	s := &c.servers[i]
	a := &s.Accelerators[o.Accelerator]
	mib := c.sizes[o.Name].TotalMiB()
	if o.Op == ledger.OpLoad {
		a.ReservedMiB += mib
		s.Residents = append(s.Residents, ready(o.Name, o.Accelerator, mib))
	} else {
		a.ReservedMiB -= mib
		s.Residents = slices.DeleteFunc(slices.Clone(s.Residents), func(r fleet.Resident) bool {
			return r.Name == o.Name && r.Accelerator == o.Accelerator
		})
	}
	assert.Assert(t, a.FreeMiB() >= 0, "%s overcommits %s/%d", o.Name, o.Server, o.Accelerator)
}

// planRounds plans a number of times, one second apart, and executes and returns the orders.
func (c *testCell) planRounds(t *testing.T, p *placement.Planner, rounds int) []string {
	t.Helper()
	var got []string
	for round := range rounds {
		orders := p.Plan(c.input(start.Add(time.Duration(round) * time.Second)))
		got = append(got, formatOrders(orders)...)
		for _, o := range orders {
			c.execute(t, o)
		}
	}
	return got
}

// TestFragmentedMemory checks that a model is loaded even if the free memory is fragmented, without the eviction of a
// last replica.
func TestFragmentedMemory(t *testing.T) {
	c := &testCell{
		rows:  []table.Row{model("clue"), model("hint"), model("headline"), model("summary")},
		sizes: map[string]placement.Size{"clue": size(62), "hint": size(42), "headline": size(31), "summary": size(83)},
		servers: []fleet.Server{
			server("a", 1, ready("clue", 0, 62)), server("b", 1, ready("hint", 0, 42)), server("c", 1, ready("headline", 0, 31)),
		},
	}
	p := placement.NewPlanner(placement.Options{})
	got := c.planRounds(t, p, 5)
	assert.DeepEqual(t, got, []string{"load headline a/0", "unload headline c/0", "load summary c/0"})
}

// TestCellsAgree checks that of several cells that plan from the same records, exactly one loads each model.
func TestCellsAgree(t *testing.T) {
	var rows []table.Row
	sizes := make(map[string]placement.Size)
	for i := range 20 {
		name := fmt.Sprint("m", i)
		rows = append(rows, model(name))
		sizes[name] = size(10)
	}
	var cells []placement.Cell
	for _, id := range []string{"c1", "c2", "c3"} {
		cells = append(cells, placement.Cell{ID: id, Servers: []fleet.Server{server("s-"+id, 2)}})
	}
	placed := make(map[string]int)
	for _, c := range cells {
		p := placement.NewPlanner(placement.Options{MaxLoads: 100, MaxOrders: 100})
		in := placement.Input{Cell: c.ID, Cells: cells, Rows: rows, Sizes: sizes, Now: start}
		for _, o := range p.Plan(in) {
			placed[o.Name]++
		}
	}
	assert.Equal(t, len(placed), len(rows))
	for name, n := range placed {
		assert.Equal(t, n, 1, name)
	}
}

func TestCheckFit(t *testing.T) {
	sizes := map[string]placement.Size{"a": size(60), "b": size(60), "x": size(50)}
	servers := []fleet.Server{server("s", 2)}
	tests := map[string]struct {
		rows []table.Row
		bad  string
	}{
		"fits":               {rows: []table.Row{model("a"), model("b")}},
		"adapter too large":  {rows: []table.Row{model("a"), adapter("x", "a")}, bad: "a"},
		"three on two":       {rows: []table.Row{model("a"), model("b"), model("x")}, bad: "x"},
		"not in the store":   {rows: []table.Row{model("zz")}, bad: "zz"},
		"services take none": {rows: []table.Row{{Name: "s", Kind: table.KindService}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			errs := placement.CheckFit(tc.rows, sizes, servers)
			if tc.bad == "" {
				assert.Equal(t, len(errs), 0)
				return
			}
			assert.Assert(t, len(errs) > 0)
			assert.Equal(t, errs[0].Row, tc.bad)
		})
	}
}

func TestEstimator(t *testing.T) {
	var e placement.Estimator
	const half = 10 * time.Second
	e.Observe(8, half, start)
	e.Observe(0, half, start.Add(10*time.Second))
	got := e.Value(half, start.Add(20*time.Second))
	assert.Assert(t, got > 1.99 && got < 2.01, "%v", got)
	e.Observe(9, half, start.Add(20*time.Second))
	assert.Equal(t, e.Value(half, start.Add(20*time.Second)), 9.0)
}
