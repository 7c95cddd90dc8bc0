package serverlimit

import (
	"time"

	"rockcleat/exchange"
)

// A Record is the latest known limit of one server instance as processes exchange it.
type Record struct {
	// Server is the ID of the server instance.
	Server string `json:"s"`
	// Sequence is the number of the update.
	Sequence uint64 `json:"q"`
	// Limited is true if the server has a limit, which is PerSecond.
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"r,omitempty"`
	// AgeMs is the time since the server's response, in milliseconds.
	AgeMs int64 `json:"a"`
}

// isValid reports whether a received record is well-formed and not too old.
func (r Record) isValid() bool {
	isRate := r.PerSecond >= 0 && r.PerSecond <= maxPerSecond
	return r.Server != "" && isRate && r.AgeMs >= 0 && r.age() <= limitTTL
}

func (r Record) age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

func (r Record) update() update {
	return update{sequence: r.Sequence, limited: r.Limited, perSecond: r.PerSecond}
}

// record returns the entry in the form that is sent to other processes.
func (e *entry) record(server string, now time.Time) Record {
	return Record{
		Server: server, Sequence: e.sequence, Limited: e.limited, PerSecond: e.perSecond, AgeMs: now.Sub(e.reportedAt).Milliseconds(),
	}
}

// A Message sends changed records to a peer and requests the records that have changed there.
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
		records[i] = t.entries[server].record(server, now)
	}
	return records, version
}

// Merge implements exchange.Log. It accepts the updates that are newer than those known and ignores invalid records.
func (t *Table) Merge(records []Record) (before, after uint64) {
	t.change(func(now time.Time) {
		before = t.version
		for _, r := range records {
			if r.isValid() {
				t.merge(r, now)
			}
		}
		after = t.version
	})
	return before, after
}

// merge accepts a record if it is newer than the entry. t.mu must be held.
func (t *Table) merge(r Record, now time.Time) {
	reportedAt := now.Add(-r.age())
	e := t.entries[r.Server]
	switch {
	case e == nil || r.update().isNewerThan(e.update):
		t.set(r.Server, r.update(), reportedAt, now, OriginPeer)
	case r.update() == e.update && reportedAt.After(e.reportedAt):
		e.reportedAt = reportedAt
	}
}

// Record returns the latest known limit of a server, or its removal; ok is false if nothing is known.
func (t *Table) Record(server string) (r Record, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil {
		return Record{}, false
	}
	return e.record(server, t.opts.Clock.Now()), true
}
