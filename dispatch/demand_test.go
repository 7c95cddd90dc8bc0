package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
)

// TestShortestObjectiveIsCounted checks ObjectiveMs after requests of one model with different
// objectives.
func TestShortestObjectiveIsCounted(t *testing.T) {
	tests := map[string]struct {
		objectives []time.Duration
		want       int
	}{
		"one":                      {objectives: []time.Duration{5 * time.Second}, want: 5000},
		"the shortest comes last":  {objectives: []time.Duration{5 * time.Second, time.Second}, want: 1000},
		"the shortest comes first": {objectives: []time.Duration{time.Second, 5 * time.Second}, want: 1000},
		"one without":              {objectives: []time.Duration{5 * time.Second, 0, time.Second}, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(1000, 0))
			d := dispatcher(c, engine("a"))
			for _, objective := range test.objectives {
				r := request(c)
				r.FirstByteObjective = objective
				d.CountArrival(r)
			}
			assert.Equal(t, d.Demands()[model].ObjectiveMs, test.want)
		})
	}
}
