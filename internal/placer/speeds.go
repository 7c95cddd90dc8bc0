package placer

import (
	"math"

	"rockcleat/dispatch"
	"rockcleat/lease"
)

// publishedChange is the part by which a model's speed must differ from the one published for
// gateways to be sent it.
const publishedChange = 0.1

// A speedTable learns how long models take to prefill from the samples of all gateways, and keeps
// which speeds gateways have been sent. It outlasts a term: a speed is as true under another leader.
//
// Its zero value is ready to use: reports may come before the term begins, as soon as the lease is held.
type speedTable struct {
	speeds    dispatch.PrefillSpeeds
	published map[string]float64
	// changedIn is the version in which a published speed last changed; version is the newest.
	changedIn map[string]int64
	version   int64
}

// beginTerm starts the versions of a new leader's term; known are the speeds that it reckons with.
func (t *speedTable) beginTerm(token lease.Token, known map[string]float64) {
	t.version = firstVersion(int64(token))
	t.published, t.changedIn = make(map[string]float64), make(map[string]int64)
	for model, speed := range known {
		t.speeds.Set(model, speed)
	}
	for model := range t.speeds.Known() {
		t.publish(model)
	}
}

// observe counts the samples of a report.
func (t *speedTable) observe(samples []dispatch.PrefillSample) {
	for _, x := range samples {
		t.speeds.Observe(x)
		t.publish(x.Model)
	}
}

// publish makes a new version if a model's speed differs enough from what was published.
func (t *speedTable) publish(model string) {
	speed := t.speeds.Of(model)
	before, ok := t.published[model]
	if ok && math.Abs(speed-before) < publishedChange*before {
		return
	}
	if t.published == nil {
		t.published, t.changedIn = make(map[string]float64), make(map[string]int64)
	}
	t.version++
	t.published[model], t.changedIn[model] = speed, t.version
}

// changedSince returns the speeds that have changed since a version, all of them if it is that of
// another term.
func (t *speedTable) changedSince(version int64) map[string]float64 {
	if version == t.version {
		return nil
	}
	everything := !isSameTerm(version, t.version)
	out := make(map[string]float64)
	for model, speed := range t.published {
		if everything || t.changedIn[model] > version {
			out[model] = speed
		}
	}
	return out
}
