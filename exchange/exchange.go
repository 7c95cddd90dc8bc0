package exchange

import (
	"cmp"
	"slices"
)

// A Log holds records of type R and numbers its changes.
type Log[R any] interface {
	// Epoch identifies the incarnation of the log. It is above 0 and differs after a restart.
	Epoch() uint32
	// Since returns the records changed after a version, and the version up to which they are complete.
	Since(after uint64) (records []R, version uint64)
	// Merge merges a peer's records. before and after are the versions of the log before and after the merge.
	Merge(records []R) (before, after uint64)
}

// A Cursor is a position in the changes of a log.
type Cursor struct {
	// Epoch identifies the incarnation of the log.
	Epoch uint32 `json:"e,omitempty"`
	// Version is the number of changes up to the position.
	Version uint64 `json:"v,omitempty"`
}

// A Message carries local changes to a peer and requests the peer's changes.
type Message[R any] struct {
	Records []R `json:"records,omitempty"`
	// Seen is the position up to which the sender knows the receiver's changes.
	Seen Cursor `json:"seen,omitzero"`
}

// IsZero reports whether the message carries no records and no position.
func (m Message[R]) IsZero() bool { return len(m.Records) == 0 && m.Seen == Cursor{} }

// A Reply is a peer's reply to a Message. Its Cursor is the position up to which the receiver knows the
// sender's changes once it has merged Records.
type Reply[R any] struct {
	Cursor
	Records []R `json:"records,omitempty"`
}

// HandleMessage merges the records of a message into the log and returns the reply. The reply is nil if there
// is nothing new for the peer.
func HandleMessage[R any](l Log[R], m Message[R]) *Reply[R] {
	l.Merge(m.Records)
	after := m.Seen.Version
	if m.Seen.Epoch != l.Epoch() {
		after = 0
	}
	records, version := l.Since(after)
	reply := &Reply[R]{Cursor: Cursor{Epoch: l.Epoch(), Version: version}, Records: records}
	isEmpty := m.Seen == Cursor{} && version == 0
	if isEmpty || reply.Cursor == m.Seen {
		// Either this log has no changes yet, or the peer has all of them.
		return nil
	}
	return reply
}

// A Link is the local side of an exchange with one peer at a time. It is not safe for concurrent use.
type Link[R any] struct {
	log  Log[R]
	peer string
	// peerCursor is the position up to which the peer's changes are known. ackedVersion is the local version
	// up to which the peer is known to have the changes.
	peerCursor   Cursor
	ackedVersion uint64
	// sentVersion is the local version up to which the last message carries the changes.
	sentVersion uint64
}

// NewLink returns a Link without a peer.
func NewLink[R any](l Log[R]) *Link[R] { return &Link[R]{log: l} }

// Message returns the next message to a peer. If the peer is another one than before, the message carries all
// records.
func (l *Link[R]) Message(peer string) Message[R] {
	if peer != l.peer {
		*l = Link[R]{log: l.log, peer: peer}
	}
	records, version := l.log.Since(l.ackedVersion)
	l.sentVersion = version
	return Message[R]{Records: records, Seen: l.peerCursor}
}

// ApplyReply merges the reply to the last message; nil stands for a reply without changes. If the peer has
// restarted, the next message carries all records.
func (l *Link[R]) ApplyReply(r *Reply[R]) {
	l.ackedVersion = l.sentVersion
	if r == nil {
		return
	}
	if l.peerCursor.Epoch != 0 && l.peerCursor.Epoch != r.Epoch {
		l.ackedVersion = 0
	}
	before, after := l.log.Merge(r.Records)
	if l.ackedVersion == before {
		// The changes merged just now came from the peer and need not be sent back.
		l.ackedVersion = after
	}
	l.peerCursor = r.Cursor
}

// Changed returns the keys of the entries of a log that have changed after a version, at most limit of them, the oldest
// changes first. It also returns the version up to which they are complete: that of the last key, or current, the version
// of the log, if no key is left out. versionOf returns the version of an entry's last change, or 0 to leave it out.
func Changed[K comparable, E any](entries map[K]E, versionOf func(E) uint64, after, current uint64, limit int) ([]K, uint64) {
	if after == current {
		return nil, current
	}
	var changed []K
	for k, e := range entries {
		if versionOf(e) > after {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, func(a, b K) int { return cmp.Compare(versionOf(entries[a]), versionOf(entries[b])) })
	if len(changed) <= limit {
		return changed, current
	}
	return changed[:limit], versionOf(entries[changed[limit-1]])
}
