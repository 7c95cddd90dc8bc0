package quarantine

import "rockcleat/exchange"

// A Message sends changed records to a peer and requests the records that have changed there.
type Message = exchange.Message[Record]

// A Reply is the reply to a Message.
type Reply = exchange.Reply[Record]

// A Cursor is a position in the sequence of changes of one table.
type Cursor = exchange.Cursor

// A Link is the local end of the exchange with one peer at a time.
type Link = exchange.Link[Record]

// NewLink returns a Link of a table that has no peer yet. It sends the records of requests with at least the given
// number of crashes.
func NewLink(t *Table, minCrashes int) *Link {
	return exchange.NewLink(changeLog{table: t, minCrashes: minCrashes})
}

// Answer merges the records of a message and returns the records that are new for the peer, of requests with at
// least the given number of crashes. It returns nil if there are none.
func (t *Table) Answer(m Message, minCrashes int) *Reply {
	return exchange.HandleMessage(changeLog{table: t, minCrashes: minCrashes}, m)
}

// changeLog is the exchange.Log of a table for requests with at least a number of crashes.
type changeLog struct {
	table      *Table
	minCrashes int
}

// Epoch implements exchange.Log.
func (c changeLog) Epoch() uint32 { return c.table.epoch }

// Merge implements exchange.Log.
func (c changeLog) Merge(records []Record) (before, after uint64) { return c.table.Merge(records) }

// versionOf returns the version of an entry, or 0 if it is left out.
func (c changeLog) versionOf(e *entry) uint64 {
	if len(e.servers) < c.minCrashes && e.generation == 0 {
		return 0
	}
	return e.version
}

// Since implements exchange.Log. It leaves out requests with fewer than minCrashes crashes, unless they were cleared
// before.
func (c changeLog) Since(after uint64) ([]Record, uint64) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, version := exchange.Changed(t.entries, c.versionOf, after, t.version, maxMessageRecords)
	now := t.opts.Clock.Now()
	records := make([]Record, len(changed))
	for i, k := range changed {
		records[i] = t.entries[k].record(k, now)
	}
	return records, version
}
