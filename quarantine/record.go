package quarantine

import (
	"slices"
	"time"
)

// A Record is the state of one trait as processes exchange it. A process that runs an earlier version of the program
// drops the fields that it does not know, so a record that lacks them adds nothing to those that a table has.
type Record struct {
	Key Key `json:"k"`
	// Kind and Name are those of the Trait.
	Kind Kind   `json:"t,omitempty"`
	Name string `json:"n,omitempty"`
	// Generation is the number of times that the trait was cleared. Crashes of earlier generations no longer count.
	Generation uint32 `json:"r,omitempty"`
	// Servers are the IDs of the server instances that have crashed with the trait in this generation.
	Servers []string `json:"s,omitempty"`
	// Trials are the IDs of those that crashed in a trial of the trait.
	Trials []string `json:"x,omitempty"`
	// AgeMs is the time since the last crash or since the trait was cleared, in milliseconds.
	AgeMs int64 `json:"a"`
}

// minTimeChange is the least difference by which the time of the last crash must be later to count as a change.
// Each process that forwards a record makes it appear younger by the transmission time of the message, which is not
// a change.
const minTimeChange = time.Second

// An entry is the state of one trait in a table.
type entry struct {
	kind       Kind
	name       string
	generation uint32
	// servers and trials are sorted.
	servers, trials []string
	// lastEvent is the time of the last crash, or the time when the trait was cleared.
	lastEvent time.Time
	// version is the version of the table at the last change of the entry.
	version uint64
}

// add adds the crash of a server instance at a time and reports whether it was unknown. It keeps at most maxCrashes
// instances.
func (e *entry) add(server string, onTrial bool, at time.Time) (changed bool) {
	changed = insertCrash(&e.servers, server)
	if onTrial && insertCrash(&e.trials, server) {
		changed = true
	}
	if changed && at.After(e.lastEvent) {
		e.lastEvent = at
	}
	return changed
}

// clear clears the crashes and begins the next generation.
func (e *entry) clear(now time.Time) {
	e.generation++
	e.servers, e.trials = nil, nil
	e.lastEvent = now
}

// describe sets the kind and the name of an entry if they are known.
func (e *entry) describe(t Trait) (changed bool) {
	if t.Kind == Content || e.kind == t.Kind {
		return false
	}
	e.kind, e.name = t.Kind, t.Name
	return true
}

// merge merges a record whose last crash was at a time and reports whether the entry has changed. A later
// generation replaces the entry; crashes of the same generation are added; an earlier generation is ignored.
func (e *entry) merge(r Record, at time.Time) (changed bool) {
	if r.Generation < e.generation {
		return false
	}
	changed = e.describe(r.trait())
	if r.Generation > e.generation {
		e.generation, e.servers, e.trials, e.lastEvent = r.Generation, nil, nil, at
		changed = true
	}
	if at.Sub(e.lastEvent) > minTimeChange {
		e.lastEvent = at
		changed = true
	}
	added := mergeCrashes(&e.servers, r.Servers)
	added = mergeCrashes(&e.trials, r.Trials) || added
	if added {
		changed = true
		if at.After(e.lastEvent) {
			e.lastEvent = at
		}
	}
	return changed
}

// insertCrash adds a server instance to a sorted list of at most maxCrashes and reports whether it was missing. A full list
// stays as it is.
func insertCrash(list *[]string, server string) (missing bool) {
	i, known := slices.BinarySearch(*list, server)
	if !known && len(*list) < maxCrashes {
		*list = slices.Insert(*list, i, server)
	}
	return !known
}

// mergeCrashes adds server instances to a sorted list and reports whether there were new ones. It keeps at most
// maxCrashes.
func mergeCrashes(list *[]string, servers []string) (changed bool) {
	for _, server := range servers {
		if len(*list) < maxCrashes && insertCrash(list, server) {
			changed = true
		}
	}
	return changed
}

// record returns the entry in the form that is sent to other processes.
func (e *entry) record(k Key, now time.Time) Record {
	return Record{
		Key: k, Kind: e.kind, Name: e.name, Generation: e.generation, Servers: slices.Clone(e.servers),
		Trials: slices.Clone(e.trials), AgeMs: max(now.Sub(e.lastEvent).Milliseconds(), 0),
	}
}

// trait returns the trait with the given key that the entry describes.
func (e *entry) trait(k Key) Trait { return Trait{Key: k, Kind: e.kind, Name: e.name} }

func (r Record) trait() Trait { return Trait{Key: r.Key, Kind: r.Kind, Name: r.Name} }

// age returns the record's age. A negative age, which only an invalid record has, counts as 0, since it would prolong
// the quarantine.
func (r Record) age() time.Duration { return time.Duration(max(r.AgeMs, 0)) * time.Millisecond }
