package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/retry"
)

// TestRetriesStayWithinBudget checks that retries stay within the budget when every request fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := retry.Budget{Ratio: 0.1, Burst: 5}
	retries := 0
	for range 1000 {
		b.First()
		for b.Allow() {
			retries++
		}
	}
	assert.Assert(t, retries <= 106, "1000 requests made %d retries", retries)
	assert.Assert(t, retries >= 95)
}
