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

// NewLink returns a Link of a table that has no peer yet. It sends the records of a scope.
func NewLink(t *Table, s Scope) *Link { return exchange.NewLink(changeLog{table: t, scope: s}) }

// Answer merges the records of a message and returns the records of a scope that are new for the peer. It returns nil
// if there are none.
func (t *Table) Answer(m Message, s Scope) *Reply {
	return exchange.HandleMessage(changeLog{table: t, scope: s}, m)
}

// changeLog is the exchange.Log of the records of a table in a scope.
type changeLog struct {
	table *Table
	scope Scope
}

// Epoch implements exchange.Log.
func (c changeLog) Epoch() uint32 { return c.table.epoch }

// Merge implements exchange.Log.
func (c changeLog) Merge(records []Record) (before, after uint64) { return c.table.Merge(records) }

// versionOf returns the version of an entry, or 0 if it is left out.
func (c changeLog) versionOf(e *entry) uint64 {
	if !c.scope.includes(e) {
		return 0
	}
	return e.version
}

// Since implements exchange.Log.
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
