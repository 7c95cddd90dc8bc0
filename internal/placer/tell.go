package placer

import (
	"slices"
	"time"

	"rockcleat/backend"
)

// tell makes a new version of what gateways are told, if it differs.
func (p *Placer) tell(now time.Time) {
	p.toldAt = now
	told := make(map[string]backend.Residency, len(p.engines))
	next := p.version + 1
	for id, e := range p.engines {
		if !e.known {
			if word, ok := p.told[id]; ok {
				told[id] = word
			}
			continue
		}
		told[id] = backend.Residency{Residents: e.ready(now)}
		if before, ok := p.told[id]; !ok || !slices.EqualFunc(before.Residents, told[id].Residents, sameResident) {
			p.changed[id] = next
			p.version = next
		}
	}
	p.told = told
}

func sameResident(a, b backend.Resident) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// changedSince returns what of the residency has changed since a version, or all.
func (p *Placer) changedSince(version int64, all bool) map[string]backend.Residency {
	out := make(map[string]backend.Residency)
	for id, word := range p.told {
		if all || p.changed[id] > version {
			out[id] = word
		}
	}
	return out
}
