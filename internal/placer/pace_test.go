package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/dispatch"
)

// TestGatewaysAreNotForgottenBetweenReports checks that with any number of gateways
// each is known until several of its reports did not come.
func TestGatewaysAreNotForgottenBetweenReports(t *testing.T) {
	tests := map[string]struct {
		gateways int
		pace     time.Duration
	}{
		"one":                   {gateways: 1, pace: 80 * time.Millisecond},
		"a small site":          {gateways: 6, pace: 80 * time.Millisecond},
		"a grown one":           {gateways: 25, pace: 160 * time.Millisecond},
		"a hundred":             {gateways: 100, pace: 640 * time.Millisecond},
		"at the letter's size":  {gateways: 340, pace: time.Second},
		"more than ever needed": {gateways: 5000, pace: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, ReportPace(test.gateways), test.pace)
			assert.Assert(t, silence(test.gateways) >= 3*test.pace)
			assert.Assert(t, silence(test.gateways) >= gatewaySilence)
		})
	}
}

// TestDemandOfManyGateways lets many gateways report at their pace and checks that
// what they ask for counts.
func TestDemandOfManyGateways(t *testing.T) {
	const gateways = 340
	now := time.Unix(1000, 0)
	d := newDemand()
	arrived := 0
	for range 6 {
		arrived += 10
		for i := range gateways {
			d.take(reportOf(i, arrived), now)
		}
		now = now.Add(ReportPace(gateways))
		d.step(ReportPace(gateways))
		d.forget(now, silence(len(d.gateways)))
	}
	assert.Assert(t, d.wants()["m"].Weight > 0)
}

func reportOf(i, arrived int) Report {
	return Report{
		From:    fmt.Sprint("g", i),
		Demands: map[string]dispatch.Demand{"m": {Arrived: arrived, Tokens: arrived * 1000, Service: "llm"}},
	}
}
