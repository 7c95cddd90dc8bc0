package quarantine

import (
	"cmp"
	"slices"
)

// A Cursor is a place in the changes of one process's table.
type Cursor struct {
	// Epoch names the life of the table: one that starts anew has another.
	Epoch uint32 `json:"e,omitempty"`
	// Version is the number of changes.
	Version uint64 `json:"v,omitempty"`
}

// A Message tells a peer what has changed here and asks for what has changed there.
type Message struct {
	Records []Record `json:"records,omitempty"`
	// Seen is up to where the peer's changes are known.
	Seen Cursor `json:"seen,omitzero"`
}

// A Reply is the answer to a Message.
type Reply struct {
	Cursor
	Records []Record `json:"records,omitempty"`
}

// Answer takes in what a peer tells and returns what is new for it of the requests with a number of ends or
// more; nil if nothing is.
func (t *Table) Answer(m Message, ends int) *Reply {
	t.Merge(m.Records)
	after := m.Seen.Version
	if m.Seen.Epoch != t.epoch {
		after = 0
	}
	records, version := t.since(after, ends)
	reply := &Reply{Cursor: Cursor{Epoch: t.epoch, Version: version}, Records: records}
	isFirst := m.Seen == Cursor{} && version == 0
	if isFirst || reply.Cursor == m.Seen {
		// Two processes that have never heard of an end exchange no byte.
		return nil
	}
	return reply
}

// since returns the requests that have changed after a version, those with fewer ends left out unless
// they were voided, and up to which version that goes.
func (t *Table) since(after uint64, ends int) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after == t.version {
		return nil, t.version
	}
	var changed []Key
	for k, e := range t.entries {
		if e.version > after && (len(e.servers) >= ends || e.round > 0) {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, func(a, b Key) int { return cmp.Compare(t.entries[a].version, t.entries[b].version) })
	version := t.version
	if len(changed) > maxMessageRecords {
		changed = changed[:maxMessageRecords]
		version = t.entries[changed[maxMessageRecords-1]].version
	}
	now := t.opts.Clock.Now()
	records := make([]Record, len(changed))
	for i, k := range changed {
		records[i] = t.entries[k].record(k, now)
	}
	return records, version
}

// A Link is one process's side of the exchange with one peer at a time. It belongs to one goroutine.
type Link struct {
	table *Table
	// ends is from how many ends on the peer is sent a request.
	ends int
	peer string
	// seen is up to where the peer's changes are known, sent up to where the peer knows this table's.
	seen Cursor
	sent uint64
	// telling is up to where the last message tells.
	telling uint64
}

// NewLink returns a Link of a table with no peer, which tells of requests with a number of ends or more.
func NewLink(t *Table, ends int) *Link { return &Link{table: t, ends: ends} }

// Message returns the next message to a peer. Another peer than the last one is sent everything.
func (l *Link) Message(peer string) Message {
	if peer != l.peer {
		*l = Link{table: l.table, ends: l.ends, peer: peer}
	}
	records, telling := l.table.since(l.sent, l.ends)
	l.telling = telling
	return Message{Records: records, Seen: l.seen}
}

// Apply takes in the peer's answer to the last message. A peer that has started anew is sent everything
// next.
func (l *Link) Apply(r *Reply) {
	l.sent = l.telling
	if r == nil {
		return
	}
	if l.seen.Epoch != 0 && l.seen.Epoch != r.Epoch {
		l.sent = 0
	}
	before, after := l.table.Merge(r.Records)
	if l.sent == before {
		// The peer knows what it has told.
		l.sent = after
	}
	l.seen = r.Cursor
}
