package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/dispatch"
)

// TestObjectiveOfDemand checks that the objective of a model is the shortest among those reported for the
// model and its adapters.
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
			assert.Equal(t, got.Requested, test.asked)
			assert.Equal(t, got.Objective, test.want)
		})
	}
}

// TestNewLeaderKnowsTheGateways checks that a leader starts its term with the gateways known before, waits
// for their reports, and removes those that do not report.
func TestNewLeaderKnowsTheGateways(t *testing.T) {
	const timeout = 2 * time.Second
	start := time.Unix(1000, 0)
	known := []Gateway{
		{Gateway: dispatch.Gateway{ID: "a", Hall: "h"}, Addr: "a:1"}, {Gateway: dispatch.Gateway{ID: "b", Hall: "h"}, Addr: "b:1"},
	}
	d := newDemand()
	d.apply(Report{GatewayID: "a", Addr: "a:1", Hall: "h"}, start)
	d.addAwaited(known, start)
	list, version := d.listGateways()
	assert.DeepEqual(t, list, known)
	assert.Equal(t, len(d.awaited), 1, "one is awaited")
	d.apply(Report{GatewayID: "b", Addr: "b:1", Hall: "h"}, start.Add(time.Second))
	_, after := d.listGateways()
	assert.Equal(t, after, version, "the list is the same")
	assert.Equal(t, len(d.awaited), 0)
	d.addAwaited(append(known, Gateway{Gateway: dispatch.Gateway{ID: "c"}, Addr: "c:1"}), start.Add(time.Second))
	d.removeUnresponsive(start.Add(time.Second+timeout+1), timeout)
	list, _ = d.listGateways()
	assert.Equal(t, len(list), 0)
}

// TestExcessOfOtherGateways checks the mean in replies, whatever order reports, restarts and losses come in.
func TestExcessOfOtherGateways(t *testing.T) {
	start := time.Unix(1000, 0)
	d := newDemand()
	report := func(id string, percent int, full bool, after time.Duration) int {
		r := Report{GatewayID: id, Addr: id + ":1", Hall: "h", ExcessPercent: percent, Full: full}
		d.apply(r, start.Add(after))
		return d.excessOfOthers(r)
	}
	assert.Equal(t, report("a", 90, true, 0), 0, "not itself")
	assert.Equal(t, report("b", 0, true, 0), 90)
	assert.Equal(t, report("b", 30, false, 0), 90)
	assert.Equal(t, report("b", 50, true, 0), 90, "a full report replaces the last one")
	assert.Equal(t, report("c", 0, true, 2*time.Second), 70)
	assert.Equal(t, report("b", 0, false, 2*time.Second), 45)
	d.removeUnresponsive(start.Add(2*time.Second), time.Second)
	assert.Equal(t, report("c", 0, false, 2*time.Second), 0, "a is lost")
	assert.Equal(t, report("a", 0, true, 2*time.Second), 0)
}
