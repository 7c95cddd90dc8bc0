package quarantine

import "rockcleat/exchange"

// A Message tells a peer what has changed here and asks for what has changed there.
type Message = exchange.Message[Record]

// A Reply is the answer to a Message.
type Reply = exchange.Reply[Record]

// A Cursor is a place in the changes of one process's table.
type Cursor = exchange.Cursor

// A Link is one process's side of the exchange with one peer at a time.
type Link = exchange.Link[Record]

// NewLink returns a Link of a table with no peer, which tells of requests with a number of ends or more.
func NewLink(t *Table, ends int) *Link { return exchange.NewLink(changes{table: t, ends: ends}) }

// Answer takes in what a peer tells and returns what is new for it of the requests with a number of ends or
// more; nil if nothing is.
func (t *Table) Answer(m Message, ends int) *Reply {
	return exchange.Answer(changes{table: t, ends: ends}, m)
}

// changes are those of a table that concern requests with a number of ends or more; it is an exchange.Log.
type changes struct {
	table *Table
	ends  int
}

// Epoch implements exchange.Log.
func (c changes) Epoch() uint32 { return c.table.epoch }

// Merge implements exchange.Log.
func (c changes) Merge(records []Record) (before, after uint64) { return c.table.Merge(records) }

// Since implements exchange.Log: it leaves out the requests with fewer ends, unless they were voided.
func (c changes) Since(after uint64) ([]Record, uint64) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if after == t.version {
		return nil, t.version
	}
	var changed []Key
	for k, e := range t.entries {
		if e.version > after && (len(e.servers) >= c.ends || e.round > 0) {
			changed = append(changed, k)
		}
	}
	changed, version := exchange.Oldest(changed, func(k Key) uint64 { return t.entries[k].version }, maxMessageRecords, t.version)
	now := t.opts.Clock.Now()
	records := make([]Record, len(changed))
	for i, k := range changed {
		records[i] = t.entries[k].record(k, now)
	}
	return records, version
}
