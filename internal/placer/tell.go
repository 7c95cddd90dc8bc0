package placer

import (
	"slices"
	"time"

	"rockcleat/backend"
)

// tell makes a new version of what gateways are told, if it differs.
func (p *Placer) publish(now time.Time) {
	p.publishedAt = now
	told := make(map[string]backend.Residency, len(p.engines))
	next := p.publishedVersion + 1
	for id, e := range p.engines {
		if !e.known {
			if word, ok := p.published[id]; ok {
				told[id] = word
			}
			continue
		}
		told[id] = backend.Residency{Residents: e.servable(now)}
		if before, ok := p.published[id]; !ok || !slices.EqualFunc(before.Residents, told[id].Residents, sameResident) {
			p.changedIn[id] = next
			p.publishedVersion = next
		}
	}
	p.published = told
}

func sameResident(a, b backend.Resident) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// changedSince returns what of the residency has changed since a version, or all.
func (p *Placer) changedSince(version int64, all bool) map[string]backend.Residency {
	out := make(map[string]backend.Residency)
	for id, word := range p.published {
		if all || p.changedIn[id] > version {
			out[id] = word
		}
	}
	return out
}
