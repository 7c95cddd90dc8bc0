package serverspeed_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/serverspeed"
)

// TestShortTermFactor guards against a short-term factor that rises late, never ends, or rises at equal servers.
func TestShortTermFactor(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		ratios []float64
		after  time.Duration
		// least and most bound the factor of a server with the published factor 1.6.
		least, most float64
	}{
		"no pauses":              {least: 1.6, most: 1.6},
		"usual pauses":           {ratios: []float64{0.9, 1.4, 1.2, 1}, least: 1.6, most: 1.6},
		"slow":                   {ratios: []float64{2.5, 2.5, 2.5}, least: 1.6 * 2, most: 1.6 * 2.5},
		"slow, a half-life ago":  {ratios: []float64{2.5, 2.5, 2.5}, after: 500 * time.Millisecond, least: 1.6 * 1.5, most: 1.6 * 1.75},
		"slow, two seconds ago":  {ratios: []float64{2.5, 2.5, 2.5}, after: 2 * time.Second, least: 1.6, most: 1.6},
		"slow, then well":        {ratios: []float64{2.5, 2.5, 2.5, 1, 1, 1, 1}, least: 1.6, most: 1.6},
		"one pause of a second":  {ratios: []float64{100}, least: 1.6, most: 1.6 * 2.3},
		"other server not known": {ratios: nil, least: 1.6, most: 1.6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var table serverspeed.Table
			table.Set(map[string]float64{"a": 1.6})
			for _, ratio := range test.ratios {
				table.ObserveGap("a", ratio, now)
			}
			got := table.Factor("a", now.Add(test.after))
			assert.Assert(t, got >= test.least && got <= test.most, "%v", got)
			assert.Equal(t, table.Factor("b", now), 1.0)
		})
	}
}

// TestTableFollowsPublishedFactors guards against factors that outlive the leader's list or the server.
func TestTableFollowsPublishedFactors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table serverspeed.Table
		want := make(map[string]float64)
		factors := rapid.MapOf(rapid.StringMatching("[a-d]"), rapid.SampledFrom([]float64{0.5, 1, 2, math.Inf(1)}))
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			list := factors.Draw(t, "factors")
			if rapid.Bool().Draw(t, "complete") {
				table.Replace(list)
				clear(want)
			} else {
				table.Set(list)
			}
			for server, factor := range list {
				delete(want, server)
				if factor == 0.5 || factor == 2 {
					want[server] = factor
				}
			}
		}
		table.Retain(func(server string) bool { return server != "a" })
		delete(want, "a")
		for _, server := range []string{"a", "b", "c", "d"} {
			factor, ok := want[server]
			if !ok {
				factor = 1
			}
			assert.Equal(t, table.Factor(server, time.Unix(0, 0)), factor)
		}
		assert.Equal(t, len(table.Published()), len(want))
	})
}
