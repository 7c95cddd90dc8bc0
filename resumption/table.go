package resumption

import (
	"sync"
	"time"

	"rockcleat/clock"
)

// Retention is the minimum time for which a record is kept. It exceeds the time for which callers repeat a request.
const Retention = time.Minute

// maxRecords is the number of records after which older ones are dropped early.
const maxRecords = 200_000

// An Origin tells which servers can continue a stream.
type Origin struct {
	// Service is the service at which the stream began.
	Service string `json:"s"`
	// Version is the software version of the server that sent the first event.
	Version string `json:"v"`
}

// A Record is the Origin of one stream as processes exchange it.
type Record struct {
	Key Key `json:"k"`
	Origin
}

// A Table holds the origins of streams. It is safe for concurrent use.
type Table struct {
	clock clock.Service

	mu sync.Mutex
	// recent holds the records added since rotatedAt, older those added in the period before.
	recent, older map[Key]entry
	rotatedAt     time.Time
}

// An entry is the origin of one stream with the time at which it was added.
type entry struct {
	origin  Origin
	addedAt time.Time
}

// New returns an empty Table.
func New(c clock.Service) *Table {
	return &Table{clock: c, recent: make(map[Key]entry), rotatedAt: c.Now()}
}

// Add adds a record, unless there is one for its key: the origin of a stream does not change.
func (t *Table) Add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.rotate(now)
	if _, known := t.lookup(r.Key); known {
		return
	}
	t.recent[r.Key] = entry{origin: r.Origin, addedAt: now}
}

// Lookup returns the origin of a stream and the time since its record was added.
func (t *Table) Lookup(k Key) (o Origin, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.rotate(now)
	e, ok := t.lookup(k)
	return e.origin, now.Sub(e.addedAt), ok
}

func (t *Table) lookup(k Key) (entry, bool) {
	if e, ok := t.recent[k]; ok {
		return e, true
	}
	e, ok := t.older[k]
	return e, ok
}

// rotate drops the records of the period before last at the end of a period. It also ends a period that has too many
// records. t.mu must be held.
func (t *Table) rotate(now time.Time) {
	elapsed := now.Sub(t.rotatedAt)
	if elapsed < Retention && len(t.recent) < maxRecords/2 {
		return
	}
	t.older, t.recent, t.rotatedAt = t.recent, make(map[Key]entry), now
	if elapsed >= 2*Retention {
		t.older = nil
	}
}
