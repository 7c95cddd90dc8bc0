package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/quarantine"
)

// A quarantineFleet is a simulated fleet whose gateways exchange the quarantine.
type quarantineFleet struct {
	*simulatedFleet[quarantine.Record]
	tables []*quarantine.Table
}

func newSimulatedQuarantineFleet(gateways int, r *rand.Rand) *quarantineFleet {
	c := clocktest.New(time.Unix(0, 0))
	table := func() *quarantine.Table {
		return quarantine.New(quarantine.Options{Clock: c, CrashThreshold: quarantine.DefaultCrashThreshold, Duration: quarantine.DefaultDuration})
	}
	f := &quarantineFleet{}
	var links []*quarantine.Link
	for range gateways {
		t := table()
		f.tables = append(f.tables, t)
		links = append(links, quarantine.NewLink(t, quarantine.AllRecords))
	}
	leader := table()
	handleReport := func(m quarantine.Message) *quarantine.Reply { return leader.Answer(m, quarantine.SharedRecords) }
	f.simulatedFleet = newSimulatedFleet(c, handleReport, links, r)
	return f
}

// crash records the crash of a server under requests of one gateway, and schedules an urgent report.
func (f *quarantineFleet) crash(server string, gateway int, keys ...quarantine.Key) {
	f.tables[gateway].RecordCrash(server, contentSuspects(keys...)...)
	f.reportSoon(gateway)
}

// contentSuspects returns the contents with the given keys as suspects of a crash.
func contentSuspects(keys ...quarantine.Key) []quarantine.Suspect {
	list := make([]quarantine.Suspect, len(keys))
	for i, k := range keys {
		list[i] = quarantine.Suspect{Trait: quarantine.ContentTrait(k)}
	}
	return list
}

// allQuarantine reports whether all gateways have a request in quarantine.
func (f *quarantineFleet) allQuarantine(k quarantine.Key) bool {
	for _, t := range f.tables {
		if _, _, held := t.Quarantine(quarantine.ContentTrait(k)); !held {
			return false
		}
	}
	return true
}

// TestQuarantineIsKnownInTime checks that all gateways have a request in quarantine within 2 s of the third
// crash. Each crash is observed by a random gateway, together with other requests on the same server. Network latency
// is not simulated.
func TestQuarantineIsKnownInTime(t *testing.T) {
	const seeds, requests, step = 20, 24, 10 * time.Millisecond
	for _, gateways := range []int{6, 24, 103, 340} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			var longest time.Duration
			bytes := 0
			for seed := range uint64(seeds) {
				r := rand.New(rand.NewPCG(seed, 0))
				f := newSimulatedQuarantineFleet(gateways, r)
				poison := quarantine.KeyOf(quarantine.Request{Target: "/poison"})
				for i := range quarantine.DefaultCrashThreshold {
					keys := []quarantine.Key{poison}
					for n := range requests - 1 {
						keys = append(keys, quarantine.KeyOf(quarantine.Request{Target: fmt.Sprint("/", i, n)}))
					}
					f.crash(fmt.Sprint("s", i), r.IntN(gateways), keys...)
					if i < quarantine.DefaultCrashThreshold-1 {
						f.step(time.Duration(r.IntN(1000)) * time.Millisecond)
					}
				}
				third := f.clock.Now()
				for !f.allQuarantine(poison) {
					f.step(step)
				}
				longest = max(longest, f.clock.Now().Sub(third))
				bytes = max(bytes, f.bytes)
			}
			t.Logf("known after %v, %d bytes exchanged in all", longest, bytes)
			assert.Assert(t, longest < 2*time.Second)
		})
	}
}
