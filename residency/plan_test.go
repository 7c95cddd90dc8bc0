package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/backend"
	"rockcleat/table"
)

// spec returns the specification of engines with 200 GB for models of the given sizes in GB, named m0 and so on.
func spec(sizes ...float64) *table.EngineSpec {
	s := &table.EngineSpec{WeightsMB: 200_000, AdapterSlots: 4, LoadsPerSecond: 1}
	for i, gb := range sizes {
		s.Models = append(s.Models, table.ModelSpec{
			Name: fmt.Sprint("m", i), WeightsMB: gb * 1000, AdapterCount: 8, AdapterMB: 100,
			StoreLoadTime: 8 * time.Second, DiskLoadTime: 2 * time.Second, MemoryLoadTime: time.Second,
		})
	}
	return s
}

// engines returns one idle engine for each list of models that it holds.
func engines(held ...[]string) []EngineView {
	var list []EngineView
	for i, models := range held {
		e := EngineView{ID: fmt.Sprint("e", i), Hall: fmt.Sprint("h", i%3), Idle: true}
		for _, m := range models {
			e.Residents = append(e.Residents, backend.Resident{Model: m})
		}
		list = append(list, e)
	}
	return list
}

// demands returns the demand of the models m0 and so on, in tokens per second.
func demands(rates ...float64) map[string]Demand {
	byModel := make(map[string]Demand)
	for i, rate := range rates {
		byModel[fmt.Sprint("m", i)] = Demand{TokensPerSecond: rate}
	}
	return byModel
}

