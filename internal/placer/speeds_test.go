package placer_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/dispatch"
	"rockcleat/internal/placer"
)

// TestSpeedsAreLearnedOnce checks that a speed which many gateways have each seen little of is sent to
// all, that gateways are sent only what has changed, and that the next leader begins with what it
// knows itself.
func TestSpeedsAreLearnedOnce(t *testing.T) { synctest.Test(t, testSpeedsAreLearnedOnce) }

func testSpeedsAreLearnedOnce(t *testing.T) {
	const speed = 0.0057
	w := newWorld(t, 2, []string{"m0", "m1"})
	p := w.start(true)
	w.pass(5 * time.Second)
	for i := range 100 {
		p.Report(placer.Report{GatewayID: string(rune('a' + i%20)), Samples: []dispatch.PrefillSample{{Model: "m0", MsPerToken: speed}}})
	}
	a := p.Report(placer.Report{GatewayID: "new"})
	assert.Assert(t, math.Abs(a.Speeds["m0"]-speed) < 0.15*speed, "%v", a.Speeds)
	a = p.Report(placer.Report{GatewayID: "new", SpeedsVersion: a.SpeedsVersion})
	assert.Equal(t, len(a.Speeds), 0)
	w.lease.set(9)
	w.pass(5 * time.Second)
	a = p.Report(placer.Report{GatewayID: "new", SpeedsVersion: a.SpeedsVersion})
	assert.Equal(t, len(a.Speeds), 1, "another term begins with all that it knows")
}

// TestSamplesBeforeTheTerm reports samples to a process that holds the lease and has not made its first
// step as the leader yet. All gateways had restarted and the leader ended with each such report.
func TestSamplesBeforeTheTerm(t *testing.T) { synctest.Test(t, testSamplesBeforeTheTerm) }

func testSamplesBeforeTheTerm(t *testing.T) {
	w := newWorld(t, 2, []string{"m0", "m1"})
	p := w.start(true)
	a := p.Report(placer.Report{GatewayID: "g", Samples: []dispatch.PrefillSample{{Model: "m0", MsPerToken: 0.01}}})
	assert.Assert(t, a.IsLeader)
	w.pass(5 * time.Second)
	a = p.Report(placer.Report{GatewayID: "g"})
	assert.Equal(t, len(a.Speeds), 1)
}
