package residency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// TestLastReplica checks under which conditions the last replica of a model is evicted for a second replica of
// another one.
func TestLastReplica(t *testing.T) {
	canWait := Demand{TokensPerSecond: 1, Asked: true, Objective: 5 * time.Second}
	tests := map[string]struct {
		demand     Demand
		succession *Succession
		cached     bool
		recent     bool
		goes       bool
	}{
		"requests that can wait for a load":    {demand: canWait, goes: true},
		"a request that waits":                 {demand: Demand{TokensPerSecond: 1, Asked: true, Objective: 5 * time.Second, Waiting: 1}},
		"loaded just now":                      {demand: canWait, recent: true},
		"more demand than a twentieth":         {demand: Demand{TokensPerSecond: 60, Asked: true, Objective: 5 * time.Second}},
		"too much demand":                      {demand: Demand{TokensPerSecond: 100, Asked: true, Objective: 5 * time.Second}},
		"an objective shorter than two loads":  {demand: Demand{TokensPerSecond: 1, Asked: true, Objective: 3 * time.Second}},
		"no objective":                         {demand: Demand{TokensPerSecond: 1, Asked: true}},
		"never asked for":                      {},
		"never asked for, weights cached":      {cached: true},
		"not next to rise, weights cached":     {succession: trainedSuccession(), cached: true, goes: true},
		"not next to rise, weights not cached": {succession: trainedSuccession()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := []EngineView{
				{ID: "e0", Idle: true, Residents: []backend.Resident{{Model: "m0"}}},
				{ID: "e1", Idle: true, Residents: []backend.Resident{{Model: "m1"}, {Model: "m2"}}},
			}
			if test.cached {
				list[0].CachedOnDisk = []string{"m0"}
			}
			if test.recent {
				list[0].RecentlyLoaded = map[string]bool{"m0": true}
			}
			moves := Plan(Input{
				Spec: spec(150, 150, 10), Engines: list, StoreLoadsAllowed: 1, Succession: test.succession,
				Demands: map[string]Demand{"m0": test.demand, "m1": {TokensPerSecond: 1000}},
			})
			evicted := false
			for _, m := range moves {
				evicted = evicted || len(m.Evictions) > 0 && m.Evictions[0] == "m0"
			}
			assert.Equal(t, evicted, test.goes, "%v", moves)
		})
	}
}

// TestReloadOnRequest checks that a requested model without a replica is loaded in the place of a model with
// two, on the engine whose machine has its weights cached.
func TestReloadOnRequest(t *testing.T) {
	list := []EngineView{
		{ID: "e0", Idle: true, Residents: []backend.Resident{{Model: "m1"}}},
		{ID: "e1", Idle: true, Residents: []backend.Resident{{Model: "m1"}}, CachedOnDisk: []string{"m0"}},
	}
	moves := Plan(Input{
		Spec: spec(150, 150), Engines: list, StoreLoadsAllowed: 1, Demands: map[string]Demand{
			"m0": {Asked: true, Objective: 5 * time.Second, Waiting: 1}, "m1": {TokensPerSecond: 1000},
		},
	})
	assert.DeepEqual(t, moves, []Move{{Engine: "e1", Model: "m0", Evictions: []string{"m1"}, Source: FromDisk}})
}
