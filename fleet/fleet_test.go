package fleet_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/fleet"
)

func delta(epoch int64, version uint64, full bool, servers ...fleet.Server) fleet.CellDelta {
	return fleet.CellDelta{
		CellVersion: fleet.CellVersion{Cell: "c", Epoch: epoch, Version: version}, Full: full, Servers: servers,
	}
}

func newServer(id string, version uint64) fleet.Server {
	return fleet.Server{ID: id, Version: version, Services: []string{"s"}}
}

func TestMerge(t *testing.T) {
	base := delta(2, 5, true, newServer("a", 4), newServer("b", 5))
	tests := map[string]struct {
		delta   fleet.CellDelta
		changed bool
		servers int
	}{
		"newer version":               {delta(2, 6, false, newServer("c", 6)), true, 3},
		"same again":                  {base, false, 2},
		"older version":               {delta(2, 4, false, newServer("a", 4)), false, 2},
		"former planner":              {delta(1, 99, true, newServer("a", 99)), false, 2},
		"next planner, whole":         {delta(3, 1, true, newServer("a", 1)), true, 1},
		"next planner, only a change": {delta(3, 2, false, newServer("a", 2)), false, 2},
		"server gone":                 {delta(2, 6, false, fleet.Server{ID: "a", Version: 6, Gone: true}), true, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var v fleet.View
			assert.Assert(t, v.Merge([]fleet.CellDelta{base}))
			assert.Equal(t, v.Merge([]fleet.CellDelta{tc.delta}), tc.changed)
			assert.Equal(t, len(v.Servers()), tc.servers)
			assert.Equal(t, len(v.Serving("s")), tc.servers)
		})
	}
}

// TestJSONRoundTrip checks the JSON form of digests, and that digests and deltas are decoded unchanged.
func TestJSONRoundTrip(t *testing.T) {
	var v fleet.View
	d := delta(2, 5, true, newServer("a", 4))
	d.Demand = []fleet.Demand{{Name: "m", Level: 3, Version: 5}}
	v.Merge([]fleet.CellDelta{d})
	data, err := json.Marshal(v.Digest())
	assert.NilError(t, err)
	assert.Equal(t, string(data), `[["c",2,5]]`)
	var digest fleet.Digest
	assert.NilError(t, json.Unmarshal(data, &digest))
	assert.DeepEqual(t, digest, v.Digest())
	data, err = json.Marshal(v.Since(nil))
	assert.NilError(t, err)
	var deltas []fleet.CellDelta
	assert.NilError(t, json.Unmarshal(data, &deltas))
	assert.DeepEqual(t, deltas, []fleet.CellDelta{d})
}

// TestViewsConverge checks that views which exchange deltas in random order become equal.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := make([]fleet.View, 4)
		views[0].Merge([]fleet.CellDelta{delta(1, 1, true)})
		for v := uint64(2); v < 20; v++ {
			id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "server"))
			views[0].Merge([]fleet.CellDelta{delta(1, v, false, newServer(id, v))})
			a := rapid.IntRange(0, 3).Draw(t, "asks")
			b := rapid.IntRange(0, 3).Draw(t, "asked")
			views[a].Merge(views[b].Since(views[a].Digest()))
		}
		for i := range views {
			views[i].Merge(views[0].Since(views[i].Digest()))
			assert.DeepEqual(t, views[i].Servers(), views[0].Servers())
			assert.DeepEqual(t, views[i].Digest(), views[0].Digest())
		}
	})
}
