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

// A limitFleet is a simulated fleet whose gateways exchange what servers said of their limits.
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

// answers lets a number of servers name their limits to one gateway each.
func (f *limitFleet) answers(servers int, r *rand.Rand) {
	for i := range servers {
		g := r.IntN(len(f.tables))
		f.tables[g].Observe(fmt.Sprint("i-0123456", i), serverlimit.Reading{Kind: serverlimit.Named, PerSecond: 1.8}, f.clock.Now())
		f.reportSoon(g)
	}
}

// allKnow reports whether every gateway knows a number of limits.
func (f *limitFleet) allKnow(servers int) bool {
	for _, t := range f.tables {
		if len(t.List()) < servers {
			return false
		}
	}
	return true
}

// TestServerLimitsAreKnownInTime lets all servers of a data hall name limits at once, each to one gateway only, and
// takes the time until all gateways know them: two seconds at most, so that the third of contactTime is left for asks.
// Then it takes the bytes that a gateway exchanges while the limits stand.
func TestServerLimitsAreKnownInTime(t *testing.T) {
	const (
		servers = 146
		step    = 10 * time.Millisecond
		stands  = 20 * time.Second
		pace    = time.Second
		// budget is what a gateway may exchange for control, in bytes a second.
		budget = 5000
	)
	for _, gateways := range []int{6, 24, 103, 340} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 0))
			f := newLimitFleet(gateways, r)
			f.answers(servers, r)
			for !f.allKnow(servers) {
				f.step(step)
			}
			known := f.clock.Now().Sub(time.Unix(0, 0))
			f.bytes = 0
			for range int(stands / pace) {
				f.answers(servers, r)
				for range int(pace / step) {
					f.step(step)
				}
			}
			rate := f.bytes / gateways / int(stands.Seconds())
			t.Logf("known after %v, then %d bytes a second and gateway", known, rate)
			assert.Assert(t, known <= 2*time.Second, "known after %v", known)
			assert.Assert(t, rate <= budget, "%d bytes a second", rate)
		})
	}
}
