package serverlimit_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/serverlimit"
)

// TestQuotaIsInsideTheUsersBound checks that what a quota and its tolerance allow together is not more than the
// users allow: one and a half times what the server named in a window, and five requests.
func TestQuotaIsInsideTheUsersBound(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 0.25, 0.5, 1.8, 2, 10, 100, 1000, 1e6} {
		q, tolerance := serverlimit.Quota(rate), serverlimit.Tolerance()
		most := (q.Rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Over) + tolerance.Slack
		allowed := 1.5*rate*serverlimit.Window.Seconds() + 5
		assert.Assert(t, most <= allowed, "at %v a second up to %v, allowed are %v", rate, most, allowed)
	}
}
