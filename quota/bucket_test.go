package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBucket(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 50}
	start := time.Unix(0, 0)
	tests := map[string]struct {
		after  time.Duration
		amount float64
		taken  bool
		// until is the wait for the same amount after that.
		until time.Duration
	}{
		"empty at first":                {amount: 1, until: 10 * time.Millisecond},
		"filled by the rate":            {after: 100 * time.Millisecond, amount: 10, taken: true, until: 100 * time.Millisecond},
		"not quite enough":              {after: 90 * time.Millisecond, amount: 10, until: 10 * time.Millisecond},
		"no more than the burst":        {after: time.Hour, amount: 50, taken: true, until: 500 * time.Millisecond},
		"more than the burst":           {after: time.Hour, amount: 150, taken: true, until: 1500 * time.Millisecond},
		"more than the burst, too soon": {after: 400 * time.Millisecond, amount: 150, until: 100 * time.Millisecond},
		"time that goes back":           {after: -time.Second, amount: 1, until: 10 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBucket(start)
			b.fill(limit, 1, start.Add(test.after))
			assert.Equal(t, b.take(limit, test.amount), test.taken)
			assert.Equal(t, b.timeUntil(limit, test.amount).Round(time.Microsecond), test.until)
		})
	}
}

// TestLoweredLimit checks that a lowered limit applies at once to the amount in the bucket.
func TestLoweredLimit(t *testing.T) {
	start := time.Unix(0, 0)
	b := newBucket(start)
	b.fill(Limit{Rate: 100, Burst: 100}, 1, start.Add(time.Minute))
	lower := Limit{Rate: 10, Burst: 20}
	b.fill(lower, 1, start.Add(time.Minute))
	assert.Assert(t, b.take(lower, 20))
	assert.Assert(t, !b.take(lower, 1))
}

// TestShareOfTheRate checks that the lower share applies to the period in which the share changed.
func TestShareOfTheRate(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 1000}
	start := time.Unix(0, 0)
	b := newBucket(start)
	for i, share := range []float64{1, 0.5, 0.5, 1, 1} {
		b.fill(limit, share, start.Add(time.Duration(i+1)*time.Second))
	}
	assert.Equal(t, b.amount, 100.0+50+50+50+100)
}
