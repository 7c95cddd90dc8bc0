package kv

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
	"strings"
	"time"

	"rockcleat/clock"
)

// Bounds of a changeLog.
const (
	// maxLogEvents is the maximum number of events.
	maxLogEvents = 512
	// maxLogBytes is the maximum total size of the values of events, in bytes.
	maxLogBytes = 1 << 20
)

// A changeLog holds the latest changes of one prefix and the time at which they were current.
type changeLog struct {
	// events are all changes after floor, up to and including to, except those filtered out.
	floor, to Revision
	events    []Event
	// currentAt is the latest time at which the log is known to have held every change. receivedAt
	// is the same for data forwarded by another process. A watch made by this process itself does
	// not advance receivedAt, so that later watches still go to the service.
	currentAt, receivedAt time.Time
	// entries are all entries under the prefix as of to, if complete is set. Entries whose changes
	// were filtered out by the sender may be older.
	entries  map[string]Entry
	complete bool
	// keyHash is a hash of the set of keys of entries. silentChanges counts the keys that came or
	// went, and the entries that were replaced, without a revision above to.
	keyHash       uint32
	silentChanges uint64
	// digests are the digests of the entries, if FanoutOptions.Digest is set.
	digests map[string]uint64
	// filtered is set if changes after floor were filtered out, here or by the sender. This process
	// must then list the prefix before it watches the service again.
	filtered bool
	// restoredAt is when this process learned of the last restore of the service. unmerged is set if it learned of it from
	// forwarded data, and has not listed the service since.
	restoredAt time.Time
	unmerged   bool
	// missing holds the keys of known entries that the service lacked after it was restored from a
	// backup, with the time until which each entry is kept unless its writer writes it again.
	missing map[string]time.Time
	// stale holds the entries of a restored backup that are ignored until they are written again.
	stale map[string]staleEntry
	// lastEvents is the time at which a watch of the service last returned changes.
	lastEvents time.Time
	// listingUntil is the time until which the first list of the prefix, which is in progress, is expected
	// to end. listFailed is set if the service has failed to list the prefix since.
	listingUntil time.Time
	listFailed   bool
	// waitUntil is the time until which the first list waits for forwarded data at least. transferring is
	// set while another process sends all entries.
	waitUntil    time.Time
	transferring bool
	// receiving is set while watches are served from data forwarded by another process.
	receiving bool
	// changed is closed and replaced when any other field changes.
	changed chan struct{}
}

// An origin tells where data comes from.
type origin struct {
	// currentAt is a time at which the data was current.
	currentAt time.Time
	// forwarded is set if another process has forwarded the data.
	forwarded bool
}

// recordOrigin records the time of forwarded data. It must be called together with the change of the log: a
// reader that finds the data without its time would turn to the service.
func (l *changeLog) recordOrigin(o origin) {
	if o.forwarded {
		l.receivedAt = clock.Later(l.receivedAt, o.currentAt)
	}
}

// trim drops the oldest events of a log that exceeds its bounds. Events of one revision are dropped
// together.
func (l *changeLog) trim() {
	size, first := 0, len(l.events)
	for first > 0 && len(l.events)-first < maxLogEvents {
		size += len(l.events[first-1].Entry.Value)
		if size > maxLogBytes {
			break
		}
		first--
	}
	if first == 0 {
		return
	}
	l.floor = l.events[first-1].Entry.Revision
	for first < len(l.events) && l.events[first].Entry.Revision == l.floor {
		first++
	}
	l.events = append([]Event(nil), l.events[first:]...)
}

// after returns the events with a revision above rev.
func (l *changeLog) after(rev Revision) []Event {
	for i, e := range l.events {
		if e.Entry.Revision > rev {
			return append([]Event(nil), l.events[i:]...)
		}
	}
	return nil
}

// reset replaces the contents of a log that is not complete with a list of the whole prefix.
func (l *changeLog) reset(entries []Entry, at Revision) {
	l.floor, l.to, l.events, l.filtered = at, at, nil, false
	l.entries = make(map[string]Entry, len(entries))
	l.keyHash = 0
	l.complete = true
	for _, e := range entries {
		l.set(Event{Entry: e})
	}
	l.digests = make(map[string]uint64)
}

// diff returns the changes that turn the entries of the log into a list of a later revision, in the
// order of their revisions. A deletion gets the revision of the list, since its own is not known.
// An entry written while the list was read page by page gets the revision of the list at most; the
// next watch returns it again. w, if not nil, are the periodic writers of the prefix.
func (l *changeLog) diff(entries []Entry, at Revision, w PeriodicWriters) []Event {
	var events []Event
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if before, ok := l.entries[e.Key]; !ok || before.Revision != e.Revision || isSuperseded(before, e, w) {
			e.Revision = min(e.Revision, at)
			events = append(events, Event{Entry: e})
		}
	}
	for key := range l.entries {
		if !listed[key] {
			events = append(events, Event{Entry: Entry{Key: key, Revision: at}, Deleted: true})
		}
	}
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Entry.Revision, b.Entry.Revision), strings.Compare(a.Entry.Key, b.Entry.Key))
	})
	return events
}

// set applies a change to entries. It reports whether a key was added or removed.
func (l *changeLog) set(e Event) (changesKeys bool) {
	if !l.complete {
		return false
	}
	_, exists := l.entries[e.Entry.Key]
	if e.Deleted {
		delete(l.entries, e.Entry.Key)
	} else {
		l.entries[e.Entry.Key] = e.Entry
	}
	if exists != e.Deleted {
		return false
	}
	// Exclusive or makes the hash independent of the order of the changes.
	l.keyHash ^= crc32.ChecksumIEEE([]byte(e.Entry.Key))
	return true
}

// lacksKeyChange reports whether another process knows the revision of this log but not the same
// keys, so that it cannot learn the difference from a later change.
func (l *changeLog) lacksKeyChange(prefix string, other Progress) bool {
	hash, complete := other.KeyHashes[prefix]
	return complete && l.complete && other.Revisions[prefix] == l.to && hash != l.keyHash
}

// sortedEntries returns the entries in key order.
func (l *changeLog) sortedEntries() []Entry {
	list := slices.Collect(maps.Values(l.entries))
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// batch returns the changes after a revision, or all entries if those changes are no longer held or
// full is set. It reports false if it can return neither.
func (l *changeLog) batch(after Revision, full bool, now time.Time) (Batch, bool) {
	b := Batch{From: after, To: max(l.to, after), Filtered: l.filtered, AgeMs: now.Sub(l.currentAt).Milliseconds()}
	switch {
	case l.to == 0:
		return Batch{}, false
	case after >= l.floor && !full:
		b.Events = l.after(after)
	case l.complete:
		b.Full = true
		for _, e := range l.sortedEntries() {
			b.Events = append(b.Events, Event{Entry: e})
		}
	default:
		return Batch{}, false
	}
	return b, true
}

// isChangedAfter reports whether the log holds an event with a revision above rev.
func (l *changeLog) isChangedAfter(rev Revision) bool {
	n := len(l.events)
	return n > 0 && l.events[n-1].Entry.Revision > rev
}

// notify wakes the goroutines that wait on changed.
func (l *changeLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
