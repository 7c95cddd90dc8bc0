package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/dispatch"
)

// TestObjectiveOfDemand adds up what gateways report of a model and its adapters.
func TestObjectiveOfDemand(t *testing.T) {
	tests := map[string]struct {
		reports []map[string]dispatch.Demand
		asked   bool
		want    time.Duration
	}{
		"never asked for": {},
		"one gateway":     {reports: []map[string]dispatch.Demand{{"m": {ObjectiveMs: 5000}}}, asked: true, want: 5 * time.Second},
		"the shortest of two gateways": {
			reports: []map[string]dispatch.Demand{{"m": {ObjectiveMs: 5000}}, {"m": {ObjectiveMs: 400}}}, asked: true, want: 400 * time.Millisecond,
		},
		"an adapter's is shorter": {
			reports: []map[string]dispatch.Demand{{"m": {ObjectiveMs: 5000}, "m/a1": {ObjectiveMs: 500}}}, asked: true, want: 500 * time.Millisecond,
		},
		"one without an objective": {reports: []map[string]dispatch.Demand{{"m": {ObjectiveMs: 5000}}, {"m": {}}}, asked: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDemand()
			for i, demands := range test.reports {
				d.apply(Report{GatewayID: fmt.Sprint("g", i), Demands: demands}, time.Unix(1000, 0))
			}
			got := d.modelDemands()["m"]
			assert.Equal(t, got.Asked, test.asked)
			assert.Equal(t, got.Objective, test.want)
		})
	}
}
