package table

import (
	"sync"
	"sync/atomic"
)

// A Replica is a process's copy of the table. Its version only increases. It is safe for
// concurrent use, and its zero value holds the empty table.
type Replica struct {
	mu      sync.Mutex
	current atomic.Pointer[Table]
}

// Current returns the newest table that the replica has received.
func (r *Replica) Current() *Table {
	if t := r.current.Load(); t != nil {
		return t
	}
	return &Table{}
}

// Offer replaces the current table with t if t is newer, and reports whether it did.
func (r *Replica) Offer(t *Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Version() <= r.Current().Version() {
		return false
	}
	r.current.Store(t)
	return true
}

// Merge applies a delta if it is newer than the current table, and reports whether it did.
//
// The delta must have been created for the replica's version or a lower one.
func (r *Replica) Merge(d *Delta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.Current()
	next := old.Merge(d)
	if next == old {
		return false
	}
	r.current.Store(next)
	return true
}
