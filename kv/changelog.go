package kv

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of the changes kept for one prefix.
const (
	// maxLogEvents bounds their number.
	maxLogEvents = 512
	// maxLogBytes bounds the bytes of their values.
	maxLogBytes = 1 << 20
)

// A changeLog holds the latest changes of one prefix and how current they are.
type changeLog struct {
	// events are all changes after floor, up to and including to.
	floor, to Revision
	events    []Event
	// currentAt is the latest time at which nothing else had changed. receivedAt is the
	// same for what another process handed on: what this process has watched itself
	// does not spare it the next watch.
	currentAt, receivedAt time.Time
	// entries are all that stand under the prefix as of to, if complete; those whose changes
	// were left out may be older.
	entries  map[string]Entry
	complete bool
	// digests are those of the entries, if the Fanout has a Digest.
	digests map[string]uint64
	// filtered says that changes after floor were left out here or by the sender:
	// before it watches the service again, this process has to list the prefix.
	filtered bool
	// missing are the entries that a copy of the service lacked and that stand until then for their writers to
	// write them again.
	missing map[string]time.Time
	// stale are the entries of the copy that do not count until they are written again.
	stale map[string]staleEntry
	// lastEvents is when a watch of the service last returned changes.
	lastEvents time.Time
	// receiving says that watches are answered from what another process hands on.
	receiving bool
	// changed is closed when any of this changes.
	changed chan struct{}
}

// trim drops the oldest changes of a log that is too long, always all of one revision.
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

// after returns the changes after a revision.
func (l *changeLog) after(rev Revision) []Event {
	for i, e := range l.events {
		if e.Entry.Revision > rev {
			return append([]Event(nil), l.events[i:]...)
		}
	}
	return nil
}

// reset sets the whole prefix as it was at a revision, for a log that does not hold all of it.
func (l *changeLog) reset(entries []Entry, at Revision) {
	l.floor, l.to, l.events, l.filtered = at, at, nil, false
	l.entries = make(map[string]Entry, len(entries))
	for _, e := range entries {
		l.entries[e.Key] = e
	}
	l.complete = true
	l.digests = make(map[string]uint64)
}

// diff returns the changes that lead from what the log holds to a whole list of a later revision, in
// the order of their revisions. What is gone is gone with the list's revision, since nothing says when
// it went. What was written while the list was read, in pages, counts as of the list too: the next watch
// shows it again.
func (l *changeLog) diff(entries []Entry, at Revision) []Event {
	var events []Event
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if before, ok := l.entries[e.Key]; !ok || before.Revision != e.Revision {
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

// set applies a change to the entries.
func (l *changeLog) set(e Event) {
	switch {
	case !l.complete:
	case e.Deleted:
		delete(l.entries, e.Entry.Key)
	default:
		l.entries[e.Entry.Key] = e.Entry
	}
}

// all returns the entries in the order of their keys.
func (l *changeLog) all() []Entry {
	list := slices.Collect(maps.Values(l.entries))
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// batch returns what has changed after a revision, or everything if that is not known; it reports
// false if neither is.
func (l *changeLog) batch(after Revision, now time.Time) (Batch, bool) {
	b := Batch{From: after, To: max(l.to, after), Filtered: l.filtered, AgeMs: now.Sub(l.currentAt).Milliseconds()}
	switch {
	case l.to == 0:
		return Batch{}, false
	case after >= l.floor:
		b.Events = l.after(after)
	case l.complete:
		b.Full = true
		for _, e := range l.all() {
			b.Events = append(b.Events, Event{Entry: e})
		}
	default:
		return Batch{}, false
	}
	return b, true
}

// isChangedAfter reports whether changes after a revision are kept.
func (l *changeLog) isChangedAfter(rev Revision) bool {
	n := len(l.events)
	return n > 0 && l.events[n-1].Entry.Revision > rev
}

// notify wakes the watches that wait for a change.
func (l *changeLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
