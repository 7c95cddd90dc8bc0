package kv

import "time"

// Bounds of the changes kept for one prefix.
const (
	maxLogged      = 512
	maxLoggedBytes = 1 << 20
)

// A topic is what a Relay knows of one prefix.
type changeLog struct {
	// floor and at bound the log: it holds every change after floor up to at.
	floor, to Revision
	events    []Event
	// asOf is when this was surely all there was; trusted is the same as far as it was
	// handed on: what this process has read itself does not spare it the next watch.
	currentAt, receivedAt time.Time
	// digests are those of the entries, if there is a Digest.
	digests map[string]uint64
	// left tells that changes after floor are left out of the log, or were by who
	// handed it on: whoever watches the service again has to list it first.
	filtered bool
	// busy is when the service last told changes.
	lastEvents time.Time
	// handedOn tells that watches are answered from what was handed on.
	receiving bool
	// changed is closed when any of this changes.
	changed chan struct{}
}

// trim drops the oldest changes of a log that is too long, always all of one
// revision.
func (t *changeLog) trim() {
	size, first := 0, len(t.events)
	for first > 0 && len(t.events)-first < maxLogged {
		size += len(t.events[first-1].Entry.Value)
		if size > maxLoggedBytes {
			break
		}
		first--
	}
	if first == 0 {
		return
	}
	t.floor = t.events[first-1].Entry.Revision
	for first < len(t.events) && t.events[first].Entry.Revision == t.floor {
		first++
	}
	t.events = append([]Event(nil), t.events[first:]...)
}

// after returns the changes after a revision.
func (t *changeLog) after(rev Revision) []Event {
	for i, e := range t.events {
		if e.Entry.Revision > rev {
			return append([]Event(nil), t.events[i:]...)
		}
	}
	return nil
}

func (t *changeLog) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
