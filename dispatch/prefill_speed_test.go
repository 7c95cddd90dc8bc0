package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// TestPrefillSpeeds checks how a model's speed follows its samples, and that a gateway's own
// samples do not change a speed estimated from all gateways.
func TestPrefillSpeeds(t *testing.T) {
	const fast = 0.0057
	var s dispatch.PrefillSpeeds
	assert.Equal(t, s.Of("m"), 0.05)
	for range 60 {
		s.Observe(dispatch.PrefillSample{Model: "m", MsPerToken: fast})
	}
	assert.Assert(t, s.Of("m") < 1.1*fast && s.Of("m") > 0.9*fast, "%v", s.Of("m"))
	for range 60 {
		s.Observe(dispatch.PrefillSample{Model: "m", MsPerToken: 100})
	}
	assert.Assert(t, s.Of("m") < 5*fast, "most samples hold waiting for other prompts")

	c := clocktest.New(time.Unix(1000, 0))
	d := dispatcher(c, engine("e1"))
	d.SetPrefillSpeeds(map[string]float64{model: fast})
	r := request(c)
	r.PromptTokens = 1000
	res, err := d.Acquire(canceledContext(), r)
	assert.NilError(t, err)
	c.Advance(time.Second)
	res.FirstByte()
	assert.Equal(t, d.PrefillSpeeds()[model], fast)
	samples := d.TakePrefillSamples()
	assert.Equal(t, len(samples), 1)
	assert.Equal(t, samples[0].Model, model)
	assert.Equal(t, len(d.TakePrefillSamples()), 0)
}
