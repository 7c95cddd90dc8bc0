package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/departure"
)

// TestDeparturesAreKnownInTime checks that the announcements of all servers of a data hall, each to one gateway only,
// reach all gateways within 2 s, the time for which a server that is leaving serves on, and what they cost.
func TestDeparturesAreKnownInTime(t *testing.T) {
	const (
		servers = 146
		step    = 10 * time.Millisecond
		most    = 2 * time.Second
		// budget is the maximum control traffic of a gateway, in bytes per second, over costWindow.
		budget     = 5000
		costWindow = 5 * time.Second
	)
	for _, gateways := range []int{6, 24, 103, 356, 712} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 0))
			c := clocktest.New(time.Unix(0, 0))
			var tables []*departure.Table
			var links []*departure.Link
			for range gateways {
				table := departure.New(departure.Options{Clock: c})
				tables = append(tables, table)
				links = append(links, departure.NewLink(table))
			}
			f := newSimulatedFleet(c, departure.New(departure.Options{Clock: c}).Answer, links, r)
			for i := range servers {
				g := r.IntN(gateways)
				tables[g].Observe(fmt.Sprint("i-0123456", i))
				f.reportSoon(g)
			}
			known := time.Duration(-1)
			for f.clock.Now().Sub(time.Unix(0, 0)) < costWindow {
				f.step(step)
				if known < 0 && allHave(tables, servers) {
					known = f.clock.Now().Sub(time.Unix(0, 0))
				}
			}
			rate := f.bytes / gateways / int(costWindow.Seconds())
			t.Logf("known after %v, %d bytes a second and gateway", known, rate)
			assert.Assert(t, known >= 0 && known <= most, "known after %v", known)
			assert.Assert(t, rate <= budget, "%d bytes a second", rate)
		})
	}
}

// allHave reports whether all tables have the announcements of the given number of servers.
func allHave(tables []*departure.Table, servers int) bool {
	for _, table := range tables {
		for i := range servers {
			if !table.HasAnnounced(fmt.Sprint("i-0123456", i)) {
				return false
			}
		}
	}
	return true
}
