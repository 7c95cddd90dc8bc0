package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/retry"
)

func TestWindowZeroValueAllowsNothing(t *testing.T) {
	var w retry.Window
	w.First(time.Unix(100, 0))
	assert.Assert(t, !w.Allow(time.Unix(100, 0), 1))
}

// TestWindowInAnySpan checks that no span of the window's length contains more retries than the
// first attempts and the fixed part allow.
func TestWindowInAnySpan(t *testing.T) {
	const length = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		fixed := rapid.Float64Range(0, 20).Draw(t, "fixed")
		w := retry.Window{Length: length, Ratio: ratio, Fixed: fixed}
		now := time.Unix(1000, 0)
		var firstAttempts, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "repeat") {
				if w.Allow(now, 1) {
					retries = append(retries, now)
				}
				continue
			}
			w.First(now)
			firstAttempts = append(firstAttempts, now)
		}
		for _, end := range retries {
			// Retries early in the span may rely on first attempts made up to one window length
			// before it.
			allowed := ratio*float64(countWithin(firstAttempts, end, 2*length)) + fixed
			if got := countWithin(retries, end, length); float64(got) > allowed {
				t.Fatalf("%d retries within one window length, want at most %.1f", got, allowed)
			}
		}
	})
}

func countWithin(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, x := range times {
		if !x.After(end) && end.Sub(x) < span {
			n++
		}
	}
	return n
}