func TestPlan(t *testing.T) {
	tests := map[string]struct {
		in   Input
		want []Move
	}{
		"nothing to do": {
			in: Input{Spec: spec(60, 60), Engines: engines([]string{"m0", "m1"}), Demands: demands(1, 1), StoreLoadsAllowed: 5},
		},
		"a model without a copy": {
			in:   Input{Spec: spec(60, 60), Engines: engines([]string{"m0"}), StoreLoadsAllowed: 5},
			want: []Move{{Engine: "e0", Model: "m1"}},
		},
		"no load that the store does not bear": {
			in: Input{Spec: spec(60, 60), Engines: engines([]string{"m0"})},
		},
		"a load from disk when the store bears none": {
			in: func() Input {
				list := engines([]string{"m0"})
				list[0].CachedOnDisk = []string{"m1"}
				return Input{Spec: spec(60, 60), Engines: list}
			}(),
			want: []Move{{Engine: "e0", Model: "m1", Source: FromDisk}},
		},
		"where the weights are cached": {
			in: func() Input {
				list := engines(nil, nil, []string{"m0"})
				list[1].CachedInMemory = []string{"m1"}
				return Input{Spec: spec(60, 60), Engines: list, StoreLoadsAllowed: 5}
			}(),
			want: []Move{{Engine: "e1", Model: "m1", Source: FromMemory}},
		},
		"the last copy stays": {
			in: Input{Spec: spec(150, 150), Engines: engines([]string{"m0"}), Demands: demands(0, 10), StoreLoadsAllowed: 5},
		},
		"one copy too many makes room": {
			in:   Input{Spec: spec(150, 150), Engines: engines([]string{"m0"}, []string{"m0"}), Demands: demands(0, 10), StoreLoadsAllowed: 5},
			want: []Move{{Engine: "e0", Model: "m1", Evictions: []string{"m0"}}},
		},
		"models without a replica first, by what is asked and who waits": {
			in: Input{
				Spec: spec(60, 60, 60, 60), Engines: engines([]string{"m0"}, nil, nil), StoreLoadsAllowed: 3,
				Demands: map[string]Demand{"m0": {TokensPerSecond: 900}, "m2": {Waiting: 1}, "m3": {TokensPerSecond: 9}},
			},
			want: []Move{
				{Engine: "e0", Model: "m3"}, {Engine: "e1", Model: "m2"}, {Engine: "e2", Model: "m1"},
			},
		},
		"an engine that is leaving counts for nothing": {
			in: func() Input {
				list := engines([]string{"m0"}, nil)
				list[0].Leaving = true
				return Input{Spec: spec(60), Engines: list, StoreLoadsAllowed: 5}
			}(),
			want: []Move{{Engine: "e1", Model: "m0"}},
		},
		"an engine with an order under way gets none": {
			in: func() Input {
				list := engines([]string{"m0"})
				list[0].Idle = false
				return Input{Spec: spec(60, 60), Engines: list, StoreLoadsAllowed: 5}
			}(),
		},
		"a model that is not in the configuration makes room": {
			in:   Input{Spec: spec(150), Engines: engines([]string{"old"}), StoreLoadsAllowed: 5},
			want: []Move{{Engine: "e0", Model: "m0", Evictions: []string{"old"}}},
		},
		"a model that is not in the configuration makes room first": {
			in: Input{
				Spec: spec(150, 40), Engines: engines([]string{"m1", "old"}, []string{"m1"}), Demands: demands(10, 0), StoreLoadsAllowed: 1,
			},
			want: []Move{{Engine: "e0", Model: "m0", Evictions: []string{"old"}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Plan(test.in)
			assert.Equal(t, len(got), len(test.want), "%v", got)
			for i, m := range test.want {
				assert.Equal(t, got[i].Engine, m.Engine)
				assert.Equal(t, got[i].Model, m.Model)
				assert.Equal(t, got[i].Source, m.Source)
				assert.Assert(t, slices.Equal(got[i].Evictions, m.Evictions), "%v", got[i].Evictions)
			}
		})
	}
}

// TestPlanInvariants checks with random engines that no plan evicts a last replica, exceeds an engine's memory,
// has two moves for one engine or exceeds the loads that the weight store accepts.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.Float64Range(30, 120), 1, 10).Draw(t, "sizes")
		s := spec(sizes...)
		list := drawEngines(t, s)
		rates := rapid.SliceOfN(rapid.Float64Range(0, 100), len(sizes), len(sizes)).Draw(t, "weights")
		storeLoads := rapid.IntRange(0, 4).Draw(t, "stores")
		before := replicaCounts(list)
		moves := Plan(Input{Spec: s, Engines: slices.Clone(list), Demands: demands(rates...), StoreLoadsAllowed: storeLoads})
		seen := make(map[string]bool)
		for _, m := range moves {
			if seen[m.Engine] {
				t.Fatalf("two moves for engine %s", m.Engine)
			}
			seen[m.Engine] = true
			if m.Source == FromStore {
				storeLoads--
			}
			for _, v := range m.Evictions {
				before[v]--
				if before[v] < 1 {
					t.Fatalf("last replica of %s evicted", v)
				}
			}
			before[m.Model]++
			checkFits(t, s, list, m)
		}
		if storeLoads < 0 {
			t.Fatal("more loads from the weight store than allowed")
		}
	})
}

func drawEngines(t *rapid.T, s *table.EngineSpec) []EngineView {
	list := engines(make([][]string, rapid.IntRange(1, 6).Draw(t, "engines"))...)
	for i := range list {
		list[i].Idle = rapid.Bool().Draw(t, "idle")
		for _, m := range s.Models {
			r := backend.Resident{Model: m.Name}
			for a := range rapid.IntRange(0, 2).Draw(t, "adapters") {
				r.Adapters = append(r.Adapters, fmt.Sprint("a", a))
			}
			with := append(slices.Clone(list[i].Residents), r)
			if rapid.Bool().Draw(t, "held") && FreeMB(s, with) >= 0 {
				list[i].Residents = with
			}
			if rapid.Bool().Draw(t, "disk") {
				list[i].CachedOnDisk = append(list[i].CachedOnDisk, m.Name)
			}
		}
	}
	return list
}

func replicaCounts(list []EngineView) map[string]int {
	n := make(map[string]int)
	for _, e := range list {
		for _, r := range e.Residents {
			n[r.Model]++
		}
	}
	return n
}

