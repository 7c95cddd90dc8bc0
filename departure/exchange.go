package departure

import (
	"time"

	"rockcleat/exchange"
)

// A Record is the announcement of one server instance as processes exchange it.
type Record struct {
	// Server is the ID of the server instance.
	Server string `json:"s"`
	// AgeMs is the time since the server's response, in milliseconds.
	AgeMs int64 `json:"a"`
}

// maxAge is the maximum age of a valid record. It bounds the arithmetic with ages of other processes.
const maxAge = 24 * time.Hour

// isValid reports whether a received record is well-formed.
func (r Record) isValid() bool {
	return r.Server != "" && r.AgeMs >= 0 && r.AgeMs <= maxAge.Milliseconds()
}

func (r Record) age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// A Message sends announcements to a peer and requests those that the peer has received.
type Message = exchange.Message[Record]

// A Reply is the reply to a Message.
type Reply = exchange.Reply[Record]

// A Link is the local end of the exchange with one peer at a time.
type Link = exchange.Link[Record]

// NewLink returns a Link of a table that has no peer yet.
func NewLink(t *Table) *Link { return exchange.NewLink(exchange.Log[Record](t)) }

// Answer merges the records of a message and returns the records that are new for the peer, or nil if there are
// none.
func (t *Table) Answer(m Message) *Reply { return exchange.HandleMessage(exchange.Log[Record](t), m) }

// maxMessageRecords is the maximum number of records in a message. The others follow in the next messages.
const maxMessageRecords = 256

// Epoch implements exchange.Log.
func (t *Table) Epoch() uint32 { return t.epoch }

// Since implements exchange.Log.
func (t *Table) Since(after uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, version := exchange.Changed(t.entries, (*entry).lastChange, after, t.version, maxMessageRecords)
	now := t.opts.Clock.Now()
	records := make([]Record, len(changed))
	for i, server := range changed {
		age := min(now.Sub(t.entries[server].announcedAt), maxAge)
		records[i] = Record{Server: server, AgeMs: age.Milliseconds()}
	}
	return records, version
}

// Merge implements exchange.Log. It ignores invalid records.
func (t *Table) Merge(records []Record) (before, after uint64) {
	var added []Announcement
	t.mu.Lock()
	now := t.opts.Clock.Now()
	before = t.version
	for _, r := range records {
		if r.isValid() && t.add(r.Server, now.Add(-r.age()), now) {
			added = append(added, Announcement{Server: r.Server, Origin: OriginPeer, Age: r.age()})
		}
	}
	after = t.version
	t.mu.Unlock()
	for _, a := range added {
		t.notify(a)
	}
	return before, after
}
