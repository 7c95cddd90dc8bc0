package table

import (
	"sync"
	"sync/atomic"
)

// A Replica is a process's copy of the table; its version only grows.
//
// Its zero value holds the empty table. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	current atomic.Pointer[Table]
}

// Current returns the newest table known.
func (r *Replica) Current() *Table {
	if t := r.current.Load(); t != nil {
		return t
	}
	return &Table{}
}

// Offer takes the table over if it is newer and reports whether it was.
func (r *Replica) Offer(t *Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Version() <= r.Current().Version() {
		return false
	}
	r.current.Store(t)
	return true
}

// Merge takes a delta over if it is newer and reports whether it was.
//
// The delta must have been made for the replica's version or a lower one.
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
