package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rockcleat/clock"
)

// Options configure a Table.
type Options struct {
	Clock clock.Service
	// CrashThreshold is the number of server instances that must crash with a request before it is quarantined.
	CrashThreshold int
	// Duration is the duration of the first quarantine of a request.
	Duration time.Duration
	// OnChange, if not nil, is called for each quarantine that begins or ends, without a lock held.
	OnChange func(Change)
}

// A ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	// Began says that a quarantine has begun.
	Began ChangeKind = "began"
	// Cleared says that a quarantine has ended because the request was cleared; see Table.Clear.
	Cleared ChangeKind = "voided"
	// Expired says that a quarantine has ended because its time has passed or its record was evicted from a full
	// Table.
	Expired ChangeKind = "over"
)

// A Change is the beginning or the end of a quarantine.
type Change struct {
	Key  Key
	Kind ChangeKind
	// Servers are the IDs of the server instances that have crashed with the request. It is set for Began only.
	Servers []string
	// Until is the time at which the quarantine ends. It is set for Began only.
	Until time.Time
}

// A Table holds the requests with which servers have crashed. It is safe for concurrent use.
type Table struct {
	opts Options
	// epoch identifies this Table to peers; it is never 0.
	epoch uint32

	mu sync.Mutex
	// version is the number of changes of entries.
	version uint64
	entries map[Key]*entry
	// quarantined are the requests in quarantine as of the last change.
	quarantined map[Key]struct{}
	// changed are the requests whose entries the current change has modified.
	changed []Key
	// watchers holds the watchers of each request.
	watchers map[Key]map[*watcher]struct{}
}

// A watcher holds a callback of Watch. Its address identifies it, since functions are not comparable.
type watcher struct{ f func() }

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{
		opts: o, epoch: rand.Uint32() | 1, entries: make(map[Key]*entry), quarantined: make(map[Key]struct{}),
		watchers: make(map[Key]map[*watcher]struct{}),
	}
}

// RecordCrash records that a server instance crashed while it ran requests.
func (t *Table) RecordCrash(server string, keys ...Key) {
	t.change(func(now time.Time) {
		for _, k := range keys {
			e := t.entry(k)
			if e.add(server, now) {
				t.markChanged(k, e)
			}
		}
	})
}

// Clear clears the crashes recorded for a request and reports whether there were any. It is called when the request
// has completed successfully or when an operator ends its quarantine.
func (t *Table) Clear(k Key) (known bool) {
	t.change(func(now time.Time) {
		e := t.entries[k]
		if known = e != nil && len(e.servers) > 0; known {
			e.clear(now)
			t.markChanged(k, e)
		}
	})
	return known
}

// Merge merges records of another process, or records that were stored before a restart. It returns the versions of
// the table before and after it. Records that are too old are ignored.
func (t *Table) Merge(records []Record) (before, after uint64) {
	t.change(func(now time.Time) {
		before = t.version
		for _, r := range records {
			at := now.Add(-r.age())
			if now.Sub(at) > retentionTime(t.opts.Duration, len(r.Servers), t.opts.CrashThreshold) {
				continue
			}
			if e := t.entry(r.Key); e.merge(r, at) {
				t.markChanged(r.Key, e)
			}
		}
		after = t.version
	})
	return before, after
}

// Until returns the time at which the quarantine of a request ends, and whether the request is in quarantine.
func (t *Table) Until(k Key) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until(k, t.opts.Clock.Now())
}

// Crashes returns the number of server instances that have crashed with a request.
func (t *Table) Crashes(k Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[k]; e != nil {
		return len(e.servers)
	}
	return 0
}

// Watch calls f once when a quarantine of a request begins, unless stop is called before. f is called without a
// lock held.
func (t *Table) Watch(k Key, f func()) (stop func()) {
	w := &watcher{f: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.watchers[k] == nil {
		t.watchers[k] = make(map[*watcher]struct{})
	}
	t.watchers[k][w] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.watchers[k], w)
		if len(t.watchers[k]) == 0 {
			delete(t.watchers, k)
		}
	}
}

