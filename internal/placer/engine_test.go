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
	e := newEngine(&backend.Server{ID: "e"})
	report := backend.Report{CachedOnDisk: []string{"m2"}, Residents: []backend.Resident{{Model: "m1"}}, Sequence: 1}
	assert.Assert(t, e.apply(report, now))
	e.pending = []backend.Order{{Model: "m2"}}
	assert.Assert(t, !e.fromStore(), "on its disk, by a report with no load before it")

	e.pending = []backend.Order{{Model: "m1"}}
	e.accepted = true
	assert.Equal(t, e.completeOrders(now), "m1")
	e.pending = []backend.Order{{Model: "m2"}}
	assert.Assert(t, e.fromStore(), "a load has ended since the report")

	assert.Assert(t, e.apply(report, now.Add(cacheUnknownDuration/2)))
	assert.Assert(t, e.fromStore(), "the report may be older than the load's end")
	assert.Assert(t, !e.nextReport.IsZero() && !e.nextReport.After(now.Add(cacheUnknownDuration)), "a newer report is due")

	assert.Assert(t, e.apply(report, now.Add(cacheUnknownDuration)))
	assert.Assert(t, !e.fromStore())
}
