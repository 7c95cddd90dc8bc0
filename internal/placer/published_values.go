package placer

import (
	"math"

	"rockcleat/lease"
)

// minPublishedChange is the minimum relative change of a value that is published.
const minPublishedChange = 0.1

// publishedValues holds values by model that the leader sends to gateways, and in which version each last changed.
//
// The zero value is ready to use: a report can arrive after the lease was acquired and before the term has begun.
type publishedValues struct {
	values    map[string]float64
	changedIn map[string]int64
	// version is the latest version.
	version int64
}

// beginTerm starts the versions of a new term, without values.
func (p *publishedValues) beginTerm(token lease.Token) {
	*p = publishedValues{version: firstVersion(int64(token)), values: make(map[string]float64), changedIn: make(map[string]int64)}
}

// publish publishes a value under a new version if it has changed by at least minPublishedChange.
func (p *publishedValues) publish(model string, value float64) {
	previous, ok := p.values[model]
	if ok && math.Abs(value-previous) < minPublishedChange*previous {
		return
	}
	if p.values == nil {
		p.values, p.changedIn = make(map[string]float64), make(map[string]int64)
	}
	p.version++
	p.values[model], p.changedIn[model] = value, p.version
}

// changedSince returns the values that have changed since a version, or all if the version belongs to another term.
func (p *publishedValues) changedSince(version int64) map[string]float64 {
	if version == p.version {
		return nil
	}
	all := !IsSameTerm(version, p.version)
	out := make(map[string]float64)
	for model, value := range p.values {
		if all || p.changedIn[model] > version {
			out[model] = value
		}
	}
	return out
}
