package placer

import (
	"rockcleat/lease"
	"rockcleat/servertime"
)

// A stepTable estimates the models' base step times from the samples of all gateways, in milliseconds, and publishes
// them. The estimates are kept across terms.
type stepTable struct {
	publishedValues
	times servertime.StepTimes
}

// beginTerm starts the versions of a new term. known holds the initial base step times in milliseconds.
func (t *stepTable) beginTerm(token lease.Token, known map[string]float64) {
	t.publishedValues.beginTerm(token)
	for model, ms := range known {
		t.times.Set(model, ms)
	}
	for model, ms := range t.times.All() {
		t.publish(model, ms)
	}
}

// observe adds the samples of a report.
func (t *stepTable) observe(samples []servertime.StepSample) {
	for _, x := range samples {
		t.times.Observe(x)
		t.publish(x.Model, t.times.Get(x.Model))
	}
}
