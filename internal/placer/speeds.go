package placer

import (
	"math"

	"rockcleat/dispatch"
	"rockcleat/lease"
)

// minPublishedChange is the minimum relative change of a model's prefill speed that is published.
const minPublishedChange = 0.1

// A speedTable estimates the models' prefill speeds from the samples of all gateways, and tracks which speeds
// were published. The estimates are kept across terms.
//
// The zero value is ready to use: a report can arrive after the lease was acquired and before the term has
// begun.
type speedTable struct {
	speeds    dispatch.PrefillSpeeds
	published map[string]float64
	// changedIn holds the version in which each published speed last changed. version is the latest version.
	changedIn map[string]int64
	version   int64
}

// beginTerm starts the versions of a new term. known holds the initial speeds in milliseconds per token.
func (t *speedTable) beginTerm(token lease.Token, known map[string]float64) {
	t.version = firstVersion(int64(token))
	t.published, t.changedIn = make(map[string]float64), make(map[string]int64)
	for model, speed := range known {
		t.speeds.Set(model, speed)
	}
	for model := range t.speeds.All() {
		t.publish(model)
	}
}

// observe adds the samples of a report.
func (t *speedTable) observe(samples []dispatch.PrefillSample) {
	for _, x := range samples {
		t.speeds.Observe(x)
		t.publish(x.Model)
	}
}

// publish publishes a model's speed under a new version if it has changed enough.
func (t *speedTable) publish(model string) {
	speed := t.speeds.Get(model)
	previous, ok := t.published[model]
	if ok && math.Abs(speed-previous) < minPublishedChange*previous {
		return
	}
	if t.published == nil {
		t.published, t.changedIn = make(map[string]float64), make(map[string]int64)
	}
	t.version++
	t.published[model], t.changedIn[model] = speed, t.version
}

// changedSince returns the published speeds that have changed since a version, or all if the version belongs
// to another term.
func (t *speedTable) changedSince(version int64) map[string]float64 {
	if version == t.version {
		return nil
	}
	all := !IsSameTerm(version, t.version)
	out := make(map[string]float64)
	for model, speed := range t.published {
		if all || t.changedIn[model] > version {
			out[model] = speed
		}
	}
	return out
}
