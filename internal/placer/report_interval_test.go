package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/dispatch"
)

// TestGatewaysAreNotForgottenBetweenReports checks that a gateway is removed only after several missed
// reports, for any number of gateways.
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
			assert.Equal(t, ReportInterval(test.gateways), test.pace)
			assert.Assert(t, gatewayTimeoutFor(test.gateways) >= 3*test.pace)
			assert.Assert(t, gatewayTimeoutFor(test.gateways) >= minGatewayTimeout)
		})
	}
}

// TestDemandOfManyGateways checks that demand is counted when many gateways report at a long interval.
func TestDemandOfManyGateways(t *testing.T) {
	const gateways = 340
	now := time.Unix(1000, 0)
	d := newDemand()
	arrived := 0
	for range 6 {
		arrived += 10
		for i := range gateways {
			d.apply(reportOf(i, arrived), now)
		}
		now = now.Add(ReportInterval(gateways))
		d.step(ReportInterval(gateways))
		d.removeSilent(now, gatewayTimeoutFor(len(d.gateways)))
	}
	assert.Assert(t, d.modelDemands()["m"].TokensPerSecond > 0)
}

func reportOf(i, arrived int) Report {
	return Report{
		GatewayID: fmt.Sprint("g", i),
		Demands:   map[string]dispatch.Demand{"m": {Arrived: arrived, WorkTokens: arrived * 1000, Service: "llm"}},
	}
}
