package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/serverlimit"
)

// A limitFleet is a simulated fleet whose gateways exchange the rate limits of servers.
type limitFleet struct {
	*simulatedFleet[serverlimit.Record]
	tables []*serverlimit.Table
}

func newLimitFleet(gateways int, r *rand.Rand) *limitFleet {
	c := clocktest.New(time.Unix(0, 0))
	f := &limitFleet{}
	var links []*serverlimit.Link
	for range gateways {
		t := serverlimit.New(serverlimit.Options{Clock: c})
		f.tables = append(f.tables, t)
		links = append(links, serverlimit.NewLink(t))
	}
	f.simulatedFleet = newSimulatedFleet(c, serverlimit.New(serverlimit.Options{Clock: c}).Answer, links, r)
	return f
}

// announce simulates one response with a rate limit from each server, received by a random gateway.
func (f *limitFleet) announce(servers int, r *rand.Rand) {
	for i := range servers {
		g := r.IntN(len(f.tables))
		f.tables[g].Observe(fmt.Sprint("i-0123456", i), serverlimit.HeaderLimit{Kind: serverlimit.Limited, PerSecond: 1.8}, f.clock.Now())
		f.reportSoon(g)
	}
}

// allKnow reports whether all gateways know at least the given number of rate limits.
func (f *limitFleet) allKnow(servers int) bool {
	for _, t := range f.tables {
		if len(t.List()) < servers {
			return false
		}
	}
	return true
}

// TestServerLimitsAreKnownInTime checks that rate limits announced by all servers of a data hall, each to one gateway
// only, reach all gateways within 2 s, which leaves the rest of propagationTime for requests for permits. It also
// checks the traffic per gateway while the limits stay in force.
func TestServerLimitsAreKnownInTime(t *testing.T) {
	const (
		servers  = 146
		step     = 10 * time.Millisecond
		duration = 20 * time.Second
		interval = time.Second
		// budget is the maximum control traffic of a gateway, in bytes per second.
		budget = 5000
	)
	for _, gateways := range []int{6, 24, 103, 340} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 0))
			f := newLimitFleet(gateways, r)
			f.announce(servers, r)
			for !f.allKnow(servers) {
				f.step(step)
			}
			known := f.clock.Now().Sub(time.Unix(0, 0))
			f.bytes = 0
			for range int(duration / interval) {
				f.announce(servers, r)
				for range int(interval / step) {
					f.step(step)
				}
			}
			rate := f.bytes / gateways / int(duration.Seconds())
			t.Logf("known after %v, then %d bytes a second and gateway", known, rate)
			assert.Assert(t, known <= 2*time.Second, "known after %v", known)
			assert.Assert(t, rate <= budget, "%d bytes a second", rate)
		})
	}
}
