package gateway

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"rockcleat/kv"
)

// An evacuationFollower follows which data halls the operators have evacuated. Each evacuated hall has an entry in the
// store. The servers in an evacuated hall accept no new requests.
type evacuationFollower struct {
	*storeHealth
	servers *serverList
	halls   map[string]bool
}

func newEvacuationFollower(h *storeHealth, servers *serverList) *evacuationFollower {
	return &evacuationFollower{storeHealth: h, servers: servers, halls: make(map[string]bool)}
}

// Replace implements kv.Follower.
func (f *evacuationFollower) Replace(entries []kv.Entry) {
	before := f.halls
	f.halls = make(map[string]bool, len(entries))
	for _, e := range entries {
		f.halls[f.servers.decoder.EvacuatedHall(e.Key)] = true
	}
	f.update(before)
}

// Apply implements kv.Follower.
func (f *evacuationFollower) Apply(events []kv.Event) {
	before := maps.Clone(f.halls)
	for _, e := range events {
		hall := f.servers.decoder.EvacuatedHall(e.Entry.Key)
		if e.Deleted {
			delete(f.halls, hall)
		} else {
			f.halls[hall] = true
		}
	}
	f.update(before)
}

// update logs the differences to the halls evacuated before and applies the new ones.
func (f *evacuationFollower) update(before map[string]bool) {
	for _, hall := range missingIn(before, f.halls) {
		f.log.Info("data hall evacuated", zap.String("hall", hall))
	}
	for _, hall := range missingIn(f.halls, before) {
		f.log.Info("data hall no longer evacuated", zap.String("hall", hall))
	}
	f.servers.setEvacuated(f.halls)
}

// missingIn returns the sorted keys of want that have lacks.
func missingIn(have, want map[string]bool) []string {
	var missing []string
	for name := range want {
		if !have[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}
