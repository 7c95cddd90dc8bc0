package table

import (
	"maps"
	"slices"
	"sync"
)

// maxRemovals bounds the removals that a table remembers for deltas: twice the rows of the
// size that we build for (docs/CAPACITY.md).
const maxRemovals = 1024

// A Removal records that a row was removed in a version.
type Removal struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// A Table is one version of the operators' table.
//
// It is immutable; its zero value is the empty table of version 0.
type Table struct {
	version uint64
	// removals are all since the version floor.
	floor    uint64
	rows     map[string]Row
	removals []Removal
	// sorted holds the rows in the order of their names, once sort has run.
	sort   sync.Once
	sorted []Row
}

// Version returns the table's version.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Row returns the row of a name.
func (t *Table) Row(name string) (Row, bool) {
	r, ok := t.rows[name]
	return r, ok
}

// Rows returns all rows in the order of their names.
func (t *Table) Rows() []Row {
	t.sort.Do(func() { t.sorted = slices.SortedFunc(maps.Values(t.rows), compareNames) })
	return slices.Clone(t.sorted)
}

// A Change sets or removes one row.
type Change struct {
	Name string `json:"name"`
	// Seen is the row's version that the operator saw; 0 expects no row.
	Seen uint64 `json:"seen"`
	// Row is the new row; nil removes it.
	Row *Row `json:"row,omitempty"`
}

// An Edit is a set of changes that are saved together or not at all.
type Edit struct {
	// ID names the edit, so that a save whose answer was lost is known from one that did
	// not happen.
	ID     string `json:"id"`
	Author string `json:"author,omitempty"`
	// Time is when the operator saved it, in Unix seconds.
	Time int64 `json:"time,omitempty"`
	// Version is the table's version with the edit; it is set by Save.
	Version uint64   `json:"version,omitempty"`
	Changes []Change `json:"changes"`
}

// Apply returns the table with the edit's changes at the given version.
//
// Rows that an edit sets as they already are keep their version.
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
		if old, ok := next.rows[c.Name]; ok && old.sameSettings(*c.Row) {
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

// A Delta carries the rows that changed between two versions.
type Delta struct {
	To uint64 `json:"to"`
	// Full says that Rows is the whole table, not a difference.
	Full    bool      `json:"full,omitempty"`
	Floor   uint64    `json:"floor,omitempty"`
	Rows    []Row     `json:"rows,omitempty"`
	Removed []Removal `json:"removed,omitempty"`
}

// Since returns what a process with the version needs to reach this table, or nil if it
// needs nothing.
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

// Merge returns the table after the delta; a delta that is not newer changes nothing.
//
// The delta must have been made by Since for the version of t or a lower one.
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
