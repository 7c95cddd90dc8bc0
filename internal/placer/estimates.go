package placer

import "rockcleat/lease"

// modelEstimates estimates one value for each model from samples.
type modelEstimates[S any] interface {
	Get(model string) float64
	All() map[string]float64
	Set(model string, value float64)
	Observe(sample S)
}

// An estimateTable estimates one value for each model from the samples of all gateways, and publishes it. The estimates are
// kept across terms.
type estimateTable[S any] struct {
	publishedValues
	estimates modelEstimates[S]
	modelOf   func(sample S) string
}

func newEstimateTable[S any](estimates modelEstimates[S], modelOf func(sample S) string) estimateTable[S] {
	return estimateTable[S]{estimates: estimates, modelOf: modelOf}
}

// beginTerm starts the versions of a new term. known holds the initial values, in the unit of the estimates.
func (t *estimateTable[S]) beginTerm(token lease.Token, known map[string]float64) {
	t.publishedValues.beginTerm(token)
	for model, value := range known {
		t.estimates.Set(model, value)
	}
	for model, value := range t.estimates.All() {
		t.publish(model, value)
	}
}

// observe adds the samples of a report.
func (t *estimateTable[S]) observe(samples []S) {
	for _, x := range samples {
		t.estimates.Observe(x)
		model := t.modelOf(x)
		t.publish(model, t.estimates.Get(model))
	}
}
