package kv

import "time"

// Bounds of the changes kept for one prefix. Chosen, not measured: a gateway of the grown
// sites has 64 MB at most (docs/CAPACITY.md), and whoever is further behind lists anew.
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
	// digests are those of the entries, if the Fanout has a Digest.
	digests map[string]uint64
	// filtered says that changes after floor were left out here or by the sender:
	// before it watches the service again, this process has to list the prefix.
	filtered bool
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

// notify wakes the watches that wait for a change.
func (l *changeLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
