package placer

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/dispatch"
	"rockcleat/servertime"
)

// TestOldBuildsReportTokens plays a rollout: two gateways report the same requests, one of them only in tokens. It guards
// against demand that vanishes, or that mixes the units, while builds run side by side.
func TestOldBuildsReportTokens(t *testing.T) {
	const prefill, tokensPerStep, msPerStep = 0.1, 3000, 300
	tests := map[string]struct {
		// measures holds whether each gateway measures engine time.
		measures []bool
	}{"new": {measures: []bool{true, true}}, "both": {measures: []bool{true, false}}, "old": {measures: []bool{false, false}}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := newDemand()
			d.engineTime = newEngineTimeDemand(func(string) float64 { return prefill })
			for step := range 200 {
				for g, measures := range test.measures {
					x := dispatch.Demand{Arrived: step, WorkTokens: step * tokensPerStep, Service: "llm"}
					if measures {
						x.WorkMs = step * msPerStep
					}
					d.apply(Report{GatewayID: string(rune('a' + g)), Demands: map[string]dispatch.Demand{"m": x}}, now)
				}
				now = now.Add(100 * time.Millisecond)
				d.step(100 * time.Millisecond)
			}
			want := 10.0 * msPerStep * float64(len(test.measures))
			assert.Assert(t, math.Abs(d.msPerSecond("m")-want) < 0.01*want, "%v ms/s, want %v", d.msPerSecond("m"), want)
			got := d.inEngineTime()["m"].TokensPerSecond
			assert.Assert(t, math.Abs(got-servertime.ReferenceTokens(want)) < 0.01*got)
			tokens := d.modelDemands()["m"].TokensPerSecond
			assert.Assert(t, math.Abs(tokens-10*tokensPerStep*2) < 0.01*tokens, "the demand in tokens stays as it is: %v", tokens)
		})
	}
}

// TestSlowModelsGetMoreReplicasThanTokensSay plays two models with the same tokens, one of which takes four times the
// engine time. It guards against demand that is equal for both.
func TestSlowModelsGetMoreReplicasThanTokensSay(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand()
	d.engineTime = newEngineTimeDemand(func(string) float64 { return 0.05 })
	for step := range 100 {
		d.apply(Report{GatewayID: "g", Demands: map[string]dispatch.Demand{
			"fast": {Arrived: step, WorkTokens: step * 1000, WorkMs: step * 50},
			"slow": {Arrived: step, WorkTokens: step * 1000, WorkMs: step * 200},
		}}, now)
		d.step(100 * time.Millisecond)
	}
	demands := d.inEngineTime()
	ratio := demands["slow"].TokensPerSecond / demands["fast"].TokensPerSecond
	assert.Assert(t, math.Abs(ratio-4) < 1e-6, "%v", ratio)
	assert.Equal(t, d.modelDemands()["slow"].TokensPerSecond, d.modelDemands()["fast"].TokensPerSecond)
}

// TestReportBytesOfServerTime plays ten seconds of 24 requests a second at a gateway, over 98 models, and two step
// samples a second. It guards against reports that grow by more than a tenth of the 5 KB/s that a gateway's control
// traffic may use, from 30 gateways on; with fewer, reports are more frequent than the load needs.
func TestReportBytesOfServerTime(t *testing.T) {
	const maxBytesPerSecond = 512
	for _, gateways := range []int{6, 30, 103, 356, 712} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			interval := ReportInterval(gateways)
			reports := int(10 * time.Second / interval)
			added, total := 0, 0
			for i := range reports {
				without, with := reportsOfStep(i, interval)
				added += jsonSize(t, with) - jsonSize(t, without)
				total += jsonSize(t, without)
			}
			perSecond := float64(added) / (time.Duration(reports) * interval).Seconds()
			t.Logf("%d bytes more in a report of %d, each %v: %.0f B/s", added/reports, total/reports, interval, perSecond)
			assert.Assert(t, gateways < 30 || perSecond <= maxBytesPerSecond, "%v B/s", perSecond)
		})
	}
}

// reportsOfStep returns the i-th report of a gateway without and with engine time.
func reportsOfStep(i int, interval time.Duration) (without, with Report) {
	due := func(perSecond float64) int {
		return int(perSecond*interval.Seconds()*float64(i+1)) - int(perSecond*interval.Seconds()*float64(i))
	}
	r := rand.New(rand.NewPCG(uint64(i), 8))
	without = Report{Demands: make(map[string]dispatch.Demand), SpeedsVersion: 7 << 20}
	with = Report{Demands: make(map[string]dispatch.Demand), SpeedsVersion: 7 << 20, StepsVersion: 7 << 20}
	for range due(24) {
		name := fmt.Sprintf("model-name-%02d", r.IntN(98))
		x := dispatch.Demand{Arrived: 10_000, WorkTokens: 40_000_000, Service: "engines", Running: 2}
		without.Demands[name] = x
		x.WorkMs = 2_000_000
		with.Demands[name] = x
	}
	for range due(2) {
		with.StepSamples = append(with.StepSamples, servertime.StepSample{Model: "model-name-01", Ms: 12.34})
	}
	return without, with
}

func jsonSize(t *testing.T, r Report) int {
	t.Helper()
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	return len(data)
}
