package kv

import (
	"sync"
	"time"

	"rockcleat/clock"
)

// RelayOptions configure a Relay.
type RelayOptions struct {
	Clock clock.Service
	// Trust is how old a view may be that watches are answered from.
	Trust time.Duration
	// IsSource reports whether this process watches the service for others; it must
	// be safe for concurrent use.
	IsSource func() bool
	// Digest, if not nil, returns a digest of what matters to others of an entry:
	// changes that leave it as it was are not handed on.
	Digest func(prefix string, e Entry) uint64
	// Told, if not nil, is called when watches of a prefix begin to go to the service,
	// or begin to be answered from what was handed on.
	Told func(prefix string, direct bool)
}

// A Relay lets one process watch the service for many: it keeps the latest changes
// under each followed prefix, hands them on, and answers watches from those that it
// was handed. While what it was handed is too old, watches go to the service.
//
// It is safe for concurrent use.
type Relay struct {
	opts RelayOptions

	mu     sync.Mutex
	topics map[string]*topic
}

// A Batch is what one Relay hands to another of one prefix.
type Batch struct {
	// From and At bound the changes: Events are all after From up to At.
	From   Revision `json:"from"`
	At     Revision `json:"at"`
	Events []Event  `json:"events,omitempty"`
	// Left tells that changes which do not matter to others are left out.
	Left bool `json:"left,omitempty"`
	// Age is how long ago this was surely all there was, in milliseconds.
	Age int64 `json:"age"`
}

// NewRelay returns a Relay that knows nothing.
func NewRelay(o RelayOptions) *Relay {
	return &Relay{opts: o, topics: make(map[string]*topic)}
}

// Trust returns how old a view may be that watches are answered from.
func (r *Relay) Trust() time.Duration { return r.opts.Trust }

// For returns the service as seen through the Relay. A steady prefix is one that
// only a source's own acts change, so that its watches need no short rounds.
func (r *Relay) For(s PrefixStore, steady bool) PrefixStore {
	return &relayed{relay: r, store: s, steady: steady}
}

// Seen returns up to which revision each prefix is known.
func (r *Relay) Seen() map[string]Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]Revision, len(r.topics))
	for prefix, t := range r.topics {
		seen[prefix] = t.at
	}
	return seen
}

// Since returns what has come after the revisions that another process has seen;
// prefixes whose changes since then are not all known are left out.
func (r *Relay) Since(seen map[string]Revision) map[string]Batch {
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
			From: after, At: max(t.at, after), Events: t.after(after), Left: t.left,
			Age: int64(now.Sub(t.asOf) / time.Millisecond),
		}
	}
	return out
}

// Take takes in what another process handed on; sent is when it was asked.
func (r *Relay) Take(batches map[string]Batch, sent time.Time) {
	for prefix, b := range batches {
		asOf := sent.Add(-time.Duration(b.Age) * time.Millisecond)
		if r.take(prefix, b, asOf) {
			r.trust(prefix, asOf)
		}
	}
}

// Affirm tells that nothing under a prefix has changed up to now.
func (r *Relay) Affirm(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.topics[prefix]; t != nil {
		t.asOf = r.opts.Clock.Now()
	}
}

// Wake makes watches look anew at who is the source.
func (r *Relay) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.topics {
		t.tell()
	}
}

// Doubt makes watches go to the service until a newer view is handed on.
func (r *Relay) Doubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.topics {
		t.trusted = time.Time{}
		t.tell()
	}
}

// list takes in a whole list as of a time.
func (r *Relay) list(prefix string, entries []Entry, at Revision, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topics[prefix]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		r.topics[prefix] = t
	}
	if at >= t.at {
		t.floor, t.at, t.log, t.asOf, t.left = at, at, nil, asOf, false
		t.digests = make(map[string]uint64)
		for _, e := range entries {
			r.differs(prefix, t, Event{Entry: e})
		}
		t.tell()
	}
}

// trust counts what is known of a prefix as handed on as of a time.
func (r *Relay) trust(prefix string, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.topics[prefix]; asOf.After(t.trusted) {
		t.trusted = asOf
		t.tell()
	}
}

// take takes in changes of one prefix as of a time and reports whether they are not
// older than what is known.
func (r *Relay) take(prefix string, b Batch, asOf time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topics[prefix]
	if t == nil || b.At < t.at {
		return false
	}
	if b.From > t.at {
		t.floor, t.log = b.From, nil
	}
	t.left = t.left || b.Left
	for _, e := range b.Events {
		if e.Entry.Revision <= t.at {
			continue
		}
		if !r.differs(prefix, t, e) {
			t.left = true
			continue
		}
		t.log = append(t.log, e)
	}
	t.at = b.At
	t.trim()
	if asOf.After(t.asOf) {
		t.asOf = asOf
	}
	t.tell()
	return true
}

// differs keeps an entry's digest and reports whether the change matters to others.
func (r *Relay) differs(prefix string, t *topic, e Event) bool {
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
