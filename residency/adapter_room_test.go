package residency

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// TestPlanMakesRoomForAdapters guards against adapters that can never be loaded because the models on the engines leave no
// memory for them. An engine has 200 GB, an adapter 100 MB.
func TestPlanMakesRoomForAdapters(t *testing.T) {
	full := []string{"m0", "m1"}
	tests := map[string]struct {
		held    [][]string
		missing []string
		change  func(list []EngineView)
		want    []Move
	}{
		"one of two replicas is evicted": {
			held: [][]string{full, full}, missing: []string{"m0"},
			want: []Move{{Engine: "e0", AdaptersOf: "m0", Evictions: []string{"m1"}}},
		},
		"once for a model": {
			held: [][]string{full, full}, missing: []string{"m0", "m0"},
			want: []Move{{Engine: "e0", AdaptersOf: "m0", Evictions: []string{"m1"}}},
		},
		"each model keeps a replica": {
			held: [][]string{full, full}, missing: []string{"m0", "m1"},
			want: []Move{{Engine: "e0", AdaptersOf: "m0", Evictions: []string{"m1"}}, {Engine: "e1", AdaptersOf: "m1", Evictions: []string{"m0"}}},
		},
		"not the last replica":           {held: [][]string{full}, missing: []string{"m0"}},
		"not if another engine has room": {held: [][]string{full, full, {"m0"}}, missing: []string{"m0"}},
		"not for a model without replica": {
			held: [][]string{{"m1"}, {"m1"}}, missing: []string{"m0"},
			want: []Move{{Engine: "e0", Model: "m0", Evictions: []string{"m1"}}},
		},
		"not on an engine with an order in progress": {
			held: [][]string{full, full}, missing: []string{"m0"}, change: func(list []EngineView) { list[0].Idle = false },
			want: []Move{{Engine: "e1", AdaptersOf: "m0", Evictions: []string{"m1"}}},
		},
		"not a replica that was loaded just now": {
			held: [][]string{full, full}, missing: []string{"m0"},
			change: func(list []EngineView) { list[0].RecentlyLoaded = map[string]bool{"m1": true} },
			want:   []Move{{Engine: "e1", AdaptersOf: "m0", Evictions: []string{"m1"}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := Input{Spec: spec(100, 99.95), Engines: engines(test.held...), Demands: demands(10, 10), StoreLoadsAllowed: 1}
			for _, model := range test.missing {
				in.MissingAdapters = append(in.MissingAdapters, backend.Adapter{Model: model, Name: "a1"})
			}
			if test.change != nil {
				test.change(in.Engines)
			}
			moves := slices.Clone(Plan(in))
			for i := range moves {
				moves[i].Source = 0
			}
			assert.DeepEqual(t, moves, test.want)
		})
	}
}
