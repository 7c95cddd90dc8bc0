package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/backend"
)

// atVersions sets the software versions of engines.
func atVersions(list []EngineView, versions ...string) []EngineView {
	for i, v := range versions {
		list[i].Version = v
	}
	return list
}

// needs adds versions that streams of a model need.
func needs(byModel map[string]Demand, model string, versions ...string) map[string]Demand {
	d := byModel[model]
	d.StreamVersions = make(map[string]bool)
	for _, v := range versions {
		d.StreamVersions[v] = true
	}
	byModel[model] = d
	return byModel
}

// TestPlanKeepsStreamsAtTheirVersion guards against evictions from the only engine at which streams can go on.
func TestPlanKeepsStreamsAtTheirVersion(t *testing.T) {
	// m0 has one replica more than its target, and m1 one less.
	held := func() []EngineView { return engines([]string{"m0"}, []string{"m0"}, []string{"m1"}) }
	d := func() map[string]Demand { return demands(0, 10) }
	tests := map[string]struct {
		engines []EngineView
		demands map[string]Demand
		models  int
		want    []Move
	}{
		"no streams": {
			engines: atVersions(held(), "v2", "v1", "v1"), demands: d(),
			want: []Move{{Engine: "e0", Model: "m1", Evictions: []string{"m0"}}},
		},
		"streams at the version of one": {
			engines: atVersions(held(), "v2", "v1", "v1"), demands: needs(d(), "m0", "v2"),
			want: []Move{{Engine: "e1", Model: "m1", Evictions: []string{"m0"}}},
		},
		"streams at both versions": {
			engines: atVersions(held(), "v2", "v1", "v1"), demands: needs(d(), "m0", "v1", "v2"),
		},
		"another engine of the version": {
			engines: atVersions(held(), "v1", "v1", "v2"), demands: needs(d(), "m0", "v1"),
			want: []Move{{Engine: "e0", Model: "m1", Evictions: []string{"m0"}}},
		},
		"the other engine of the version is leaving": {
			engines: func() []EngineView {
				list := atVersions(engines([]string{"m0"}, []string{"m0"}, []string{"m1"}, []string{"m0"}), "v2", "v1", "v1", "v2")
				list[3].Leaving = true
				return list
			}(),
			demands: needs(d(), "m0", "v2"),
			want:    []Move{{Engine: "e1", Model: "m1", Evictions: []string{"m0"}}},
		},
		"the other engine of the version is loading the model": {
			engines: func() []EngineView {
				list := atVersions(held(), "v2", "v2", "v1")
				list[1].Loading, list[1].Idle = "m0", false
				return list
			}(),
			demands: needs(d(), "m0", "v2"),
		},
		"a missing model comes first": {
			engines: atVersions(engines([]string{"m0"}, []string{"m0"}, []string{"m1"}), "v2", "v2", "v1"), demands: needs(demands(0, 0, 1), "m0", "v2"), models: 3,
			want: []Move{{Engine: "e0", Model: "m2", Evictions: []string{"m0"}}},
		},
		"a missing model goes where no stream needs the eviction": {
			engines: atVersions(engines([]string{"m0"}, []string{"m0"}, []string{"m1"}), "v2", "v1", "v1"), demands: needs(demands(0, 0, 1), "m0", "v2"), models: 3,
			want: []Move{{Engine: "e1", Model: "m2", Evictions: []string{"m0"}}},
		},
		"a lost model is loaded at the version of its streams": {
			engines: atVersions(engines(nil, nil, []string{"m1"}), "v1", "v2", "v1"), demands: needs(demands(10, 1), "m0", "v2"),
			want: []Move{{Engine: "e1", Model: "m0"}},
		},
		"a further replica is loaded at the version of its streams": {
			engines: atVersions(engines([]string{"m0"}, nil, []string{"m1"}, nil), "v1", "v1", "v1", "v2"), demands: needs(demands(10, 0), "m0", "v2"),
			want: []Move{{Engine: "e3", Model: "m0"}},
		},
		"streams that have an engine at their version do not matter": {
			engines: atVersions(engines([]string{"m0"}, nil, []string{"m1"}, nil), "v2", "v1", "v1", "v2"), demands: needs(demands(10, 0), "m0", "v2"),
			want: []Move{{Engine: "e1", Model: "m0"}},
		},
		"a missing model evicts what streams need if nothing else": {
			engines: atVersions(engines([]string{"m0"}, []string{"m0"}, []string{"m1"}), "v2", "v1", "v1"), demands: needs(demands(0, 0, 1), "m0", "v1", "v2"), models: 3,
			want: []Move{{Engine: "e0", Model: "m2", Evictions: []string{"m0"}, Interrupted: []string{"m0"}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sizes := []float64{150, 150, 150}[:max(test.models, 2)]
			got := Plan(Input{Spec: spec(sizes...), Engines: test.engines, Demands: test.demands, StoreLoadsAllowed: 5})
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestPlanEvictsOneOfTwoAtAVersion guards against two evictions in one plan that together take the last replica of a
// version.
func TestPlanEvictsOneOfTwoAtAVersion(t *testing.T) {
	list := atVersions(engines([]string{"m0"}, []string{"m0"}, []string{"m0"}, []string{"m1"}, []string{"m2"}), "v2", "v2", "v1", "v1", "v1")
	for i := range list {
		list[i].Hall = "h"
	}
	got := Plan(Input{Spec: spec(150, 150, 150), Engines: list, Demands: needs(demands(0, 10, 10), "m0", "v2"), StoreLoadsAllowed: 5})
	var evictedFrom []string
	for _, m := range got {
		evictedFrom = append(evictedFrom, m.Engine)
	}
	assert.DeepEqual(t, evictedFrom, []string{"e0", "e2"})
}

// TestStreamsAreNeverEvicted guards against any plan that evicts the last replica at a version which streams need, but for
// a model that has no replica.
func TestStreamsAreNeverEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const models = 5
		in := Input{Spec: spec(60, 60, 60, 100, 150), Demands: make(map[string]Demand), StoreLoadsAllowed: 10}
		names := make([]string, models)
		for i := range names {
			names[i] = fmt.Sprint("m", i)
			in.Demands[names[i]] = Demand{TokensPerSecond: rapid.Float64Range(0, 1000).Draw(t, "demand")}
			needs(in.Demands, names[i], rapid.SliceOfDistinct(rapid.SampledFrom([]string{"v1", "v2"}), rapid.ID).Draw(t, "streams")...)
		}
		for i := range rapid.IntRange(2, 6).Draw(t, "engines") {
			var held []string
			free := 200
			for _, m := range rapid.Permutation(names).Draw(t, "held") {
				if mb := int(in.Spec.Models[slices.Index(names, m)].WeightsMB / 1000); mb <= free {
					held, free = append(held, m), free-mb
				}
			}
			e := engines(held)[0]
			e.ID, e.Version = fmt.Sprint("e", i), rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			in.Engines = append(in.Engines, e)
		}
		before := countAt(in.Engines)
		lastAt := make(map[[2]string]int)
		for _, m := range Plan(in) {
			version := in.Engines[slices.IndexFunc(in.Engines, func(e EngineView) bool { return e.ID == m.Engine })].Version
			isMissing := replicasOf(m.Model, in.Engines) == 0
			for _, evicted := range m.Evictions {
				key := [2]string{evicted, version}
				lastAt[key]++
				if in.Demands[evicted].StreamVersions[version] && lastAt[key] >= before[key] && !isMissing {
					t.Fatalf("%+v evicts the last %s at %s", m, evicted, version)
				}
			}
		}
	})
}

// countAt returns the number of replicas by model and version.
func countAt(list []EngineView) map[[2]string]int {
	n := make(map[[2]string]int)
	for _, e := range list {
		for _, r := range e.Residents {
			n[[2]string{r.Model, e.Version}]++
		}
	}
	return n
}

// TestInterruptsStreams guards against an unload that is carried out although streams have begun since it was planned, and
// against one that is withdrawn for no stream.
func TestInterruptsStreams(t *testing.T) {
	leaving := func(list []EngineView, i int) []EngineView {
		list[i].Leaving = true
		return list
	}
	tests := map[string]struct {
		// engines are the views after the planned moves: e0 runs v2 and has m1 instead of m0.
		engines  []EngineView
		other    string
		versions []string
		want     bool
	}{
		"streams at the only engine": {
			engines: atVersions(engines([]string{"m1"}, []string{"m0"}, []string{"m1"}), "v2", "v1", "v1"), other: "m1", versions: []string{"v2"}, want: true,
		},
		"no streams": {
			engines: atVersions(engines([]string{"m1"}, []string{"m0"}, []string{"m1"}), "v2", "v1", "v1"), other: "m1",
		},
		"streams at another version": {
			engines: atVersions(engines([]string{"m1"}, []string{"m0"}, []string{"m1"}), "v2", "v1", "v1"), other: "m1", versions: []string{"v1"},
		},
		"another engine of the version": {
			engines: atVersions(engines([]string{"m1"}, []string{"m0"}, []string{"m1"}), "v2", "v2", "v1"), other: "m1", versions: []string{"v2"},
		},
		"the other engine of the version is leaving": {
			engines: leaving(atVersions(engines([]string{"m1"}, []string{"m0"}, []string{"m1"}), "v2", "v2", "v1"), 1), other: "m1", versions: []string{"v2"}, want: true,
		},
		"the other engine of the version is loading the model": {
			engines: func() []EngineView {
				list := atVersions(engines([]string{"m1"}, []string{"m0"}, []string{"m1"}), "v2", "v2", "v1")
				list[1].Loading = "m0"
				return list
			}(),
			other: "m1", versions: []string{"v2"}, want: true,
		},
		"the model to load has no other replica": {
			engines: atVersions(engines([]string{"m1"}, []string{"m0"}, []string{"m0"}), "v2", "v1", "v1"), other: "m1", versions: []string{"v2"},
		},
		"the other replica of the model to load is leaving": {
			engines: leaving(atVersions(engines([]string{"m1"}, []string{"m0"}, []string{"m1"}), "v2", "v1", "v1"), 2), other: "m1", versions: []string{"v2"},
		},
		"the load was abandoned": {
			engines: atVersions(engines(nil, []string{"m0"}, nil), "v2", "v1", "v1"), versions: []string{"v2"}, want: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			versions := needs(map[string]Demand{}, "m0", test.versions...)["m0"].StreamVersions
			assert.Equal(t, InterruptsStreams(test.engines, "e0", "m0", test.other, versions), test.want)
		})
	}
}

// TestPlanAdaptersForStreams guards against streams that cannot go on because their adapter was unloaded at their version,
// or is loaded at other versions only.
func TestPlanAdaptersForStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	adapter := func(name string) backend.Adapter { return backend.Adapter{Model: "m0", Name: name} }
	// Each engine holds m0 with the adapters of one list.
	holding := func(adapters ...[]string) []EngineView {
		list := engines(make([][]string, len(adapters))...)
		for i, names := range adapters {
			list[i].Residents = []backend.Resident{{Model: "m0", Adapters: names}}
		}
		return list
	}
	streams := func(name string, versions ...string) map[backend.Adapter]map[string]bool {
		return map[backend.Adapter]map[string]bool{adapter(name): needs(map[string]Demand{}, "", versions...)[""].StreamVersions}
	}
	missing := []backend.Adapter{adapter("new")}
	overdue := map[backend.Adapter]time.Time{adapter("new"): now.Add(-2 * time.Second)}
	tests := map[string]struct {
		in   AdapterInput
		want []AdapterMove
	}{
		"not in the place of one that streams need": {
			in:   AdapterInput{Spec: adapterSpec(1), Engines: atVersions(holding([]string{"a1"}, []string{"a1"}), "v1", "v2"), Missing: missing, StreamVersions: streams("a1", "v1")},
			want: []AdapterMove{{Engine: "e1", Adapter: adapter("new"), Evictions: []backend.Adapter{adapter("a1")}}},
		},
		"nowhere in the place of those that streams need": {
			in: AdapterInput{Spec: adapterSpec(1), Engines: atVersions(holding([]string{"a1"}, []string{"a1"}), "v1", "v2"), Missing: missing, StreamVersions: streams("a1", "v1", "v2")},
		},
		"in the place of one that another engine of the version holds": {
			in:   AdapterInput{Spec: adapterSpec(1), Engines: atVersions(holding([]string{"a1"}, []string{"a1"}), "v1", "v1"), Missing: missing, StreamVersions: streams("a1", "v1")},
			want: []AdapterMove{{Engine: "e0", Adapter: adapter("new"), Evictions: []backend.Adapter{adapter("a1")}}},
		},
		"after long waiting in the place of one that streams need": {
			in:   AdapterInput{Spec: adapterSpec(1), Engines: atVersions(holding([]string{"a1"}), "v1"), Missing: missing, StreamVersions: streams("a1", "v1"), WaitingSince: overdue},
			want: []AdapterMove{{Engine: "e0", Adapter: adapter("new"), Evictions: []backend.Adapter{adapter("a1")}}},
		},
		"after long waiting first in the place of one that no stream needs": {
			in:   AdapterInput{Spec: adapterSpec(2), Engines: atVersions(holding([]string{"a1", "a2"}), "v1"), Missing: missing, StreamVersions: streams("a1", "v1"), WaitingSince: overdue},
			want: []AdapterMove{{Engine: "e0", Adapter: adapter("new"), Evictions: []backend.Adapter{adapter("a2")}}},
		},
		"loaded at the version that its streams need": {
			in: AdapterInput{
				Spec: adapterSpec(2), Engines: atVersions(holding([]string{"new"}, nil, nil), "v1", "v1", "v2"), MissingAt: []AdapterAt{{adapter("new"), "v2"}},
				StreamVersions: streams("new", "v2"),
			},
			want: []AdapterMove{{Engine: "e2", Adapter: adapter("new")}},
		},
		"no engine of the version holds the model": {
			in: AdapterInput{
				Spec: adapterSpec(2), Engines: atVersions(engines([]string{"m0"}, []string{"m1"}), "v1", "v2"), MissingAt: []AdapterAt{{adapter("new"), "v2"}},
				StreamVersions: streams("new", "v2"),
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.in.Now = now
			assert.DeepEqual(t, PlanAdapters(test.in), test.want)
		})
	}
}
