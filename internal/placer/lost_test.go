package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/servertime"
)

// A load is the demand that a fixture's gateways report.
type load struct {
	f        *fixture
	gateways int
	arrived  map[string][]int
	// ended names the servers that the gateways report as ended.
	ended []string
}

func newLoad(f *fixture, gateways int) *load {
	return &load{f: f, gateways: gateways, arrived: make(map[string][]int)}
}

// run plays requests for a time: perSecond holds the requests per second of all gateways together, by model. Each
// request takes 100 ms of engine time. Each gateway reports every 150 ms.
func (l *load) run(d time.Duration, perSecond map[string]float64) {
	const interval = 150 * time.Millisecond
	for range int(d / interval) {
		for model, rate := range perSecond {
			if l.arrived[model] == nil {
				l.arrived[model] = make([]int, l.gateways)
			}
			l.spread(model, rate*interval.Seconds())
		}
		for g := range l.gateways {
			l.f.placer.Report(l.report(g))
		}
		l.f.advance(interval)
	}
}

// spread counts the arrivals of a model at the gateways in turn. Fractions of a request are carried by the total.
func (l *load) spread(model string, n float64) {
	for range int(n + 0.5) {
		total := 0
		for _, x := range l.arrived[model] {
			total += x
		}
		l.arrived[model][total%l.gateways]++
	}
}

func (l *load) report(g int) placer.Report {
	demands := make(map[string]dispatch.Demand)
	for model, arrived := range l.arrived {
		demands[model] = dispatch.Demand{Arrived: arrived[g], WorkTokens: arrived[g] * 2000, WorkMs: arrived[g] * 100, Service: service}
	}
	return placer.Report{GatewayID: fmt.Sprint("g", g), Demands: demands, Ended: l.ended}
}

// setSlots gives all engines a number of slots.
func (f *fixture) setSlots(n int) {
	for _, s := range f.registry.Snapshot().Service(service) {
		changed := *s
		changed.Slots = n
		f.registry.Update(changed, f.clock.Now())
	}
}

// TestLostEngineIsReplacedAtOnce plays six models on four engines of three places, of which m0 and m1 take most of the
// demand. An engine ends; the platform removes it from its list 3.6 s later, after three heartbeats. Requests for its
// replicas are refused until they are replaced, so the first load must not wait for the platform where gateways have
// found the server to have ended. All delays include the 350 ms between the notice of an eviction and its order.
// A gateway that cannot reach a running engine must not cause a load.
func TestLostEngineIsReplacedAtOnce(t *testing.T) {
	tests := map[string]struct {
		maxSlots int
		// reported is set if gateways report that the server has ended, runs if it still answers the leader.
		reported, runs   bool
		earliest, latest time.Duration
	}{
		"off":                             {reported: true, earliest: 3600 * time.Millisecond, latest: 4 * time.Second},
		"on, reported by gateways":        {maxSlots: 24, reported: true, latest: 500 * time.Millisecond},
		"on, but not reported":            {maxSlots: 24, earliest: 3600 * time.Millisecond, latest: 4 * time.Second},
		"on, reported but it still runs":  {maxSlots: 24, reported: true, runs: true, earliest: 3600 * time.Millisecond, latest: 4 * time.Second},
		"servers with more slots: as off": {maxSlots: 8, reported: true, earliest: 3600 * time.Millisecond, latest: 4 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 6, []string{"m0", "m1", "m2"}, []string{"m0", "m1", "m3"}, []string{"m0", "m1", "m4"}, []string{"m5", "m2", "m3"})
				f.maxCountedSlots = test.maxSlots
				f.setSlots(24)
				f.start(true)
				l := newLoad(f, 6)
				rates := map[string]float64{"m0": 60, "m1": 50, "m2": 7, "m3": 7, "m4": 7, "m5": 7}
				l.run(20*time.Second, rates)
				issued, lostAt := len(f.engines.orders()), f.clock.Now()
				if !test.runs {
					f.engines.mu.Lock()
					delete(f.engines.engines, "e2")
					f.engines.mu.Unlock()
				}
				if test.reported {
					l.ended = []string{"e2"}
				}
				l.run(3600*time.Millisecond, rates)
				l.ended = nil
				f.registry.Remove("e2", f.clock.Now())
				f.placer.Wake()
				l.run(3*time.Second, rates)
				orders := f.engines.orders()[issued:]
				assert.Assert(t, len(orders) > 0)
				delay := orders[0].at.Sub(lostAt)
				t.Logf("first order %v after the loss", delay)
				assert.Assert(t, delay >= test.earliest && delay <= test.latest, "%v", delay)
				f.checkModelsHeld(t)
			})
		})
	}
}

// checkModelsHeld checks that each model has a replica.
func (f *fixture) checkModelsHeld(t *testing.T) {
	t.Helper()
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	for _, m := range f.spec.Models {
		held := false
		for _, e := range f.engines.engines {
			held = held || slices.ContainsFunc(e.residents, func(r backend.Resident) bool { return r.Model == m.Name })
		}
		assert.Assert(t, held, "%s has no replica", m.Name)
	}
}

// TestStepTimesAreSharedThroughTheLeader plays samples of 20 gateways for a model with steps of 5 ms. It guards against
// gateways that measure the same model differently, against replies that repeat what is known, and against replies that
// grow where the setting is off.
func TestStepTimesAreSharedThroughTheLeader(t *testing.T) {
	tests := map[string]struct {
		maxSlots int
		want     bool
	}{"off": {}, "on": {maxSlots: 24, want: true}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 2, []string{"m0", "m1"})
				f.maxCountedSlots = test.maxSlots
				p := f.start(true)
				f.advance(5 * time.Second)
				for i := range 200 {
					p.Report(placer.Report{GatewayID: fmt.Sprint(i % 20), StepSamples: []servertime.StepSample{{Model: "m0", Ms: 5}}})
				}
				reply := p.Report(placer.Report{GatewayID: "new"})
				assert.Equal(t, len(reply.StepTimes) == 1 && reply.StepTimes["m0"] > 4.4 && reply.StepTimes["m0"] < 5.6, test.want, "%v", reply.StepTimes)
				reply = p.Report(placer.Report{GatewayID: "new", StepsVersion: reply.StepsVersion})
				assert.Equal(t, len(reply.StepTimes), 0)
			})
		})
	}
}
