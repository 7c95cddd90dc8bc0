package kv

import "time"

// Bounds of the changes kept for one prefix.
const (
	maxLogged      = 512
	maxLoggedBytes = 1 << 20
)

// A topic is what a Relay knows of one prefix.
type topic struct {
	// floor and at bound the log: it holds every change after floor up to at.
	floor, at Revision
	log       []Event
	// asOf is when this was surely all there was; trusted is the same as far as it was
	// handed on: what this process has read itself does not spare it the next watch.
	asOf, trusted time.Time
	// digests are those of the entries, if there is a Digest.
	digests map[string]uint64
	// left tells that changes after floor are left out of the log, or were by who
	// handed it on: whoever watches the service again has to list it first.
	left bool
	// busy is when the service last told changes.
	busy time.Time
	// handedOn tells that watches are answered from what was handed on.
	handedOn bool
	// changed is closed when any of this changes.
	changed chan struct{}
}

// trim drops the oldest changes of a log that is too long, always all of one
// revision.
func (t *topic) trim() {
	size, first := 0, len(t.log)
	for first > 0 && len(t.log)-first < maxLogged {
		size += len(t.log[first-1].Entry.Value)
		if size > maxLoggedBytes {
			break
		}
		first--
	}
	if first == 0 {
		return
	}
	t.floor = t.log[first-1].Entry.Revision
	for first < len(t.log) && t.log[first].Entry.Revision == t.floor {
		first++
	}
	t.log = append([]Event(nil), t.log[first:]...)
}

// after returns the changes after a revision.
func (t *topic) after(rev Revision) []Event {
	for i, e := range t.log {
		if e.Entry.Revision > rev {
			return append([]Event(nil), t.log[i:]...)
		}
	}
	return nil
}

func (t *topic) tell() {
	close(t.changed)
	t.changed = make(chan struct{})
}
