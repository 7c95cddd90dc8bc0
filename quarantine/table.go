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
	// Ends is the number of servers after whose ends a request is in quarantine.
	Ends int
	// Hold is how long a first quarantine lasts.
	Hold time.Duration
	// OnChange, if not nil, is called for each quarantine that begins or ends.
	OnChange func(Change)
}

// A State is what has become of a request's quarantine.
type State string

// The states.
const (
	// Began says that the request is in quarantine from now on.
	Began State = "began"
	// Voided says that a run that went well, or an operator, has ended the quarantine.
	Voided State = "voided"
	// Over says that the quarantine's time is over.
	Over State = "over"
)

// A Change is the begin or the end of a quarantine.
type Change struct {
	Key   Key
	State State
	// Servers are those that ended under copies of the request.
	Servers []string
	// Until is when the quarantine ends.
	Until time.Time
}

// A Table holds the requests under which servers have ended. It is safe for concurrent use.
type Table struct {
	opts  Options
	epoch uint32

	mu      sync.Mutex
	version uint64
	entries map[Key]*entry
	// held are the requests whose quarantine has begun, as far as OnChange was called.
	held map[Key]struct{}
	// touched are the requests that the running change concerns.
	touched []Key
	// watchers are those of each request.
	watchers map[Key]map[*watcher]struct{}
}

// A watcher waits for a request to come into quarantine.
type watcher struct{ f func() }

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{
		opts: o, epoch: rand.Uint32() | 1, entries: make(map[Key]*entry), held: make(map[Key]struct{}),
		watchers: make(map[Key]map[*watcher]struct{}),
	}
}

// Ended notes that a run of a server ended under requests.
func (t *Table) Ended(server string, keys ...Key) {
	t.change(func(now time.Time) {
		for _, k := range keys {
			e := t.entry(k)
			if e.add(server, now) {
				t.touch(k, e)
			}
		}
	})
}

// Void makes the ends under a request count no more, for a run of it went well or an operator says so,
// and reports whether there were any.
func (t *Table) Void(k Key) (known bool) {
	t.change(func(now time.Time) {
		e := t.entries[k]
		if known = e != nil && len(e.servers) > 0; known {
			e.void(now)
			t.touch(k, e)
		}
	})
	return known
}

// Merge takes in records of another process or of an earlier life, and returns the table's version
// before and after it.
func (t *Table) Merge(records []Record) (before, after uint64) {
	t.change(func(now time.Time) {
		before = t.version
		for _, r := range records {
			at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
			if now.Sub(at) > memory(t.opts.Hold, len(r.Servers), t.opts.Ends) {
				continue
			}
			if e := t.entry(r.Key); e.merge(r, at) {
				t.touch(r.Key, e)
			}
		}
		after = t.version
	})
	return before, after
}

// Until returns until when a request is in quarantine, and whether it is.
func (t *Table) Until(k Key) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until(k, t.opts.Clock.Now())
}

// Ends returns how many servers have ended under copies of a request.
func (t *Table) Ends(k Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[k]; e != nil {
		return len(e.servers)
	}
	return 0
}

// Watch calls f once when a request comes into quarantine, unless stop is called before.
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

// Expire forgets what is too old and ends quarantines whose time is over.
func (t *Table) Expire() { t.change(t.expire) }

// Len returns the number of requests in quarantine and of those that are suspected.
func (t *Table) Len() (held, suspected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held), len(t.entries) - len(t.held)
}

// Held returns the requests in quarantine.
func (t *Table) Held() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	var list []Record
	for k := range t.held {
		if e := t.entries[k]; e != nil {
			list = append(list, e.record(k, now))
		}
	}
	return list
}

// An Item is one request of a Table, for operators.
type Item struct {
	Record
	// HeldMs is how much longer it is in quarantine, in milliseconds; 0 if it is not.
	HeldMs int64 `json:"held_ms"`
}

// List returns the requests under which servers have ended, those with the most ends first.
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
			item.HeldMs = until.Sub(now).Milliseconds()
		}
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b Item) int {
		return cmp.Or(cmp.Compare(len(b.Servers), len(a.Servers)), cmp.Compare(a.AgeMs, b.AgeMs), slices.Compare(a.Key[:], b.Key[:]))
	})
	return list
}

// change changes the table and then tells of the quarantines that began or ended with it.
func (t *Table) change(f func(now time.Time)) {
	t.mu.Lock()
	now := t.opts.Clock.Now()
	t.touched = t.touched[:0]
	f(now)
	t.limit()
	changes := t.transitions(now)
	var woken []*watcher
	for _, c := range changes {
		if c.State == Began {
			woken = append(woken, slices.Collect(maps.Keys(t.watchers[c.Key]))...)
			delete(t.watchers, c.Key)
		}
	}
	t.mu.Unlock()
	for _, w := range woken {
		w.f()
	}
	if t.opts.OnChange == nil {
		return
	}
	for _, c := range changes {
		t.opts.OnChange(c)
	}
}

// entry returns the entry of a request, a new one if there is none. The table is locked, here and in
// all that follows.
func (t *Table) entry(k Key) *entry {
	e := t.entries[k]
	if e == nil {
		e = &entry{}
		t.entries[k] = e
	}
	return e
}

// touch notes that the entry of a request has changed.
func (t *Table) touch(k Key, e *entry) {
	t.version++
	e.version = t.version
	t.touched = append(t.touched, k)
}

// until returns when the quarantine of a request ends, and whether that is still to come.
func (t *Table) until(k Key, now time.Time) (time.Time, bool) {
	e := t.entries[k]
	if e == nil || len(e.servers) < t.opts.Ends {
		return time.Time{}, false
	}
	end := e.at.Add(holdTime(t.opts.Hold, len(e.servers), t.opts.Ends))
	return end, now.Before(end)
}

// transitions notes which quarantines have begun or ended, and returns them.
func (t *Table) transitions(now time.Time) []Change {
	var list []Change
	for _, k := range t.touched {
		until, held := t.until(k, now)
		if _, known := t.held[k]; held && !known {
			list = append(list, Change{Key: k, State: Began, Servers: slices.Clone(t.entries[k].servers), Until: until})
			t.held[k] = struct{}{}
		}
	}
	for k := range t.held {
		if _, held := t.until(k, now); held {
			continue
		}
		delete(t.held, k)
		c := Change{Key: k, State: Voided}
		if e := t.entries[k]; e == nil || len(e.servers) > 0 {
			c.State = Over
		}
		list = append(list, c)
	}
	return list
}

// expire forgets what is too old.
func (t *Table) expire(now time.Time) {
	for k, e := range t.entries {
		if now.Sub(e.at) > memory(t.opts.Hold, len(e.servers), t.opts.Ends) {
			delete(t.entries, k)
		}
	}
}

// limit forgets the requests with the fewest and oldest ends if there are too many.
func (t *Table) limit() {
	if len(t.entries) <= maxRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.entries), func(a, b Key) int {
		x, y := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(len(x.servers), len(y.servers)), x.at.Compare(y.at))
	})
	for _, k := range keys[:len(keys)-keptRecords] {
		delete(t.entries, k)
	}
}
