package residency_test

import (
	"fmt"

	"rockcleat/backend"
	"rockcleat/residency"
	"rockcleat/table"
)

// A model without a replica replaces one of two replicas of another model.
func ExamplePlan() {
	spec := &table.EngineSpec{WeightsMB: 100, Models: []table.ModelSpec{
		{Name: "draft", WeightsMB: 60}, {Name: "hint", WeightsMB: 60},
	}}
	draft := []backend.Resident{{Model: "draft"}}
	moves := residency.Plan(residency.Input{
		Spec: spec,
		Engines: []residency.EngineView{
			{ID: "e1", Hall: "kita", Residents: draft, Idle: true},
			{ID: "e2", Hall: "chuo", Residents: draft, Idle: true},
		},
		Demands:           map[string]residency.Demand{"hint": {Waiting: 1}},
		StoreLoadsAllowed: 1,
	})
	for _, m := range moves {
		fmt.Println(m.Engine, "loads", m.Model, "after", m.Evictions)
	}
	// Output: e1 loads hint after [draft]
}