// Expire removes records that are too old and ends quarantines whose time has passed.
func (t *Table) Expire() { t.change(t.expire) }

// Counts returns the number of requests in quarantine and the number of the other requests in the table.
func (t *Table) Counts() (quarantined, suspected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantined), len(t.entries) - len(t.quarantined)
}

// Quarantined returns the records of the requests in quarantine, in no particular order.
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

// An Item describes one request of a Table for operators.
type Item struct {
	Record
	// RemainingMs is the remaining time in quarantine, in milliseconds; 0 if the request is not in quarantine.
	RemainingMs int64 `json:"held_ms"`
}

// List returns the requests with which servers have crashed, those with the most crashes first.
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

// change calls f with the table locked. Then, without the lock, it calls the watchers and OnChange for the
// quarantines that have begun or ended.
func (t *Table) change(f func(now time.Time)) {
	t.mu.Lock()
	now := t.opts.Clock.Now()
	t.changed = t.changed[:0]
	f(now)
	t.evictExcess()
	changes := t.transitions(now)
	var watchers []*watcher
	for _, c := range changes {
		if c.Kind == Began {
			watchers = append(watchers, slices.Collect(maps.Keys(t.watchers[c.Key]))...)
			delete(t.watchers, c.Key)
		}
	}
	t.mu.Unlock()
	for _, w := range watchers {
		w.f()
	}
	if t.opts.OnChange == nil {
		return
	}
	for _, c := range changes {
		t.opts.OnChange(c)
	}
}

// entry returns the entry of a request and creates it if there is none. t.mu must be held.
func (t *Table) entry(k Key) *entry {
	e := t.entries[k]
	if e == nil {
		e = &entry{}
		t.entries[k] = e
	}
	return e
}

// markChanged marks the entry of a request as changed. t.mu must be held.
func (t *Table) markChanged(k Key, e *entry) {
	t.version++
	e.version = t.version
	t.changed = append(t.changed, k)
}

// until returns the time at which the quarantine of a request ends, and whether that is after now. t.mu must be
// held.
func (t *Table) until(k Key, now time.Time) (time.Time, bool) {
	e := t.entries[k]
	if e == nil || len(e.servers) < t.opts.CrashThreshold {
		return time.Time{}, false
	}
	end := e.lastEvent.Add(quarantineTime(t.opts.Duration, len(e.servers), t.opts.CrashThreshold))
	return end, now.Before(end)
}

// transitions updates t.quarantined and returns the quarantines that have begun or ended. t.mu must be held.
func (t *Table) transitions(now time.Time) []Change {
	var list []Change
	for _, k := range t.changed {
		until, quarantined := t.until(k, now)
		if _, known := t.quarantined[k]; quarantined && !known {
			list = append(list, Change{Key: k, Kind: Began, Servers: slices.Clone(t.entries[k].servers), Until: until})
			t.quarantined[k] = struct{}{}
		}
	}
	for k := range t.quarantined {
		if _, quarantined := t.until(k, now); quarantined {
			continue
		}
		delete(t.quarantined, k)
		c := Change{Key: k, Kind: Cleared}
		if e := t.entries[k]; e == nil || len(e.servers) > 0 {
			c.Kind = Expired
		}
		list = append(list, c)
	}
	return list
}

// expire removes the entries that are too old. t.mu must be held.
func (t *Table) expire(now time.Time) {
	for k, e := range t.entries {
		if now.Sub(e.lastEvent) > retentionTime(t.opts.Duration, len(e.servers), t.opts.CrashThreshold) {
			delete(t.entries, k)
		}
	}
}

// evictExcess reduces a table with more than maxRecords entries to recordsAfterEviction. Entries with the fewest
// crashes, and among these the oldest, are removed first. t.mu must be held.
func (t *Table) evictExcess() {
	if len(t.entries) <= maxRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.entries), func(a, b Key) int {
		x, y := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(len(x.servers), len(y.servers)), x.lastEvent.Compare(y.lastEvent))
	})
	for _, k := range keys[:len(keys)-recordsAfterEviction] {
		delete(t.entries, k)
	}
}
