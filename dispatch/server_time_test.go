package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/servertime"
)

// countingDispatcher returns a dispatcher with engines of the given numbers of slots that hold the test's model, and
// with MaxCountedSlots set.
func countingDispatcher(c *clocktest.Clock, maxSlots int, slots ...int) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Options{
		ID: "g", Hall: "h", Clock: c, Utilization: 1, CacheTokens: func(string) int { return 100_000 }, MaxCountedSlots: maxSlots,
	})
	var registry backend.Registry
	for i, n := range slots {
		s := engine(string(rune('a' + i)))
		s.Slots = n
		registry.Update(s, c.Now())
	}
	d.SetServers(registry.Snapshot())
	return d
}

// TestDemandInEngineTime plays two requests of 1,000 prompt tokens and at most 400 output tokens, for which engines of 20
// slots need 50 ms of prefill and 14.5 / 20 ms a token. It guards against engine time where the setting is off, and
// against demand that ignores the caller's estimate.
func TestDemandInEngineTime(t *testing.T) {
	tests := map[string]struct {
		maxSlots, estimate int
		slots              []int
		want               int
	}{
		"off":                           {slots: []int{20}},
		"servers with too many slots":   {maxSlots: 24, slots: []int{20, 48}},
		"slots unknown":                 {maxSlots: 24, slots: []int{0}},
		"no servers":                    {maxSlots: 24},
		"without an estimate: maximum":  {maxSlots: 24, slots: []int{20}, want: 2 * (50 + 290)},
		"estimate of a quarter of that": {maxSlots: 24, slots: []int{20, 20}, estimate: 100, want: 2 * (50 + 73)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(1000, 0))
			d := countingDispatcher(c, test.maxSlots, test.slots...)
			for range 2 {
				r := request(c)
				r.PromptTokens, r.MaxOutputTokens, r.OutputEstimate = 1000, 400, test.estimate
				d.CountArrival(r)
			}
			got := d.Demands()[model]
			assert.Assert(t, got.WorkMs >= test.want-2 && got.WorkMs <= test.want+2, "%d ms, want %d ms", got.WorkMs, test.want)
			assert.Equal(t, got.WorkTokens, 2*(1000+10*400), "tokens are counted in any case")
		})
	}
}

// TestStreamsTeachEngineTime plays streams of 100 tokens with pauses of 80 ms between events of 4 tokens, whose callers
// allow 400 tokens. It guards against demand that stays at the maximum, and against more than two samples a second.
func TestStreamsTeachEngineTime(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	d := countingDispatcher(c, 24, 20)
	cost := func() int {
		before := d.Demands()[model].WorkMs
		r := request(c)
		r.PromptTokens, r.MaxOutputTokens = 1000, 400
		d.CountArrival(r)
		return d.Demands()[model].WorkMs - before
	}
	first := cost()
	samples := 0
	for range 100 {
		r := request(c)
		r.PromptTokens, r.MaxOutputTokens, r.Gap = 1000, 400, dispatch.GapBudget{StepsPerEvent: 4}
		res, err := d.Acquire(t.Context(), r)
		assert.NilError(t, err)
		var pauses servertime.Pauses
		for range 25 {
			pauses.Add(80)
		}
		res.RecordStream(100, &pauses)
		res.Done(dispatch.Succeeded)
		c.Advance(50 * time.Millisecond)
		samples += len(d.TakeStepSamples())
	}
	assert.Assert(t, samples >= 8 && samples <= 11, "%d samples in 5 s", samples)
	base := d.StepTimes()[model]
	assert.Assert(t, base > 18 && base < 21, "%v ms a step", base)
	assert.Assert(t, cost() < first*2/3, "the learned output is a quarter of the maximum, the step twice the usual one")
	d.SetStepTimes(map[string]float64{model: 5})
	assert.Equal(t, d.StepTimes()[model], 5.0, "the leader's estimate replaces the gateway's own")
}

// TestPrefillLeavesTheGapOfManySteps guards against pauses longer than the gap at streams whose events have many decoding
// steps: without the time of a step, the prefill that is allowed for each step adds up to more than the gap.
func TestPrefillLeavesTheGapOfManySteps(t *testing.T) {
	gap := dispatch.GapBudget{MaxGap: 200, StepsPerEvent: 8}
	tests := map[string]struct {
		stepTime dispatch.Milliseconds
		factor   float64
		ahead    dispatch.Milliseconds
		fits     bool
	}{
		"not known":                             {ahead: 150, fits: true},
		"known, within the gap":                 {stepTime: 5.5, ahead: 100, fits: true},
		"known, beyond the gap":                 {stepTime: 5.5, ahead: 150},
		"known, beyond the gap of a slow one":   {stepTime: 5.5, factor: 1.6, ahead: 100},
		"known, nothing ahead of a long prompt": {stepTime: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := dispatch.Candidate{
				CacheTokens: cacheTokens, Slots: 24, Owned: true, SameHall: true, RequiredTokens: 1000, Counted: true,
				PrefillTime: 20, PrefillAhead: test.ahead, StepTime: test.stepTime, TimeFactor: test.factor, Running: 4,
			}
			chosen := dispatch.Choose([]dispatch.Candidate{c}, dispatch.Limits{Gap: gap, Utilization: 1})
			assert.Equal(t, chosen == 0, test.fits || test.ahead == 0)
		})
	}
}
