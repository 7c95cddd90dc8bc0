package departure

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rockcleat/clock"
)

// retention is how long an announcement is kept after its server was last listed. The platform may list a server again
// that lapsed from the list while the platform was unavailable.
const retention = 2 * time.Minute

// An Origin is the source of an announcement.
type Origin string

// The origins.
const (
	// OriginLocal is a response that this process received.
	OriginLocal Origin = "own"
	// OriginPeer is another process.
	OriginPeer Origin = "told"
)

// An Announcement is the announcement of a server that it is leaving.
type Announcement struct {
	// Server is the ID of the server instance.
	Server string
	Origin Origin
	// Age is the time since the server's response.
	Age time.Duration
}

// Options configure a Table.
type Options struct {
	Clock clock.Service
	// OnAnnouncement, if not nil, is called for the first announcement of each server, without a lock held.
	OnAnnouncement func(Announcement)
}

// A Table holds the servers that have announced that they are leaving. It is safe for concurrent use.
type Table struct {
	opts Options
	// epoch identifies this Table to peers; it is never 0.
	epoch uint32
	// count is the number of entries.
	count atomic.Int64

	mu sync.Mutex
	// version is the number of announcements received.
	version uint64
	entries map[string]*entry
}

// An entry is the announcement of one server instance.
type entry struct {
	// version is the version of the Table after the announcement.
	version uint64
	// announcedAt is the time of the server's response, lastListed the last time at which the server was known to be
	// listed.
	announcedAt, lastListed time.Time
}

// lastChange returns the version of the entry's last change.
func (e *entry) lastChange() uint64 { return e.version }

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{opts: o, epoch: rand.Uint32() | 1, entries: make(map[string]*entry)}
}

// Observe records that a response of a server instance announced that it is leaving. It reports whether it is the first
// known announcement of that instance.
func (t *Table) Observe(server string) bool {
	t.mu.Lock()
	now := t.opts.Clock.Now()
	added := t.add(server, now, now)
	t.mu.Unlock()
	if added {
		t.notify(Announcement{Server: server, Origin: OriginLocal})
	}
	return added
}

// HasAnnounced reports whether a server instance has announced that it is leaving. While no server has, it takes no
// lock.
func (t *Table) HasAnnounced(server string) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[server] != nil
}

// Expire drops the announcements of servers that have not been listed for the retention time.
func (t *Table) Expire(isListed func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	for server, e := range t.entries {
		if isListed(server) {
			e.lastListed = now
		}
		if now.Sub(e.lastListed) > retention {
			delete(t.entries, server)
			t.count.Add(-1)
		}
	}
}

// add adds an entry if there is none, and reports whether it did. t.mu must be held.
func (t *Table) add(server string, announcedAt, now time.Time) bool {
	if t.entries[server] != nil {
		return false
	}
	t.version++
	t.entries[server] = &entry{version: t.version, announcedAt: announcedAt, lastListed: now}
	t.count.Add(1)
	return true
}

// notify calls OnAnnouncement. t.mu must not be held.
func (t *Table) notify(a Announcement) {
	if t.opts.OnAnnouncement != nil {
		t.opts.OnAnnouncement(a)
	}
}
