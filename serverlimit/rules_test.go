package serverlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/quota"
	"rockcleat/serverlimit"
)

func TestIsThrottled(t *testing.T) {
	tests := map[string]struct {
		status serverlimit.Status
		want   bool
	}{
		"few requests":                {status: serverlimit.Status{PerSecond: 1.8, LimitedFor: 3 * time.Second}, want: true},
		"none":                        {status: serverlimit.Status{LimitedFor: 3 * time.Second}, want: true},
		"as many as the slots take":   {status: serverlimit.Status{PerSecond: 20, LimitedFor: time.Minute}},
		"few requests since a moment": {status: serverlimit.Status{PerSecond: 1.8, LimitedFor: time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, serverlimit.IsThrottled(test.status, 64), test.want)
		})
	}
}

// TestQuotaWithinBound checks that a Quota with its Tolerance allows at most one and a half times the limit
// and five requests in a CountingWindow.
func TestQuotaWithinBound(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 0.25, 0.5, 1.8, 2, 10, 100, 1000, 1e6} {
		q, tolerance := serverlimit.Quota(rate), serverlimit.Tolerance()
		most := (q.Rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Over) + tolerance.Slack
		allowed := 1.5*rate*serverlimit.CountingWindow.Seconds() + 5
		assert.Assert(t, most <= allowed, "at %v a second up to %v, allowed are %v", rate, most, allowed)
	}
}

// TestWarmupQuotaWithinBound checks that what a server that is warming up may get within one second is within the
// bound, and that a wide bound does not raise the rate above the server's own.
func TestWarmupQuotaWithinBound(t *testing.T) {
	const perSecond = 20.0
	tests := map[string]struct {
		bound serverlimit.WarmupBound
		rate  float64
	}{
		"no bound":             {rate: 16},
		"wide bound":           {bound: serverlimit.WarmupBound{Over: 3, Slack: 10}, rate: 16},
		"half more and five":   {bound: serverlimit.WarmupBound{Over: 1.5, Slack: 5}, rate: 16},
		"the rate and a few":   {bound: serverlimit.WarmupBound{Over: 1, Slack: 2}, rate: 12},
		"the rate and nothing": {bound: serverlimit.WarmupBound{Over: 1}, rate: 19 / 1.75},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := serverlimit.WarmupQuota(perSecond, test.bound)
			assert.Equal(t, q.Rate, test.rate)
			if test.bound.Over == 0 {
				return
			}
			prefetched := q.Rate * quota.GrantTTL.Seconds()
			most := q.Rate + prefetched + q.Burst
			assert.Assert(t, most <= test.bound.Over*perSecond+test.bound.Slack, "up to %v requests", most)
		})
	}
}
