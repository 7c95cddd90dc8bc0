package placer

import (
	"rockcleat/dispatch"
	"rockcleat/lease"
)

// A speedTable estimates the models' prefill speeds from the samples of all gateways, in milliseconds per token, and
// publishes them. The estimates are kept across terms.
type speedTable struct {
	publishedValues
	speeds dispatch.PrefillSpeeds
}

// beginTerm starts the versions of a new term. known holds the initial speeds in milliseconds per token.
func (t *speedTable) beginTerm(token lease.Token, known map[string]float64) {
	t.publishedValues.beginTerm(token)
	for model, speed := range known {
		t.speeds.Set(model, speed)
	}
	for model, speed := range t.speeds.All() {
		t.publish(model, speed)
	}
}

// observe adds the samples of a report.
func (t *speedTable) observe(samples []dispatch.PrefillSample) {
	for _, x := range samples {
		t.speeds.Observe(x)
		t.publish(x.Model, t.speeds.Get(x.Model))
	}
}