// checkFits checks that the engine of a move is idle and has enough memory for it.
func checkFits(t *rapid.T, s *table.EngineSpec, list []EngineView, m Move) {
	for _, e := range list {
		if e.ID != m.Engine {
			continue
		}
		if !e.Idle {
			t.Fatalf("move for engine %s, which has an order in progress", e.ID)
		}
		left := slices.DeleteFunc(slices.Clone(e.Residents), func(r backend.Resident) bool {
			return slices.Contains(m.Evictions, r.Model)
		})
		if free := FreeMB(s, append(left, backend.Resident{Model: m.Model})); free < 0 {
			t.Fatalf("engine %s exceeds its memory by %.0f MB", e.ID, -free)
		}
	}
}

// withThrottled sets Throttled on engine i and returns the list.
func withThrottled(list []EngineView, i int) []EngineView {
	list[i].Throttled = true
	return list
}

// adapterSpec returns engines with a number of adapter slots and memory for all of them.
func adapterSpec(slots int) *table.EngineSpec {
	s := spec(10, 10)
	s.AdapterSlots = slots
	return s
}

// fullMemorySpec is adapterSpec with the given memory beside that of m0, in MB.
func fullMemorySpec(slots int, beside float64) *table.EngineSpec {
	s := adapterSpec(slots)
	s.WeightsMB = s.Models[0].WeightsMB + beside
	return s
}

// withUnloading lets engine i of the list unload an adapter and returns the list.
func withUnloading(list []EngineView, i int, a backend.Adapter, isExpected bool) []EngineView {
	list[i].UnloadingAdapters = map[backend.Adapter]bool{a: isExpected}
	return list
}

// withAwaited lets an adapter wait for room on engine i of the list and returns the list.
func withAwaited(list []EngineView, i int, a backend.Adapter) []EngineView {
	list[i].AwaitedAdapters = []backend.Adapter{a}
	return list
}

