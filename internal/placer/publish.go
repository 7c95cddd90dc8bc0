package placer

import (
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/lease"
)

// publishEvery is the least time between two looks at what engines hold, for gateways.
const publishEvery = 25 * time.Millisecond

// versionBits is the part of a residency's version that counts changes; the rest is of the
// leader's token, so that versions of two leaders differ. A million changes in a term are
// more than a leader makes in days.
const versionBits = 20

// termBits is how much of a token a version has room for: two leaders have the same only if their terms began at
// the same count of writes in eras of the store that are eight apart.
const termBits = 63 - versionBits

// firstVersion returns the first version of the term with a token.
func firstVersion(token int64) int64 { return token & (1<<termBits - 1) << versionBits }

// isSameTerm reports whether two versions were made in the same term.
func isSameTerm(a, b int64) bool { return a>>versionBits == b>>versionBits }

// A publishedResidency holds what engines hold, as published to gateways, with the version
// in which that last changed for each engine.
type publishedResidency struct {
	version   int64
	published map[string]backend.Residency
	changedIn map[string]int64
	at        time.Time
}

// beginTerm starts the versions of a new leader's term. What was published stands until
// the engines are known again.
func (r *publishedResidency) beginTerm(token lease.Token) {
	r.version = firstVersion(int64(token))
	r.changedIn = make(map[string]int64)
}

// isDue reports whether the last look is older than publishEvery.
func (r *publishedResidency) isDue(now time.Time) bool { return now.Sub(r.at) >= publishEvery }

// publish makes a new version of what engines hold, if it differs. Of an engine whose state
// is not known, for a report is due, what was published before stands.
func (p *Placer) publish(now time.Time) {
	r := &p.residency
	r.at = now
	next := r.version + 1
	published := make(map[string]backend.Residency, len(p.engines.byID))
	for id, e := range p.engines.byID {
		before, ok := r.published[id]
		if !e.known && !e.otherRun {
			if ok {
				published[id] = before
			}
			continue
		}
		published[id] = backend.Residency{Residents: e.servable(now)}
		if !ok || !slices.EqualFunc(before.Residents, published[id].Residents, sameResident) {
			r.changedIn[id] = next
			r.version = next
		}
	}
	r.published = published
}

func sameResident(a, b backend.Resident) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// changedSince returns what has changed since a version, or everything.
func (r *publishedResidency) changedSince(version int64, everything bool) map[string]backend.Residency {
	out := make(map[string]backend.Residency)
	for id, held := range r.published {
		if everything || r.changedIn[id] > version {
			out[id] = held
		}
	}
	return out
}
