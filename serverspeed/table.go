package serverspeed

import (
	"maps"
	"math"
	"time"
)

const (
	// shortTermHalfLife is the half-life of a short-term factor. It ensures that a server which is avoided is tried
	// again.
	shortTermHalfLife = 500 * time.Millisecond
	// shortTermWeight is the weight of the latest pause in a short-term factor.
	shortTermWeight = 0.4
	// minRatio is the ratio of a pause to the expected one from which it counts as slow. Smaller ratios occur at a
	// server that is well, since the number of running requests is known with a delay.
	minRatio = 1.5
	// maxRatio bounds the effect of one pause.
	maxRatio = 4
)

// A shortTerm is how much longer a server has recently taken than expected; excess is 0 if it has not.
type shortTerm struct {
	excess    float64
	updatedAt time.Time
}

// at returns the excess at a point in time.
func (s shortTerm) at(now time.Time) float64 {
	return s.excess * math.Exp2(-float64(now.Sub(s.updatedAt))/float64(shortTermHalfLife))
}

// A Table holds the published factors of all servers and their short-term factors.
//
// Its zero value is ready to use.
type Table struct {
	published map[string]float64
	recent    map[string]shortTerm
}

// Set adds published factors. A factor of 1 removes the server's factor.
func (t *Table) Set(factors map[string]float64) {
	if t.published == nil {
		t.published = make(map[string]float64)
	}
	for server, factor := range factors {
		if factor == 1 || !isUsable(factor) {
			delete(t.published, server)
		} else {
			t.published[server] = factor
		}
	}
}

// Replace replaces all published factors.
func (t *Table) Replace(factors map[string]float64) {
	t.published = nil
	t.Set(factors)
}

// Published returns the published factors, without those that are 1.
func (t *Table) Published() map[string]float64 { return maps.Clone(t.published) }

// PublishedFactor returns the published factor of a server; 1 if there is none.
func (t *Table) PublishedFactor(server string) float64 {
	if f, ok := t.published[server]; ok {
		return f
	}
	return 1
}

// ObserveGap records a pause between two events of a stream, as a ratio to the pause that is expected at the server.
func (t *Table) ObserveGap(server string, ratio float64, now time.Time) {
	target := 0.0
	if ratio >= minRatio {
		target = min(ratio, maxRatio) - 1
	}
	excess := t.recent[server].at(now)
	if excess == 0 && target == 0 {
		return
	}
	if t.recent == nil {
		t.recent = make(map[string]shortTerm)
	}
	t.recent[server] = shortTerm{excess: excess + (target-excess)*shortTermWeight, updatedAt: now}
}

// Factor returns the time that a server takes now relative to the median server of its service: the published factor
// times the short-term one. A short-term factor below minFactor does not count.
func (t *Table) Factor(server string, now time.Time) float64 {
	factor := t.PublishedFactor(server)
	if recent, ok := t.recent[server]; ok {
		if short := 1 + recent.at(now); short >= minFactor {
			factor *= short
		}
	}
	return factor
}

// Retain drops the servers that are not listed any more.
func (t *Table) Retain(isListed func(server string) bool) {
	maps.DeleteFunc(t.published, func(id string, _ float64) bool { return !isListed(id) })
	maps.DeleteFunc(t.recent, func(id string, _ shortTerm) bool { return !isListed(id) })
}