func TestPlanAdapters(t *testing.T) {
	now := time.Unix(1000, 0)
	full := func(names ...string) []EngineView {
		list := engines([]string{"m0"})
		list[0].Residents[0].Adapters = names
		return list
	}
	adapter := func(name string) backend.Adapter { return backend.Adapter{Model: "m0", Name: name} }
	tests := map[string]struct {
		in      AdapterInput
		engine  string
		evicted string
	}{
		"to an engine with its base": {
			in: AdapterInput{Spec: adapterSpec(2), Engines: engines([]string{"m1"}, []string{"m0"})}, engine: "e1",
		},
		"to the least loaded": {
			in: AdapterInput{
				Spec: adapterSpec(2), Engines: engines([]string{"m0"}, []string{"m0"}), RequestsByEngine: map[string]int{"e0": 9},
			}, engine: "e1",
		},
		"not to one in need":       {in: AdapterInput{Spec: adapterSpec(2), Engines: withThrottled(engines([]string{"m0"}, []string{"m0"}), 0)}, engine: "e1"},
		"nowhere without its base": {in: AdapterInput{Spec: adapterSpec(2), Engines: engines([]string{"m1"})}},
		"in the place of one not asked for": {
			in: AdapterInput{
				Spec: adapterSpec(2), Engines: full("a1", "a2"), LastUsed: map[backend.Adapter]time.Time{adapter("a1"): now.Add(-time.Minute)},
			}, engine: "e0", evicted: "a2",
		},
		"not in the place of one that runs": {
			in: AdapterInput{
				Spec: adapterSpec(1), Engines: full("a1"), RequestsByAdapter: map[backend.Adapter]int{adapter("a1"): 1},
			},
		},
		"after long waiting in the place of one that another engine holds too": {
			in: AdapterInput{
				Spec: adapterSpec(1), Engines: append(full("a1"), full("a1")...), LastUsed: map[backend.Adapter]time.Time{adapter("a1"): now},
				RequestsByAdapter: map[backend.Adapter]int{adapter("a1"): 3},
				WaitingSince:      map[backend.Adapter]time.Time{adapter("new"): now.Add(-2 * time.Second)},
			}, engine: "e0", evicted: "a1",
		},
		"not at once in the place of one that runs, though another engine holds it too": {
			in: AdapterInput{
				Spec: adapterSpec(1), Engines: append(full("a1"), full("a1")...), RequestsByAdapter: map[backend.Adapter]int{adapter("a1"): 3},
				WaitingSince: map[backend.Adapter]time.Time{adapter("new"): now},
			},
		},
		"after long waiting in the place of one asked for just now": {
			in: AdapterInput{
				Spec: adapterSpec(1), Engines: full("a1"), LastUsed: map[backend.Adapter]time.Time{adapter("a1"): now},
				WaitingSince: map[backend.Adapter]time.Time{adapter("new"): now.Add(-2 * time.Second)},
			}, engine: "e0", evicted: "a1",
		},
		"not beside a model that is not in the configuration": {
			in: AdapterInput{Spec: adapterSpec(4), Engines: engines([]string{"m0", "old"})},
		},
		"not without memory": {in: AdapterInput{Spec: fullMemorySpec(4, 50), Engines: engines([]string{"m0"})}},
		"to one with memory": {
			in: AdapterInput{
				Spec: fullMemorySpec(4, 100), Engines: engines([]string{"m0"}, []string{"m1", "m0"}, []string{"m0"}),
				RequestsByEngine: map[string]int{"e0": 1},
			}, engine: "e2",
		},
		"in the place of one whose memory it needs": {
			in: AdapterInput{Spec: fullMemorySpec(4, 100), Engines: full("a1")}, engine: "e0", evicted: "a1",
		},
		"on the engine where no request has to end first": {
			in: AdapterInput{
				Spec: adapterSpec(1), Engines: withUnloading(append(full("a1"), engines([]string{"m1"}, []string{"m0"})...), 0, adapter("a1"), true),
				RequestsByEngine: map[string]int{"e1": 9},
			}, engine: "e1",
		},
		"where an unload is expected to end": {
			in: AdapterInput{Spec: adapterSpec(1), Engines: withUnloading(full("a1"), 0, adapter("a1"), true)}, engine: "e0",
		},
		"not where an unload takes too long": {
			in: AdapterInput{Spec: adapterSpec(1), Engines: withUnloading(full("a1"), 0, adapter("a1"), false)},
		},
		"not in the place of one that is awaited": {
			in: AdapterInput{Spec: adapterSpec(1), Engines: withAwaited(engines([]string{"m0"}), 0, adapter("a1"))},
		},
		"not in the place of one asked for just now": {
			in: AdapterInput{
				Spec: adapterSpec(1), Engines: full("a1"), LastUsed: map[backend.Adapter]time.Time{adapter("a1"): now},
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.in.Missing = []backend.Adapter{adapter("new")}
			test.in.Now = now
			moves := PlanAdapters(test.in)
			if test.engine == "" {
				assert.Equal(t, len(moves), 0)
				return
			}
			assert.Equal(t, len(moves), 1)
			assert.Equal(t, moves[0].Engine, test.engine)
			var evictions []backend.Adapter
			if test.evicted != "" {
				evictions = []backend.Adapter{adapter(test.evicted)}
			}
			assert.DeepEqual(t, moves[0].Evictions, evictions)
		})
	}
}

// BenchmarkPlan plans for 300 engines and 160 models whose replicas do not match the demand.
func BenchmarkPlan(b *testing.B) {
	var sizes, rates []float64
	for i := range 160 {
		sizes = append(sizes, 42+float64(i%30))
		rates = append(rates, 1000/float64((i+40)%160+1))
	}
	held := make([][]string, 300)
	for i := range held {
		held[i] = []string{fmt.Sprint("m", i%160), fmt.Sprint("m", (i*7+3)%160), fmt.Sprint("m", (i*3+1)%40)}
	}
	in := Input{Spec: spec(sizes...), Engines: engines(held...), Demands: demands(rates...), StoreLoadsAllowed: 2}
	for b.Loop() {
		Plan(in)
	}
}
