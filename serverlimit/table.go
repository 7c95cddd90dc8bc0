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
	// limitTTL is how long a limit applies after the last response that announces it. A server with a limit still
	// receives requests at probeRate, so if there are no responses for that long, there is no demand for it.
	limitTTL = 30 * time.Second
	// refreshInterval is the time after which an unchanged limit that a server announces again is sent to peers
	// again. It is well below limitTTL, so that the limit does not expire at peers, and long enough to
	// bound the number of messages when many servers have a limit.
	refreshInterval = 5 * time.Second
)

// Options configure a Table.
type Options struct {
	Clock clock.Service
	// OnChange, if not nil, is called for each limit that begins, changes or ends in this Table, without a lock
	// held.
	OnChange func(Change)
}

// A ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	// Began means that the server has announced a limit and had none.
	Began ChangeKind = "began"
	// Changed means that the server has announced a different limit.
	Changed ChangeKind = "changed"
	// Ended means that the server has sent a response without a limit.
	Ended ChangeKind = "ended"
	// Expired means that the limit has expired, since no response has announced it for limitTTL.
	Expired ChangeKind = "unheard"
)

// An Origin is the source of an update.
type Origin string

// The origins.
const (
	// OriginLocal is this process: a response that it received, or the expiry of a limit.
	OriginLocal Origin = "own"
	// OriginPeer is another process.
	OriginPeer Origin = "told"
)

// A Change is the beginning, change or end of a server's limit.
type Change struct {
	// Server is the ID of the server instance.
	Server string
	Kind   ChangeKind
	Origin Origin
	// PerSecond is the new limit, or the last one if the limit has ended, in requests per second.
	PerSecond float64
	// Age is the time since the server's response.
	Age time.Duration
}

// A Status is the present limit of a server.
type Status struct {
	// Server is the ID of the server instance.
	Server string
	// PerSecond is the limit, in requests per second.
	PerSecond float64
	// LimitedFor is how long this Table has held a limit of the server without interruption, Age the time since a
	// response last announced it.
	LimitedFor, Age time.Duration
}

// A Table holds the limits of servers. It is safe for concurrent use.
type Table struct {
	opts Options
	// epoch identifies this Table to peers; it is never 0.
	epoch uint32
	// limitCount is the number of servers with a limit.
	limitCount atomic.Int64

	mu sync.Mutex
	// version is the number of updates.
	version uint64
	entries map[string]*entry
	// changes are passed to OnChange after the Table is unlocked.
	changes []Change
}

// An entry is the latest update for one server instance.
type entry struct {
	update
	// version is the version of the Table after the update.
	version uint64
	// receivedAt is the time when the update was stored or when a response to this process last repeated it. The
	// response to a request that is sent later is newer than the update.
	receivedAt time.Time
	// reportedAt is the time of the latest known response with this content, updatedAt the time of the update.
	reportedAt, updatedAt time.Time
	// limitedSince is the time since which the server has had a limit.
	limitedSince time.Time
}

// status returns the Status of an entry with a limit.
func (e *entry) status(server string, now time.Time) Status {
	return Status{Server: server, PerSecond: e.perSecond, LimitedFor: now.Sub(e.limitedSince), Age: now.Sub(e.reportedAt)}
}

// lastChange returns the version of the entry's last change.
func (e *entry) lastChange() uint64 { return e.version }

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{opts: o, epoch: rand.Uint32() | 1, entries: make(map[string]*entry)}
}

// Observe processes the parsed limit header of a response of a server. sent is the time when the request was sent.
func (t *Table) Observe(server string, r HeaderLimit, sent time.Time) {
	if r.Kind == Invalid || r.Kind == NoLimit && !t.Any() {
		// An invalid header is ignored. While no server has a limit, a response that announces none needs no lock.
		return
	}
	t.change(func(now time.Time) {
		e := t.entries[server]
		if r.Kind == NoLimit {
			t.observeNoLimit(server, e, sent, now)
			return
		}
		t.observeLimit(server, e, r.PerSecond, sent, now)
	})
}

