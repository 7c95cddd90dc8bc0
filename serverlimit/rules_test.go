package serverlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/serverlimit"
)

func TestIsInNeed(t *testing.T) {
	tests := map[string]struct {
		status serverlimit.Status
		want   bool
	}{
		"few requests":                {status: serverlimit.Status{PerSecond: 1.8, Since: 3 * time.Second}, want: true},
		"none":                        {status: serverlimit.Status{Since: 3 * time.Second}, want: true},
		"as many as the slots take":   {status: serverlimit.Status{PerSecond: 20, Since: time.Minute}},
		"few requests since a moment": {status: serverlimit.Status{PerSecond: 1.8, Since: time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, serverlimit.IsInNeed(test.status, 64), test.want)
		})
	}
}

// TestQuotaWithinBound checks that a Quota with its Tolerance allows at most one and a half times the limit
// and five requests in a Window.
func TestQuotaWithinBound(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 0.25, 0.5, 1.8, 2, 10, 100, 1000, 1e6} {
		q, tolerance := serverlimit.Quota(rate), serverlimit.Tolerance()
		most := (q.Rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Over) + tolerance.Slack
		allowed := 1.5*rate*serverlimit.Window.Seconds() + 5
		assert.Assert(t, most <= allowed, "at %v a second up to %v, allowed are %v", rate, most, allowed)
	}
}
