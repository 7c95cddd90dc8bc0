package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// TestCachedWeightsAreIgnoredAfterLoad guards against a report that still lists cached weights which the
// load that has just finished evicted. A load of these weights must count as one from the weight store until
// a report is certain to be newer.
func TestCachedWeightsAreIgnoredAfterLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngineState(&backend.Server{ID: "e"})
	report := backend.Report{CachedOnDisk: []string{"m2"}, Residents: []backend.Resident{{Model: "m1"}}, Sequence: 1}
	assert.Assert(t, e.apply(report, now))
	e.pending = []backend.Order{{Model: "m2"}}
	assert.Assert(t, !e.loadsFromStore(), "on its disk, by a report with no load before it")

	e.pending = []backend.Order{{Model: "m1"}}
	e.accepted = true
	assert.Equal(t, e.completeOrders(now), "m1")
	e.pending = []backend.Order{{Model: "m2"}}
	assert.Assert(t, e.loadsFromStore(), "a load has ended since the report")

	assert.Assert(t, e.apply(report, now.Add(cacheUnknownDuration/2)))
	assert.Assert(t, e.loadsFromStore(), "the report may be older than the load's end")
	assert.Assert(t, !e.nextReport.IsZero() && !e.nextReport.After(now.Add(cacheUnknownDuration)), "a newer report is due")

	assert.Assert(t, e.apply(report, now.Add(cacheUnknownDuration)))
	assert.Assert(t, !e.loadsFromStore())
}

// TestOlderReportIsIgnored guards against a second copy of an earlier report that takes the place of the present one: orders
// that have been carried out would count as not carried out.
func TestOlderReportIsIgnored(t *testing.T) {
	start := time.Unix(1000, 0)
	server := &backend.Server{ID: "e@1", Instance: "e"}
	type report struct {
		at       time.Duration
		server   string
		sequence int
		applied  bool
	}
	first := report{server: "e@1", sequence: 3, applied: true}
	tests := map[string][]report{
		"later":  {first, {at: time.Second, server: "e@1", sequence: 4, applied: true}},
		"same":   {first, {at: time.Second, server: "e@1", sequence: 3, applied: true}},
		"older":  {first, {at: time.Minute, server: "e@1", sequence: 2}, {at: time.Minute, server: "e@1", sequence: 3, applied: true}},
		"others": {{sequence: 3, applied: true}, {at: time.Second, sequence: 2, applied: true}},
		"older again and again": {
			first, {at: time.Minute, server: "e@1", sequence: 2}, {at: time.Minute + maxReportLag - 1, server: "e@1", sequence: 2},
			{at: time.Minute + maxReportLag, server: "e@1", sequence: 2, applied: true}, {at: 2 * time.Minute, server: "e@1", sequence: 2, applied: true},
		},
		"older from time to time": {
			first, {at: time.Minute, server: "e@1", sequence: 2}, {at: time.Minute, server: "e@1", sequence: 3, applied: true},
			{at: 2 * time.Minute, server: "e@1", sequence: 2},
		},
	}
	for name, reports := range tests {
		t.Run(name, func(t *testing.T) {
			for _, known := range []bool{true, false} {
				e := newEngineState(server)
				for i, r := range reports {
					got := e.apply(backend.Report{ServerID: r.server, Sequence: r.sequence}, start.Add(r.at))
					assert.Equal(t, got, r.applied, "report %d", i)
					if r.applied {
						assert.Equal(t, e.sequence, r.sequence)
					}
					e.known = e.known && known
				}
			}
		})
	}
}
