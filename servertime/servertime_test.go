package servertime_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/servertime"
)

// TestRequestTime guards against demand that is equal for models of different speeds: the load is one request of 1,000
// prompt tokens and 200 output tokens, asked of models that differ in speed by a factor of four.
func TestRequestTime(t *testing.T) {
	tests := map[string]struct {
		speeds servertime.Speeds
		output float64
		want   float64
	}{
		"usual model, alone":           {speeds: servertime.Speeds{PrefillMsPerToken: 0.05, StepMs: 10.5, Sharing: 1}, output: 200, want: 50 + 200*10.7},
		"usual model, 20 share a step": {speeds: servertime.Speeds{PrefillMsPerToken: 0.05, StepMs: 10.5, Sharing: 20}, output: 200, want: 50 + 200*14.5/20},
		"four times slower":            {speeds: servertime.Speeds{PrefillMsPerToken: 0.2, StepMs: 42, Sharing: 20}, output: 200, want: 4 * (50 + 200*14.5/20)},
		"no output":                    {speeds: servertime.Speeds{PrefillMsPerToken: 0.05, StepMs: 10.5, Sharing: 20}, want: 50},
		"unknown sharing counts as 1":  {speeds: servertime.Speeds{PrefillMsPerToken: 0.05, StepMs: 10.5}, output: 200, want: 50 + 200*10.7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := test.speeds.RequestTime(1000, test.output)
			assert.Assert(t, math.Abs(got-test.want) < 1e-9, "%v, want %v", got, test.want)
		})
	}
}

// TestReferenceTokens guards against a change of scale: a request of a model of the reference speed costs as many
// reference tokens as its prompt has tokens.
func TestReferenceTokens(t *testing.T) {
	ms := servertime.FromPromptTokens(1000, 0.05)
	assert.Assert(t, math.Abs(servertime.ReferenceTokens(ms)-1000) < 1e-9)
}

// TestStepTimesOfStreams plays streams of a model with a step time of 6 ms whose pauses grow while other prompts are
// prefilled, on servers of speed 0.6, 1 and 1.6, with 1 to 24 requests a step. It guards against prefill and load that
// count as slowness of the model.
func TestStepTimesOfStreams(t *testing.T) {
	const base, stepsPerEvent = 6.0, 4
	tests := map[string]struct {
		factors []float64
		// prefilled is the share of pauses that contain the prefill of another prompt.
		prefilled float64
	}{
		"equal servers":                    {factors: []float64{1}},
		"servers that differ":              {factors: []float64{0.6, 1, 1.6}},
		"every second pause has a prefill": {factors: []float64{1}, prefilled: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			var steps servertime.StepTimes
			for range 400 {
				sharing := float64(1 + r.IntN(24))
				factor := test.factors[r.IntN(len(test.factors))]
				var pauses servertime.Pauses
				for range 20 + r.IntN(200) {
					pause := stepsPerEvent * factor * (base + base*0.2/10.5*sharing) * (0.97 + 0.06*r.Float64())
					if r.Float64() < test.prefilled {
						pause += 40 * r.Float64()
					}
					pauses.Add(pause)
				}
				x, ok := servertime.NewStepSample("m", pauses.Typical(), stepsPerEvent, sharing)
				assert.Assert(t, ok)
				steps.Observe(x)
			}
			assert.Assert(t, math.Abs(steps.Get("m")-base) < 0.15*base, "%v", steps.Get("m"))
		})
	}
}

// TestShortStreamsHaveNoTypicalPause guards against samples of streams with a few events, whose pauses are mostly the
// gateway's own.
func TestShortStreamsHaveNoTypicalPause(t *testing.T) {
	tests := map[string]struct {
		pauses int
		want   bool
	}{"none": {}, "seven": {pauses: 7}, "eight": {pauses: 8, want: true}, "many": {pauses: 5000, want: true}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p servertime.Pauses
			for range test.pauses {
				p.Add(20)
			}
			x, ok := servertime.NewStepSample("m", p.Typical(), 1, 1)
			assert.Equal(t, ok, test.want)
			if ok {
				assert.Assert(t, x.Ms > 19 && x.Ms < 20, "%v", x.Ms)
			}
		})
	}
}

// TestStepTimesAreBounded guards against malformed samples, which must not make a model free or infinitely expensive.
func TestStepTimesAreBounded(t *testing.T) {
	for name, ms := range map[string]float64{"zero": 0, "negative": -5, "infinite": math.Inf(1)} {
		t.Run(name, func(t *testing.T) {
			var steps servertime.StepTimes
			for range 1000 {
				steps.Observe(servertime.StepSample{Model: "m", Ms: ms})
			}
			assert.Assert(t, steps.Get("m") >= 0.5 && steps.Get("m") <= 500, "%v", steps.Get("m"))
			assert.Equal(t, steps.Get("other"), 10.5)
		})
	}
}

// TestExpectedOutput plays 500 outputs with an estimate that is right in the median and wrong by a factor of four each
// second time, so that the mean output is twice the estimate, and without an estimate a third of the maximum. It guards
// against demand that follows the maximum.
func TestExpectedOutput(t *testing.T) {
	tests := map[string]struct {
		estimate, limit int
		// outputs are the outputs in turn.
		outputs    []int
		want, slop float64
	}{
		"nothing learned: the estimate":       {estimate: 100, limit: 1000, want: 100, slop: 1e-9},
		"nothing learned: the maximum":        {limit: 1000, want: 1000, slop: 1e-9},
		"neither an estimate nor a maximum":   {},
		"estimate above the maximum":          {estimate: 5000, limit: 1000, want: 1000, slop: 1e-9},
		"right in the median, often far off":  {estimate: 200, limit: 4000, outputs: []int{50, 100, 200, 400, 800}, want: 310, slop: 60},
		"a third of the maximum":              {limit: 900, outputs: []int{100, 300, 500}, want: 300, slop: 30},
		"one absurd estimate does not matter": {estimate: 2, limit: 4000, outputs: []int{4000}, want: 16, slop: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var o servertime.Outputs
			for i := range 500 {
				if len(test.outputs) > 0 {
					o.Observe("m", test.estimate, test.limit, test.outputs[i%len(test.outputs)])
				}
			}
			got := o.Expect("m", test.estimate, test.limit)
			assert.Assert(t, math.Abs(got-test.want) <= test.slop, "%v, want %v", got, test.want)
		})
	}
}

// TestEstimatesAreCorrectedByClass guards against a correction of short estimates by the errors of long ones.
func TestEstimatesAreCorrectedByClass(t *testing.T) {
	var o servertime.Outputs
	for range 200 {
		o.Observe("m", 32, 4000, 96)
		o.Observe("m", 2000, 4000, 500)
	}
	assert.Assert(t, o.Expect("m", 32, 4000) > 80)
	assert.Assert(t, o.Expect("m", 2000, 4000) < 700)
	assert.Equal(t, o.Expect("other", 2000, 4000), 2000.0)
}

// TestExpectationStaysWithinBounds draws estimates, maxima and outputs at random: the expectation is never negative and
// never above the maximum, whatever callers claim.
func TestExpectationStaysWithinBounds(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	var o servertime.Outputs
	for range 20_000 {
		estimate, limit := r.IntN(1<<r.IntN(20)), 1+r.IntN(1<<r.IntN(14))
		o.Observe("m", estimate, limit, r.IntN(limit+1))
		got := o.Expect("m", estimate, limit)
		assert.Assert(t, got >= 0 && got <= float64(limit), "estimate %d, maximum %d: %v", estimate, limit, got)
	}
}
