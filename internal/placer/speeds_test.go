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

// TestSpeedsAreLearnedOnce checks that samples of many gateways add up to one published speed, that only
// changes are sent, and that the next leader starts with the speeds that it knows.
func TestSpeedsAreLearnedOnce(t *testing.T) { synctest.Test(t, testSpeedsAreLearnedOnce) }

func testSpeedsAreLearnedOnce(t *testing.T) {
	const speed = 0.0057
	f := newFixture(t, 2, []string{"m0", "m1"})
	p := f.start(true)
	f.advance(5 * time.Second)
	for i := range 100 {
		p.Report(placer.Report{GatewayID: string(rune('a' + i%20)), Samples: []dispatch.PrefillSample{{Model: "m0", MsPerToken: speed}}})
	}
	reply := p.Report(placer.Report{GatewayID: "new"})
	assert.Assert(t, math.Abs(reply.Speeds["m0"]-speed) < 0.15*speed, "%v", reply.Speeds)
	reply = p.Report(placer.Report{GatewayID: "new", SpeedsVersion: reply.SpeedsVersion})
	assert.Equal(t, len(reply.Speeds), 0)
	f.lease.set(9)
	f.advance(5 * time.Second)
	reply = p.Report(placer.Report{GatewayID: "new", SpeedsVersion: reply.SpeedsVersion})
	assert.Equal(t, len(reply.Speeds), 1, "another term begins with all that it knows")
}

// TestSamplesBeforeTheTerm guards against a panic on samples that arrive after the lease was acquired and
// before the first step of the term.
func TestSamplesBeforeTheTerm(t *testing.T) { synctest.Test(t, testSamplesBeforeTheTerm) }

func testSamplesBeforeTheTerm(t *testing.T) {
	f := newFixture(t, 2, []string{"m0", "m1"})
	p := f.start(true)
	reply := p.Report(placer.Report{GatewayID: "g", Samples: []dispatch.PrefillSample{{Model: "m0", MsPerToken: 0.01}}})
	assert.Assert(t, reply.IsLeader)
	f.advance(5 * time.Second)
	reply = p.Report(placer.Report{GatewayID: "g"})
	assert.Equal(t, len(reply.Speeds), 1)
}
