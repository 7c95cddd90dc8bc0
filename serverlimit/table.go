package serverlimit

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rockcleat/clock"
)

const (
	// holdTime is how long a limit stands of which nothing is heard any more. While it stands the server
	// gets requests, if few, so that there are answers: none for that long says that nobody asks for it.
	holdTime = 30 * time.Second
	// refreshTime is after which time a limit that a server names again goes to other processes again:
	// several times in holdTime, and seldom enough for a fleet whose servers are all in need.
	refreshTime = 5 * time.Second
)

// Options configure a Table.
type Options struct {
	Clock clock.Service
	// OnChange, if not nil, is called for each limit that begins, changes or ends here.
	OnChange func(Change)
}

// A State is what has become of a server's limit.
type State string

// The states.
const (
	// Began says that the server has named a limit and had none.
	Began State = "began"
	// Changed says that it has named another limit than before.
	Changed State = "changed"
	// Ended says that it has answered without a limit.
	Ended State = "ended"
	// Unheard says that nothing has been heard of the limit for long.
	Unheard State = "unheard"
)

// An Origin says where a word comes from.
type Origin string

// The origins.
const (
	// Own is an answer of the server to this process.
	Own Origin = "own"
	// Told is the word of another process.
	Told Origin = "told"
)

// A Change is the begin, change or end of a server's limit.
type Change struct {
	// Server names the run of the server.
	Server string
	State  State
	Origin Origin
	// PerSecond is the limit as of now, or as it was if it has ended.
	PerSecond float64
	// Age is the time since the server's answer.
	Age time.Duration
}

// A Status is a limit as it stands.
type Status struct {
	Server    string
	PerSecond float64
	// Since is how long the limit has stood here, Age the time since an answer named it.
	Since, Age time.Duration
}

// A Table holds the limits that servers name. It is safe for concurrent use.
type Table struct {
	opts  Options
	epoch uint32
	// limits is the number of limits that stand.
	limits atomic.Int64

	mu      sync.Mutex
	version uint64
	entries map[string]*entry
	// changes are to be passed on when the Table is unlocked.
	changes []Change
}

// An entry is the newest word on one run of a server.
type entry struct {
	word
	// version is that of the Table when the word came.
	version uint64
	// heardAt is when this process heard the word last, from the server or another process. What was sent
	// after that is answered with a newer word.
	heardAt time.Time
	// namedAt is when the server answered so last, as far as known; toldAt when the word got its number.
	namedAt, toldAt time.Time
	// beganAt is since when a limit has stood.
	beganAt time.Time
}

// status returns the entry of a limit as it stands.
func (e *entry) status(server string, now time.Time) Status {
	return Status{Server: server, PerSecond: e.perSecond, Since: now.Sub(e.beganAt), Age: now.Sub(e.namedAt)}
}

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{opts: o, epoch: rand.Uint32() | 1, entries: make(map[string]*entry)}
}

// Observe takes in what an answer of a server says; sent is when its request was sent.
func (t *Table) Observe(server string, r Reading, sent time.Time) {
	if r.Kind == Unreadable || r.Kind == None && !t.Any() {
		// Most answers name no limit while none stands.
		return
	}
	t.change(func(now time.Time) {
		e := t.entries[server]
		if r.Kind == None {
			t.observeNone(server, e, sent, now)
			return
		}
		t.observeNamed(server, e, r.PerSecond, sent, now)
	})
}

// observeNone ends a limit, unless the answer may be older than the word that named it.
func (t *Table) observeNone(server string, e *entry, sent, now time.Time) {
	if e == nil || !e.limited || sent.Before(e.heardAt) {
		return
	}
	t.set(server, word{sequence: e.sequence + 1}, now, now, Own)
}

// observeNamed takes in a limit, unless the answer may be older than the word that ended or lowered it.
func (t *Table) observeNamed(server string, e *entry, perSecond float64, sent, now time.Time) {
	named := word{limited: true, perSecond: perSecond, sequence: 1}
	if e == nil {
		t.set(server, named, now, now, Own)
		return
	}
	named.sequence = e.sequence + 1
	mayBeOlder := sent.Before(e.heardAt)
	switch {
	case !e.limited && mayBeOlder, e.limited && mayBeOlder && perSecond > e.perSecond:
		return
	case e.limited && perSecond == e.perSecond && now.Sub(e.toldAt) < refreshTime:
		e.heardAt, e.namedAt = now, now
		return
	}
	t.set(server, named, now, now, Own)
}

// Any reports whether any limit stands.
func (t *Table) Any() bool { return t.limits.Load() > 0 }

// Knows reports whether anything is known of a server's limit.
func (t *Table) Knows(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[server] != nil
}

// Limit returns the rate that a server named; ok is false if it has no limit.
func (t *Table) Limit(server string) (perSecond float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil || !e.limited {
		return 0, false
	}
	return e.perSecond, true
}

// Status returns a server's limit as it stands; ok is false if it has none.
func (t *Table) Status(server string) (s Status, ok bool) {
	if !t.Any() {
		return Status{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil || !e.limited {
		return Status{}, false
	}
	return e.status(server, t.opts.Clock.Now()), true
}

// List returns the limits as they stand, in no order.
func (t *Table) List() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	var list []Status
	for server, e := range t.entries {
		if e.limited {
			list = append(list, e.status(server, now))
		}
	}
	return list
}

// Expire ends limits of which nothing has been heard for holdTime, and forgets ends as old.
func (t *Table) Expire() {
	t.change(func(now time.Time) {
		maps.DeleteFunc(t.entries, func(_ string, e *entry) bool { return !e.limited && now.Sub(e.heardAt) > holdTime })
		for server, e := range t.entries {
			if e.limited && now.Sub(e.namedAt) > holdTime {
				t.note(Change{Server: server, State: Unheard, Origin: Own, PerSecond: e.perSecond, Age: now.Sub(e.namedAt)})
				t.store(server, e, word{sequence: e.sequence + 1}, now, now)
			}
		}
	})
}

// set replaces the word on a server, which was answered at a time. The Table is locked.
func (t *Table) set(server string, w word, namedAt, now time.Time, origin Origin) {
	e := t.entries[server]
	if e == nil {
		e = &entry{}
		t.entries[server] = e
	}
	if state, changed := e.stateAfter(w); changed {
		rate := w.perSecond
		if state == Ended {
			rate = e.perSecond
		}
		t.note(Change{Server: server, State: state, Origin: origin, PerSecond: rate, Age: now.Sub(namedAt)})
	}
	t.store(server, e, w, namedAt, now)
}

// store stores a word. The Table is locked.
func (t *Table) store(server string, e *entry, w word, namedAt, now time.Time) {
	switch {
	case w.limited && !e.limited:
		e.beganAt = now
		t.limits.Add(1)
	case !w.limited && e.limited:
		t.limits.Add(-1)
	}
	t.version++
	e.word, e.version, e.heardAt, e.namedAt, e.toldAt = w, t.version, now, namedAt, now
}

// note keeps a change until the Table is unlocked.
func (t *Table) note(c Change) { t.changes = append(t.changes, c) }

// change runs f with the Table locked, and then passes on what has changed.
func (t *Table) change(f func(now time.Time)) {
	t.mu.Lock()
	f(t.opts.Clock.Now())
	changes := t.changes
	t.changes = nil
	t.mu.Unlock()
	if t.opts.OnChange == nil {
		return
	}
	for _, c := range changes {
		t.opts.OnChange(c)
	}
}
