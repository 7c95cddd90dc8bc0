package kv

import (
	"sync"
	"time"

	"rockcleat/clock"
)

// RelayOptions configure a Relay.
type FanoutOptions struct {
	Clock clock.Service
	// Trust is how old a view may be that watches are answered from.
	MaxAge time.Duration
	// IsSource reports whether this process watches the service for others; it must
	// be safe for concurrent use.
	IsWatcher func() bool
	// Digest, if not nil, returns a digest of what matters to others of an entry:
	// changes that leave it as it was are not handed on.
	Digest func(prefix string, e Entry) uint64
	// Told, if not nil, is called when watches of a prefix begin to go to the service,
	// or begin to be answered from what was handed on.
	OnSwitch func(prefix string, direct bool)
}

// A Relay lets one process watch the service for many: it keeps the latest changes
// under each followed prefix, hands them on, and answers watches from those that it
// was handed. While what it was handed is too old, watches go to the service.
//
// It is safe for concurrent use.
type Fanout struct {
	opts FanoutOptions

	mu     sync.Mutex
	topics map[string]*changeLog
}

// A Batch is what one Relay hands to another of one prefix.
type Batch struct {
	// From and At bound the changes: Events are all after From up to At.
	From   Revision `json:"from"`
	To     Revision `json:"at"`
	Events []Event  `json:"events,omitempty"`
	// Left tells that changes which do not matter to others are left out.
	Filtered bool `json:"left,omitempty"`
	// Age is how long ago this was surely all there was, in milliseconds.
	AgeMs int64 `json:"age"`
}

// NewRelay returns a Relay that knows nothing.
func NewFanout(o FanoutOptions) *Fanout {
	return &Fanout{opts: o, topics: make(map[string]*changeLog)}
}

// Trust returns how old a view may be that watches are answered from.
func (r *Fanout) MaxAge() time.Duration { return r.opts.MaxAge }

// For returns the service as seen through the Relay. A steady prefix is one that
// only a source's own acts change, so that its watches need no short rounds.
func (r *Fanout) View(s PrefixStore, steady bool) PrefixStore {
	return &fanoutView{relay: r, store: s, steady: steady}
}

// Seen returns up to which revision each prefix is known.
func (r *Fanout) Revisions() map[string]Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]Revision, len(r.topics))
	for prefix, t := range r.topics {
		seen[prefix] = t.to
	}
	return seen
}

// Since returns what has come after the revisions that another process has seen;
// prefixes whose changes since then are not all known are left out.
func (r *Fanout) Since(seen map[string]Revision) map[string]Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	out := make(map[string]Batch, len(seen))
	for prefix, after := range seen {
		t := r.topics[prefix]
		if t == nil || after < t.floor {
			continue
		}
		out[prefix] = Batch{
			From: after, To: max(t.to, after), Events: t.after(after), Filtered: t.filtered,
			AgeMs: int64(now.Sub(t.currentAt) / time.Millisecond),
		}
	}
	return out
}

// Take takes in what another process handed on; sent is when it was asked.
func (r *Fanout) Apply(batches map[string]Batch, sent time.Time) {
	for prefix, b := range batches {
		asOf := sent.Add(-time.Duration(b.AgeMs) * time.Millisecond)
		if r.appendBatch(prefix, b, asOf) {
			r.markFresh(prefix, asOf)
		}
	}
}

// Affirm tells that nothing under a prefix has changed up to now.
func (r *Fanout) MarkCurrent(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.topics[prefix]; t != nil {
		t.currentAt = r.opts.Clock.Now()
	}
}

// Wake makes watches look anew at who is the source.
func (r *Fanout) Recheck() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.topics {
		t.notify()
	}
}

// Doubt makes watches go to the service until a newer view is handed on.
func (r *Fanout) Invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.topics {
		t.receivedAt = time.Time{}
		t.notify()
	}
}

// list takes in a whole list as of a time.
func (r *Fanout) reset(prefix string, entries []Entry, at Revision, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topics[prefix]
	if t == nil {
		t = &changeLog{changed: make(chan struct{})}
		r.topics[prefix] = t
	}
	if at >= t.to {
		t.floor, t.to, t.events, t.currentAt, t.filtered = at, at, nil, asOf, false
		t.digests = make(map[string]uint64)
		for _, e := range entries {
			r.differs(prefix, t, Event{Entry: e})
		}
		t.notify()
	}
}

// trust counts what is known of a prefix as handed on as of a time.
func (r *Fanout) markFresh(prefix string, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.topics[prefix]; asOf.After(t.receivedAt) {
		t.receivedAt = asOf
		t.notify()
	}
}

// take takes in changes of one prefix as of a time and reports whether they are not
// older than what is known.
func (r *Fanout) appendBatch(prefix string, b Batch, asOf time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topics[prefix]
	if t == nil || b.To < t.to {
		return false
	}
	if b.From > t.to {
		t.floor, t.events = b.From, nil
	}
	t.filtered = t.filtered || b.Filtered
	for _, e := range b.Events {
		if e.Entry.Revision <= t.to {
			continue
		}
		if !r.differs(prefix, t, e) {
			t.filtered = true
			continue
		}
		t.events = append(t.events, e)
	}
	t.to = b.To
	t.trim()
	if asOf.After(t.currentAt) {
		t.currentAt = asOf
	}
	t.notify()
	return true
}

// differs keeps an entry's digest and reports whether the change matters to others.
func (r *Fanout) differs(prefix string, t *changeLog, e Event) bool {
	if r.opts.Digest == nil {
		return true
	}
	before, known := t.digests[e.Entry.Key]
	if e.Deleted {
		delete(t.digests, e.Entry.Key)
		return true
	}
	now := r.opts.Digest(prefix, e.Entry)
	t.digests[e.Entry.Key] = now
	return !known || before != now
}