// observeNoLimit removes a limit, unless the response may be older than the update that set it. t.mu must be held.
func (t *Table) observeNoLimit(server string, e *entry, sent, now time.Time) {
	if e == nil || !e.limited || sent.Before(e.receivedAt) {
		return
	}
	t.set(server, update{sequence: e.sequence + 1}, now, now, OriginLocal)
}

// observeLimit sets a limit, unless the response may be older than the update that removed or lowered it. t.mu must
// be held.
func (t *Table) observeLimit(server string, e *entry, perSecond float64, sent, now time.Time) {
	next := update{limited: true, perSecond: perSecond, sequence: 1}
	if e == nil {
		t.set(server, next, now, now, OriginLocal)
		return
	}
	next.sequence = e.sequence + 1
	mayBeOlder := sent.Before(e.receivedAt)
	switch {
	case !e.limited && mayBeOlder, e.limited && mayBeOlder && perSecond > e.perSecond:
		return
	case e.limited && perSecond == e.perSecond && now.Sub(e.updatedAt) < refreshInterval:
		e.receivedAt, e.reportedAt = now, now
		return
	}
	t.set(server, next, now, now, OriginLocal)
}

// Any reports whether any server has a limit. It takes no lock.
func (t *Table) Any() bool { return t.limitCount.Load() > 0 }

// Knows reports whether a limit of a server, or its removal, is known.
func (t *Table) Knows(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[server] != nil
}

// Limit returns the limit of a server, in requests per second; ok is false if it has none.
func (t *Table) Limit(server string) (perSecond float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil || !e.limited {
		return 0, false
	}
	return e.perSecond, true
}

// Status returns the Status of a server's limit; ok is false if it has none.
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

// List returns the Status of all limits, in no particular order.
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

// Expire ends the limits that no response has announced for limitTTL, and deletes the entries of removals that are
// older than that.
func (t *Table) Expire() {
	t.change(func(now time.Time) {
		maps.DeleteFunc(t.entries, func(_ string, e *entry) bool { return !e.limited && now.Sub(e.receivedAt) > limitTTL })
		for server, e := range t.entries {
			if e.limited && now.Sub(e.reportedAt) > limitTTL {
				t.addChange(Change{Server: server, Kind: Expired, Origin: OriginLocal, PerSecond: e.perSecond, Age: now.Sub(e.reportedAt)})
				t.store(server, e, update{sequence: e.sequence + 1}, now, now)
			}
		}
	})
}

// set stores an update for a server and adds the change of its limit, if any. reportedAt is the time of the server's
// response. t.mu must be held.
func (t *Table) set(server string, u update, reportedAt, now time.Time, origin Origin) {
	e := t.entries[server]
	if e == nil {
		e = &entry{}
		t.entries[server] = e
	}
	if kind, changed := e.transition(u); changed {
		rate := u.perSecond
		if kind == Ended {
			rate = e.perSecond
		}
		t.addChange(Change{Server: server, Kind: kind, Origin: origin, PerSecond: rate, Age: now.Sub(reportedAt)})
	}
	t.store(server, e, u, reportedAt, now)
}

// store stores an update for a server. t.mu must be held.
func (t *Table) store(server string, e *entry, u update, reportedAt, now time.Time) {
	switch {
	case u.limited && !e.limited:
		e.limitedSince = now
		t.limitCount.Add(1)
	case !u.limited && e.limited:
		t.limitCount.Add(-1)
	}
	t.version++
	e.update, e.version, e.receivedAt, e.reportedAt, e.updatedAt = u, t.version, now, reportedAt, now
}

// addChange keeps a change until the Table is unlocked. t.mu must be held.
func (t *Table) addChange(c Change) { t.changes = append(t.changes, c) }

// change calls f with the Table locked. Then, without the lock, it calls OnChange for the changes that f has added.
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
