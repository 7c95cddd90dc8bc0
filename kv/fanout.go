package kv

import (
	"sync"
	"time"

	"rockcleat/clock"
)

// FanoutOptions configure a Fanout.
type FanoutOptions struct {
	Clock clock.Service
	// MaxAge is how old a view may be that watches are answered from.
	MaxAge time.Duration
	// IsWatcher reports whether this process watches the service for the others; it
	// must be safe for concurrent use.
	IsWatcher func() bool
	// Digest, if not nil, returns a digest of what matters to other processes of an
	// entry: changes that leave it as it was are not handed on.
	Digest func(prefix string, e Entry) uint64
	// OnSwitch, if not nil, is called when watches of a prefix begin to go to the
	// service (direct), or begin to be answered from what another process hands on.
	OnSwitch func(prefix string, direct bool)
}

// A Fanout lets one process watch the service for many. In the watching process it keeps
// the latest changes under each prefix and hands them out (Since); in the others it
// applies them (Apply) and answers watches from them. While what it received is older
// than MaxAge, watches go to the service.
//
// It is safe for concurrent use.
type Fanout struct {
	opts FanoutOptions

	mu   sync.Mutex
	logs map[string]*changeLog
}

// A Batch holds the changes of one prefix that one Fanout hands to another.
type Batch struct {
	// Events are all changes after From, up to and including To.
	From   Revision `json:"from"`
	To     Revision `json:"at"`
	Events []Event  `json:"events,omitempty"`
	// Filtered says that changes which do not matter to others are left out.
	Filtered bool `json:"left,omitempty"`
	// AgeMs is how long ago these surely were all changes, in milliseconds.
	AgeMs int64 `json:"age"`
}

// NewFanout returns a Fanout that knows nothing.
func NewFanout(o FanoutOptions) *Fanout {
	return &Fanout{opts: o, logs: make(map[string]*changeLog)}
}

// MaxAge returns how old a view may be that watches are answered from.
func (f *Fanout) MaxAge() time.Duration { return f.opts.MaxAge }

// View returns the service as seen through the Fanout. A steady prefix is one that only
// the watching process itself changes, so that its watches need no short rounds.
func (f *Fanout) View(s PrefixStore, steady bool) PrefixStore {
	return &fanoutView{fanout: f, store: s, steady: steady}
}

// Revisions returns up to which revision each prefix is known.
func (f *Fanout) Revisions() map[string]Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]Revision, len(f.logs))
	for prefix, l := range f.logs {
		known[prefix] = l.to
	}
	return known
}

// Since returns what has changed after the revisions that another process knows;
// prefixes whose changes since then are not all known are left out.
func (f *Fanout) Since(known map[string]Revision) map[string]Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	out := make(map[string]Batch, len(known))
	for prefix, after := range known {
		l := f.logs[prefix]
		if l == nil || after < l.floor {
			continue
		}
		out[prefix] = Batch{
			From: after, To: max(l.to, after), Events: l.after(after), Filtered: l.filtered,
			AgeMs: now.Sub(l.currentAt).Milliseconds(),
		}
	}
	return out
}

// Apply applies what another process handed on; requested is when it was asked.
func (f *Fanout) Apply(batches map[string]Batch, requested time.Time) {
	for prefix, b := range batches {
		currentAt := requested.Add(-time.Duration(b.AgeMs) * time.Millisecond)
		if f.appendBatch(prefix, b, currentAt) {
			f.markReceived(prefix, currentAt)
		}
	}
}

// MarkCurrent notes that nothing under a prefix has changed up to now.
func (f *Fanout) MarkCurrent(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.logs[prefix]; l != nil {
		l.currentAt = f.opts.Clock.Now()
	}
}

// Recheck makes waiting watches look anew at whether this process is the watcher.
func (f *Fanout) Recheck() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.logs {
		l.notify()
	}
}

// Invalidate makes watches go to the service until a newer view is handed on.
func (f *Fanout) Invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.logs {
		l.receivedAt = time.Time{}
		l.notify()
	}
}

// reset sets a prefix to a whole list that was current at a time.
func (f *Fanout) reset(prefix string, entries []Entry, at Revision, currentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.logs[prefix]
	if l == nil {
		l = &changeLog{changed: make(chan struct{})}
		f.logs[prefix] = l
	}
	if at < l.to {
		return
	}
	l.floor, l.to, l.events, l.currentAt, l.filtered = at, at, nil, currentAt, false
	l.digests = make(map[string]uint64)
	for _, e := range entries {
		f.matters(prefix, l, Event{Entry: e})
	}
	l.notify()
}

// markReceived notes that what is known of a prefix was handed on and current at a time.
func (f *Fanout) markReceived(prefix string, currentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.logs[prefix]; currentAt.After(l.receivedAt) {
		l.receivedAt = currentAt
		l.notify()
	}
}

// appendBatch appends changes of one prefix that were current at a time and reports
// whether they are not older than what is known.
func (f *Fanout) appendBatch(prefix string, b Batch, currentAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.logs[prefix]
	if l == nil || b.To < l.to {
		return false
	}
	if b.From > l.to {
		l.floor, l.events = b.From, nil
	}
	l.filtered = l.filtered || b.Filtered
	for _, e := range b.Events {
		if e.Entry.Revision <= l.to {
			continue
		}
		if !f.matters(prefix, l, e) {
			l.filtered = true
			continue
		}
		l.events = append(l.events, e)
	}
	l.to = b.To
	l.trim()
	if currentAt.After(l.currentAt) {
		l.currentAt = currentAt
	}
	l.notify()
	return true
}

// matters keeps an entry's digest and reports whether the change matters to other processes.
func (f *Fanout) matters(prefix string, l *changeLog, e Event) bool {
	if f.opts.Digest == nil {
		return true
	}
	before, known := l.digests[e.Entry.Key]
	if e.Deleted {
		delete(l.digests, e.Entry.Key)
		return true
	}
	digest := f.opts.Digest(prefix, e.Entry)
	l.digests[e.Entry.Key] = digest
	return !known || before != digest
}
