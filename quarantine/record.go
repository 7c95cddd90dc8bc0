package quarantine

import (
	"slices"
	"time"
)

// A Record is the state of one request as processes exchange it.
type Record struct {
	Key Key `json:"k"`
	// Generation is the number of times that the request was cleared. Crashes of earlier
	// generations no longer count.
	Generation uint32 `json:"r,omitempty"`
	// Servers are the IDs of the server instances that have crashed with the request in this generation.
	Servers []string `json:"s,omitempty"`
	// AgeMs is the time since the last crash or since the request was cleared, in milliseconds.
	AgeMs int64 `json:"a"`
}

// minTimeChange is the least difference by which the time of the last crash must be later to count as a change.
// Each process that forwards a record makes it appear younger by the transmission time of the message, which is not
// a change.
const minTimeChange = time.Second

// An entry is the state of one request in a table.
type entry struct {
	generation uint32
	// servers is sorted.
	servers []string
	// lastEvent is the time of the last crash, or the time when the request was cleared.
	lastEvent time.Time
	// version is the version of the table at the last change of the entry.
	version uint64
}

// add adds the crash of a server instance at a time and reports whether it was unknown. It keeps at most maxCrashes
// instances.
func (e *entry) add(server string, at time.Time) bool {
	i, known := slices.BinarySearch(e.servers, server)
	if known {
		return false
	}
	if len(e.servers) < maxCrashes {
		e.servers = slices.Insert(e.servers, i, server)
	}
	if at.After(e.lastEvent) {
		e.lastEvent = at
	}
	return true
}

// clear clears the crashes and begins the next generation.
func (e *entry) clear(now time.Time) {
	e.generation++
	e.servers = nil
	e.lastEvent = now
}

// merge merges a record whose last crash was at a time and reports whether the entry has changed. A later
// generation replaces the entry; crashes of the same generation are added; an earlier generation is ignored.
func (e *entry) merge(r Record, at time.Time) (changed bool) {
	if r.Generation < e.generation {
		return false
	}
	if r.Generation > e.generation {
		e.generation, e.servers, e.lastEvent = r.Generation, nil, at
		changed = true
	}
	if at.Sub(e.lastEvent) > minTimeChange {
		e.lastEvent = at
		changed = true
	}
	for _, server := range r.Servers {
		if len(e.servers) < maxCrashes && e.add(server, at) {
			changed = true
		}
	}
	return changed
}

// record returns the entry in the form that is sent to other processes.
func (e *entry) record(k Key, now time.Time) Record {
	return Record{Key: k, Generation: e.generation, Servers: slices.Clone(e.servers), AgeMs: max(now.Sub(e.lastEvent).Milliseconds(), 0)}
}

// age returns the record's age. A negative age, which only an invalid record has, counts as 0, since it would prolong
// the quarantine.
func (r Record) age() time.Duration { return time.Duration(max(r.AgeMs, 0)) * time.Millisecond }
