package exchange

import (
	"cmp"
	"slices"
)

// A Log holds records of a kind and counts its changes.
type Log[R any] interface {
	// Epoch names the life of the log, above 0: one that starts anew has another.
	Epoch() uint32
	// Since returns what has changed after a version, and up to which version that goes.
	Since(after uint64) (records []R, version uint64)
	// Merge takes in what a peer tells; before and after are the versions around it.
	Merge(records []R) (before, after uint64)
}

// A Cursor is a place in the changes of one process's log.
type Cursor struct {
	// Epoch names the life of the log.
	Epoch uint32 `json:"e,omitempty"`
	// Version is the number of changes.
	Version uint64 `json:"v,omitempty"`
}

// A Message tells a peer what has changed here and asks for what has changed there.
type Message[R any] struct {
	Records []R `json:"records,omitempty"`
	// Seen is up to where the peer's changes are known.
	Seen Cursor `json:"seen,omitzero"`
}

// IsZero reports whether the message neither tells nor knows anything.
func (m Message[R]) IsZero() bool { return len(m.Records) == 0 && m.Seen == Cursor{} }

// A Reply is the answer to a Message.
type Reply[R any] struct {
	Cursor
	Records []R `json:"records,omitempty"`
}

// Answer takes in what a peer tells a log and returns what is new for the peer; nil if nothing is.
func Answer[R any](l Log[R], m Message[R]) *Reply[R] {
	l.Merge(m.Records)
	after := m.Seen.Version
	if m.Seen.Epoch != l.Epoch() {
		after = 0
	}
	records, version := l.Since(after)
	reply := &Reply[R]{Cursor: Cursor{Epoch: l.Epoch(), Version: version}, Records: records}
	isFirst := m.Seen == Cursor{} && version == 0
	if isFirst || reply.Cursor == m.Seen {
		// Two processes that have never heard of a change exchange no byte.
		return nil
	}
	return reply
}

// A Link is one process's side of the exchange with one peer at a time. It belongs to one goroutine.
type Link[R any] struct {
	log  Log[R]
	peer string
	// seen is up to where the peer's changes are known, sent up to where the peer knows this log's.
	seen Cursor
	sent uint64
	// telling is up to where the last message tells.
	telling uint64
}

// NewLink returns a Link of a log with no peer.
func NewLink[R any](l Log[R]) *Link[R] { return &Link[R]{log: l} }

// Message returns the next message to a peer. Another peer than the last one is sent everything.
func (l *Link[R]) Message(peer string) Message[R] {
	if peer != l.peer {
		*l = Link[R]{log: l.log, peer: peer}
	}
	records, telling := l.log.Since(l.sent)
	l.telling = telling
	return Message[R]{Records: records, Seen: l.seen}
}

// Apply takes in the peer's answer to the last message. A peer that has started anew is sent everything
// next.
func (l *Link[R]) Apply(r *Reply[R]) {
	l.sent = l.telling
	if r == nil {
		return
	}
	if l.seen.Epoch != 0 && l.seen.Epoch != r.Epoch {
		l.sent = 0
	}
	before, after := l.log.Merge(r.Records)
	if l.sent == before {
		// The peer knows what it has told.
		l.sent = after
	}
	l.seen = r.Cursor
}

// Oldest returns the keys of a log's oldest changes, at most a number of them and the oldest first, and up to which
// version they go; that is the log's own, version, if all are among them.
func Oldest[K any](changed []K, versionOf func(K) uint64, most int, version uint64) ([]K, uint64) {
	slices.SortFunc(changed, func(a, b K) int { return cmp.Compare(versionOf(a), versionOf(b)) })
	if len(changed) <= most {
		return changed, version
	}
	return changed[:most], versionOf(changed[most-1])
}
