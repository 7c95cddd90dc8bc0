package serverlimit

import (
	"time"

	"rockcleat/exchange"
)

// A Record is what is known of the limit of one run of a server, as processes tell each other.
type Record struct {
	Server string `json:"s"`
	// Sequence is the number of the word.
	Sequence uint64 `json:"q"`
	// Limited says that the server has a limit, PerSecond which one.
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"r,omitempty"`
	// AgeMs is the time since the server's answer, in milliseconds.
	AgeMs int64 `json:"a"`
}

// isValid reports whether a record may be taken in: others send messages too, and what is too old says
// nothing any more.
func (r Record) isValid() bool {
	isRate := r.PerSecond >= 0 && r.PerSecond <= maxPerSecond
	return r.Server != "" && isRate && r.AgeMs >= 0 && r.age() <= holdTime
}

func (r Record) age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

func (r Record) word() word {
	return word{sequence: r.Sequence, limited: r.Limited, perSecond: r.PerSecond}
}

// record returns the entry as other processes are sent it.
func (e *entry) record(server string, now time.Time) Record {
	return Record{
		Server: server, Sequence: e.sequence, Limited: e.limited, PerSecond: e.perSecond, AgeMs: now.Sub(e.namedAt).Milliseconds(),
	}
}

// A Message tells a peer what has changed here and asks for what has changed there.
type Message = exchange.Message[Record]

// A Reply is the answer to a Message.
type Reply = exchange.Reply[Record]

// A Link is one process's side of the exchange with one peer at a time.
type Link = exchange.Link[Record]

// NewLink returns a Link of a table with no peer.
func NewLink(t *Table) *Link { return exchange.NewLink(exchange.Log[Record](t)) }

// Answer takes in what a peer tells and returns what is new for it; nil if nothing is.
func (t *Table) Answer(m Message) *Reply { return exchange.Answer(exchange.Log[Record](t), m) }

// maxMessageRecords bounds the records of a message; the rest goes with the next one.
const maxMessageRecords = 256

// Epoch implements exchange.Log.
func (t *Table) Epoch() uint32 { return t.epoch }

// Since implements exchange.Log.
func (t *Table) Since(after uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after == t.version {
		return nil, t.version
	}
	var changed []string
	for server, e := range t.entries {
		if e.version > after {
			changed = append(changed, server)
		}
	}
	versionOf := func(server string) uint64 { return t.entries[server].version }
	changed, version := exchange.Oldest(changed, versionOf, maxMessageRecords, t.version)
	now := t.opts.Clock.Now()
	records := make([]Record, len(changed))
	for i, server := range changed {
		records[i] = t.entries[server].record(server, now)
	}
	return records, version
}

// Merge implements exchange.Log: it takes in the words of other processes that are newer than those known.
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

// merge takes in one word. The Table is locked.
func (t *Table) merge(r Record, now time.Time) {
	namedAt := now.Add(-r.age())
	e := t.entries[r.Server]
	switch {
	case e == nil || r.word().isNewerThan(e.word):
		t.set(r.Server, r.word(), namedAt, now, Told)
	case r.word() == e.word && namedAt.After(e.namedAt):
		e.namedAt = namedAt
	}
}

// Record returns what is known of a server's limit; ok is false if nothing is.
func (t *Table) Record(server string) (r Record, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil {
		return Record{}, false
	}
	return e.record(server, t.opts.Clock.Now()), true
}
