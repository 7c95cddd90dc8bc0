package placer

import (
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/lease"
)

// publishInterval is the minimum interval between two updates of the published residency that gateways'
// reports trigger.
const publishInterval = 25 * time.Millisecond

// changeBits is the number of low bits of a version that count the changes in a term. The other bits hold
// the leader's token, so that versions of different terms differ.
const changeBits = 20

// termBits is the number of a token's low bits that a version holds. Tokens of two leaders agree in them only
// if the terms began at the same write count of the store in store eras that are a multiple of eight apart.
const termBits = 63 - changeBits

// firstVersion returns the first version in the term with a token.
func firstVersion(token int64) int64 { return token & (1<<termBits - 1) << changeBits }

// IsSameTerm reports whether two versions of the residency belong to the same term.
func IsSameTerm(a, b int64) bool { return a>>changeBits == b>>changeBits }

// A publishedResidency is what the engines hold, as sent to gateways. changedIn holds the version in which
// each engine last changed.
type publishedResidency struct {
	version   int64
	published map[string]backend.Residency
	changedIn map[string]int64
	checkedAt time.Time
}

// beginTerm starts the versions of a new term. Engines keep their published residency until they are known
// again.
func (r *publishedResidency) beginTerm(token lease.Token) {
	r.version = firstVersion(int64(token))
	r.changedIn = make(map[string]int64)
}

// isDue reports whether the last update is at least publishInterval ago.
func (r *publishedResidency) isDue(now time.Time) bool {
	return now.Sub(r.checkedAt) >= publishInterval
}

// publish updates the published residency and assigns a new version if it has changed. An engine that is not
// known keeps its last published residency.
func (p *Placer) publish(now time.Time) {
	r := &p.residency
	r.checkedAt = now
	nextVersion := r.version + 1
	published := make(map[string]backend.Residency, len(p.engines.byID))
	for id, e := range p.engines.byID {
		previous, ok := r.published[id]
		if !e.known && !e.otherInstance {
			if ok {
				published[id] = previous
			}
			continue
		}
		published[id] = backend.Residency{Residents: e.servable(now)}
		if !ok || !slices.EqualFunc(previous.Residents, published[id].Residents, sameResident) {
			r.changedIn[id] = nextVersion
			r.version = nextVersion
			for _, resident := range published[id].Residents {
				p.waiters.notify(resident)
			}
		}
	}
	r.published = published
}

// publishNow updates the published residency if this process leads.
func (p *Placer) publishNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leadership.token != 0 {
		p.publish(p.opts.Clock.Now())
	}
}

func sameResident(a, b backend.Resident) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// changedSince returns the engines that have changed since a version, or all engines.
func (r *publishedResidency) changedSince(version int64, all bool) map[string]backend.Residency {
	out := make(map[string]backend.Residency)
	for id, residency := range r.published {
		if all || r.changedIn[id] > version {
			out[id] = residency
		}
	}
	return out
}
