package table

import (
	"maps"
	"slices"
	"sync"
)

// maxRemovals is the maximum number of removals that a table retains for deltas: twice the
// number of rows that the system is designed for (docs/CAPACITY.md).
const maxRemovals = 1024

// A Removal is the tombstone of a removed row.
type Removal struct {
	Name string `json:"name"`
	// Version is the table version that removed the row.
	Version uint64 `json:"version"`
}

// A Table is one version of the configuration table. It is immutable and safe for
// concurrent use. Its zero value is the empty table of version 0.
type Table struct {
	version uint64
	// floor is the version after which removals is complete.
	floor    uint64
	rows     map[string]Row
	removals []Removal
	// sorted holds the rows ordered by name. It is valid after sort has run.
	sort   sync.Once
	sorted []Row
}

// Version returns the table's version, 0 for the empty table.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Row returns the row with the given name.
func (t *Table) Row(name string) (Row, bool) {
	r, ok := t.rows[name]
	return r, ok
}

// Rows returns a copy of all rows, ordered by name.
func (t *Table) Rows() []Row {
	t.sort.Do(func() { t.sorted = slices.SortedFunc(maps.Values(t.rows), compareNames) })
	return slices.Clone(t.sorted)
}

// A Change sets or removes one row.
type Change struct {
	Name string `json:"name"`
	// Seen is the row version that the change expects, 0 if the row must not exist.
	Seen uint64 `json:"seen"`
	// Row is the new row, nil to remove the row.
	Row *Row `json:"row,omitempty"`
}

// An Edit is a set of changes that is saved atomically.
type Edit struct {
	// ID identifies the edit. It makes Save idempotent when the response of an earlier
	// attempt was lost.
	ID     string `json:"id"`
	Author string `json:"author,omitempty"`
	// Time is when the operator saved the edit, in Unix seconds.
	Time int64 `json:"time,omitempty"`
	// Version is the table version that includes the edit. It is set by Log.Save.
	Version uint64   `json:"version,omitempty"`
	Changes []Change `json:"changes"`
}

// Apply returns a copy of the table with the edit's changes and the given version. A row
// that the edit sets to its present settings keeps its version.
func (t *Table) Apply(e Edit, version uint64) *Table {
	next := &Table{
		version:  version,
		floor:    t.floor,
		rows:     maps.Clone(t.rows),
		removals: slices.Clone(t.removals),
	}
	if next.rows == nil {
		next.rows = make(map[string]Row)
	}
	for _, c := range e.Changes {
		if c.Row == nil {
			next.remove(c.Name, version)
			continue
		}
		if old, ok := next.rows[c.Name]; ok && old.equalExceptVersion(*c.Row) {
			continue
		}
		row := *c.Row
		row.Version = version
		next.rows[c.Name] = row
	}
	return next
}

func (t *Table) remove(name string, version uint64) {
	if _, ok := t.rows[name]; !ok {
		return
	}
	delete(t.rows, name)
	t.removals = append(t.removals, Removal{Name: name, Version: version})
	if extra := len(t.removals) - maxRemovals; extra > 0 {
		t.floor = t.removals[extra-1].Version
		t.removals = slices.Clone(t.removals[extra:])
	}
}

// A Delta holds the rows that changed between two versions.
type Delta struct {
	// To is the table version that the delta leads to.
	To uint64 `json:"to"`
	// Full reports whether Rows is the complete table rather than a difference.
	Full bool `json:"full,omitempty"`
	// Floor is the version after which the sender's list of removals is complete.
	Floor   uint64    `json:"floor,omitempty"`
	Rows    []Row     `json:"rows,omitempty"`
	Removed []Removal `json:"removed,omitempty"`
}

// Since returns the delta from the given version to this table, or nil if the version is
// not older than the table's.
func (t *Table) Since(version uint64) *Delta {
	if version >= t.version {
		return nil
	}
	d := &Delta{To: t.version, Full: version == 0 || version < t.floor, Floor: t.floor}
	for _, r := range t.Rows() {
		if d.Full || r.Version > version {
			d.Rows = append(d.Rows, r)
		}
	}
	for _, r := range t.removals {
		if d.Full || r.Version > version {
			d.Removed = append(d.Removed, r)
		}
	}
	return d
}

// Merge returns the table with the delta applied, or t itself if the delta is nil or not
// newer than t.
//
// The delta must have been created by Since for the version of t or a lower one.
func (t *Table) Merge(d *Delta) *Table {
	if d == nil || d.To <= t.version {
		return t
	}
	next := &Table{version: d.To, floor: d.Floor, rows: make(map[string]Row)}
	if !d.Full {
		maps.Copy(next.rows, t.rows)
		next.removals = slices.Clone(t.removals)
	}
	for _, r := range d.Removed {
		if r.Version > t.version || d.Full {
			delete(next.rows, r.Name)
			next.removals = append(next.removals, r)
		}
	}
	for _, r := range d.Rows {
		next.rows[r.Name] = r
	}
	return next
}
