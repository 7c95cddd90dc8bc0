package placer

import (
	"math"

	"rockcleat/lease"
	"rockcleat/servertime"
)

// A stepTable estimates the models' base step times from the samples of all gateways, and tracks which were published.
// The estimates are kept across terms.
//
// The zero value is ready to use: a report can arrive after the lease was acquired and before the term has begun.
type stepTable struct {
	times     servertime.StepTimes
	published map[string]float64
	// changedIn holds the version in which each published time last changed. version is the latest version.
	changedIn map[string]int64
	version   int64
}

// beginTerm starts the versions of a new term. known holds the initial base step times in milliseconds.
func (t *stepTable) beginTerm(token lease.Token, known map[string]float64) {
	t.version = firstVersion(int64(token))
	t.published, t.changedIn = make(map[string]float64), make(map[string]int64)
	for model, ms := range known {
		t.times.Set(model, ms)
	}
	for model := range t.times.All() {
		t.publish(model)
	}
}

// observe adds the samples of a report.
func (t *stepTable) observe(samples []servertime.StepSample) {
	for _, x := range samples {
		t.times.Observe(x)
		t.publish(x.Model)
	}
}

// publish publishes a model's step time under a new version if it has changed by at least minPublishedChange.
func (t *stepTable) publish(model string) {
	ms := t.times.Get(model)
	previous, ok := t.published[model]
	if ok && math.Abs(ms-previous) < minPublishedChange*previous {
		return
	}
	if t.published == nil {
		t.published, t.changedIn = make(map[string]float64), make(map[string]int64)
	}
	t.version++
	t.published[model], t.changedIn[model] = ms, t.version
}

// changedSince returns the published step times that have changed since a version, or all if the version belongs to
// another term.
func (t *stepTable) changedSince(version int64) map[string]float64 {
	if version == t.version {
		return nil
	}
	all := !IsSameTerm(version, t.version)
	out := make(map[string]float64)
	for model, ms := range t.published {
		if all || t.changedIn[model] > version {
			out[model] = ms
		}
	}
	return out
}
