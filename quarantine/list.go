package quarantine

import (
	"cmp"
	"slices"
)

// Counts returns the number of traits in quarantine and the number of the other traits in the table.
func (t *Table) Counts() (quarantined, suspected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantined), len(t.entries) - len(t.quarantined)
}

// Quarantined returns the records of the traits in quarantine, in no particular order.
func (t *Table) Quarantined() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	var list []Record
	for k := range t.quarantined {
		if e := t.entries[k]; e != nil {
			list = append(list, e.record(k, now))
		}
	}
	return list
}

// An Item describes one trait of a Table for operators.
type Item struct {
	Record
	// RemainingMs is the remaining time in quarantine, in milliseconds; 0 if the trait is not in quarantine.
	RemainingMs int64 `json:"held_ms"`
}

// List returns the traits with which servers have crashed, those with the most crashes first.
func (t *Table) List() []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	var list []Item
	for k, e := range t.entries {
		if len(e.servers) == 0 {
			continue
		}
		item := Item{Record: e.record(k, now)}
		if until, ok := t.until(k, now); ok {
			item.RemainingMs = until.Sub(now).Milliseconds()
		}
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b Item) int {
		return cmp.Or(cmp.Compare(len(b.Servers), len(a.Servers)), cmp.Compare(a.AgeMs, b.AgeMs), slices.Compare(a.Key[:], b.Key[:]))
	})
	return list
}
