package kv

import (
	"sync"
	"time"

	"rockcleat/clock"
)

// FanoutOptions configure a Fanout.
type FanoutOptions struct {
	Clock clock.Service
	// MaxAge is the maximum age of forwarded data that watches are served from.
	MaxAge time.Duration
	// FallbackDelay, if not nil, returns what this process adds to MaxAge, so that processes far from
	// the watcher fall back to the service later than nearer ones.
	FallbackDelay func() time.Duration
	// IsRelay, if not nil, reports whether other processes get the view of this one while there is
	// no watcher.
	IsRelay func() bool
	// ListWait, if not nil, returns how long the first list of a prefix waits for forwarded data
	// before it goes to the service. It is evaluated again while the list waits.
	ListWait func() time.Duration
	// IsWatcher reports whether this process watches the service on behalf of the others. It must
	// be safe for concurrent use.
	IsWatcher func() bool
	// Digest, if not nil, returns a digest of the part of an entry that other processes use. A
	// change that leaves the digest the same is not forwarded.
	Digest func(prefix string, e Entry) uint64
	// PeriodicWriters, if not nil, returns the periodic writers of a prefix, or nil if it has none.
	// After a restore of the service, the list of a prefix without them replaces the known entries.
	PeriodicWriters func(prefix string) PeriodicWriters
	// OnSwitch, if not nil, is called when the watches of a prefix change between the service
	// (direct) and forwarded data.
	OnSwitch func(prefix string, direct bool)
}

// A Fanout lets one process, the watcher, watch the service on behalf of many. In the watcher it
// keeps the latest changes of each prefix and returns them for forwarding (Since). In the other
// processes it applies the forwarded changes (Apply) and serves watches from them. A watch goes to
// the service while the forwarded data is older than MaxAge.
//
// It is safe for concurrent use.
type Fanout struct {
	opts FanoutOptions

	mu   sync.Mutex
	logs map[string]*changeLog
	// changed is the channel that Changed returns.
	changed chan struct{}
}

// A Batch holds the changes of one prefix that one Fanout sends to another.
type Batch struct {
	// Events are all changes after From, up to and including To.
	From   Revision `json:"from"`
	To     Revision `json:"at"`
	Events []Event  `json:"events,omitempty"`
	// Full is set if Events are instead all entries as of To.
	Full bool `json:"full,omitempty"`
	// Omitted is set if Full is set and Events are left out, to be requested separately.
	Omitted bool `json:"omitted,omitempty"`
	// Filtered is set if changes with an unchanged digest were left out.
	Filtered bool `json:"left,omitempty"`
	// AgeMs is the time since the batch was known to be complete, in milliseconds.
	AgeMs int64 `json:"age"`
}

// A Progress tells how far a Fanout knows the prefixes that are in use.
type Progress struct {
	// Revisions holds the revision up to which each prefix is known; 0 if nothing is known of it.
	Revisions map[string]Revision `json:"seen"`
	// KeyHashes holds a hash of the set of keys of each prefix that is known completely.
	KeyHashes map[string]uint32 `json:"key_hashes,omitempty"`
}

// NewFanout returns an empty Fanout.
func NewFanout(o FanoutOptions) *Fanout {
	return &Fanout{opts: o, logs: make(map[string]*changeLog), changed: make(chan struct{})}
}

// MaxAge returns FanoutOptions.MaxAge, without FallbackDelay.
func (f *Fanout) MaxAge() time.Duration { return f.opts.MaxAge }

// maxAge returns the maximum age of forwarded data in this process, with FallbackDelay.
func (f *Fanout) maxAge() time.Duration {
	if f.opts.FallbackDelay == nil {
		return f.opts.MaxAge
	}
	return f.opts.MaxAge + f.opts.FallbackDelay()
}

// View returns s seen through the Fanout. With selfWritten, the prefix is written only by the
// watcher itself, so its watches need not end early to confirm that nothing has changed.
func (f *Fanout) View(s PrefixStore, selfWritten bool) PrefixStore {
	return &fanoutView{fanout: f, store: s, selfWritten: selfWritten, silentChanges: make(map[string]uint64)}
}

// Progress returns how far this Fanout knows each prefix, for another Fanout's Since and HasUpdates.
func (f *Fanout) Progress() Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := Progress{Revisions: make(map[string]Revision, len(f.logs)), KeyHashes: make(map[string]uint32, len(f.logs))}
	for prefix, l := range f.logs {
		known.Revisions[prefix] = l.to
		if l.complete {
			known.KeyHashes[prefix] = l.keyHash
		}
	}
	return known
}

// Since returns the changes after what another process knows, or all entries of a prefix for which
// the changes are no longer held or do not lead to the same keys. Prefixes not known here are
// omitted.
func (f *Fanout) Since(known Progress) map[string]Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	out := make(map[string]Batch, len(known.Revisions))
	for prefix, after := range known.Revisions {
		l := f.logs[prefix]
		if l == nil {
			continue
		}
		if b, ok := l.batch(after, l.lacksKeyChange(prefix, known), now); ok {
			out[prefix] = b
		}
	}
	return out
}

// List returns all entries of a prefix, if the prefix is known completely.
func (f *Fanout) List(prefix string) (b Batch, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.logs[prefix]
	if l == nil || !l.complete {
		return Batch{}, false
	}
	return l.batch(0, true, f.opts.Clock.Now())
}

// CurrentTimes returns the time at which each prefix that another process uses was last known here to
// be current.
func (f *Fanout) CurrentTimes(known Progress) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := make(map[string]time.Time, len(known.Revisions))
	for prefix := range known.Revisions {
		if l := f.logs[prefix]; l != nil {
			times[prefix] = l.currentAt
		}
	}
	return times
}

// CurrentAt returns the latest time at which the view of a prefix is known to have been current; the zero time if this process
// has none.
func (f *Fanout) CurrentAt(prefix string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.logs[prefix]; l != nil {
		return l.currentAt
	}
	return time.Time{}
}

// HasUpdates reports whether another process, with the given revisions, should be sent an update: a
// prefix has changed, its keys differ, or its view is newer by at least the given duration than in before. Each
// prefix is checked by itself, since the watcher may know one of them to be current at all times.
func (f *Fanout) HasUpdates(known Progress, newer time.Duration, before map[string]time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for prefix, after := range known.Revisions {
		l := f.logs[prefix]
		if l == nil || l.to == 0 {
			continue
		}
		if after < l.floor && l.complete || l.lacksKeyChange(prefix, known) || l.isChangedAfter(after) || l.currentAt.Sub(before[prefix]) >= newer {
			return true
		}
	}
	return false
}

// Changed returns a channel that is closed when a list, a watch or a forwarded batch updates a log
// or confirms it as current, and by RecheckWatcher. MarkCurrent does not close it.
func (f *Fanout) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Apply applies forwarded batches. currentAsOf is a time not after the one at which the batches
// were made.
func (f *Fanout) Apply(batches map[string]Batch, currentAsOf time.Time) {
	for prefix, b := range batches {
		if b.Omitted {
			continue
		}
		currentAt := currentAsOf.Add(-time.Duration(b.AgeMs) * time.Millisecond)
		if b.Full {
			f.reset(prefix, entriesOf(b.Events), b.To, origin{currentAt: currentAt, forwarded: true})
			continue
		}
		f.appendBatch(prefix, b, origin{currentAt: currentAt, forwarded: true})
	}
}

func entriesOf(events []Event) []Entry {
	list := make([]Entry, len(events))
	for i, e := range events {
		list[i] = e.Entry
	}
	return list
}

// IsStale reports whether any of the batches is older than MaxAge.
func (f *Fanout) IsStale(batches map[string]Batch) bool {
	for _, b := range batches {
		if b.AgeMs > f.opts.MaxAge.Milliseconds() {
			return true
		}
	}
	return false
}

// MarkCurrent records that nothing under a prefix has changed up to now.
func (f *Fanout) MarkCurrent(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.logs[prefix]; l != nil {
		l.currentAt = f.opts.Clock.Now()
	}
}

// RecheckWatcher makes waiting watches evaluate FanoutOptions.IsWatcher again.
func (f *Fanout) RecheckWatcher() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.logs {
		l.notify()
	}
	f.notify()
}

// notify wakes the goroutines that wait on Changed. f.mu must be held.
func (f *Fanout) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// log returns the log of a prefix and creates it if needed. f.mu must be held.
func (f *Fanout) log(prefix string) *changeLog {
	l := f.logs[prefix]
	if l == nil {
		l = &changeLog{changed: make(chan struct{}), digests: make(map[string]uint64)}
		f.logs[prefix] = l
	}
	return l
}

// Invalidate makes watches go to the service until newer data is forwarded.
func (f *Fanout) Invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.logs {
		l.receivedAt = time.Time{}
		l.notify()
	}
}

// periodicWriters returns the periodic writers of a prefix, or nil if it has none.
func (f *Fanout) periodicWriters(prefix string) PeriodicWriters {
	if f.opts.PeriodicWriters == nil {
		return nil
	}
	return f.opts.PeriodicWriters(prefix)
}

// resetFromService sets a prefix to a list read from the service, which was current at currentAt,
// and returns the entries to use and the log's silent changes up to then. The first list of a
// later era by this process is merged with the entries known before.
func (f *Fanout) resetFromService(prefix string, entries []Entry, at Revision, currentAt time.Time) ([]Entry, uint64) {
	f.mu.Lock()
	l, now := f.log(prefix), f.opts.Clock.Now()
	l.recordRestore(at, now, false)
	if w := f.periodicWriters(prefix); w != nil && l.complete && (l.unmerged || l.to.Era() < at.Era()) {
		l.mergeRestored(entries, at, w)
	}
	entries = l.maskStale(l.keepMissing(entries, at, now))
	f.mu.Unlock()
	return entries, f.reset(prefix, entries, at, origin{currentAt: currentAt})
}

// reset sets a prefix to a list. It ignores the entries of a list older than the log. It returns the
// number of silent changes of the log.
func (f *Fanout) reset(prefix string, entries []Entry, at Revision, o origin) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.log(prefix)
	l.recordOrigin(o)
	if at < l.to {
		l.notify()
		return l.silentChanges
	}
	if o.forwarded {
		l.recordRestore(at, f.opts.Clock.Now(), true)
	}
	if l.complete {
		f.applyList(prefix, l, entries, at)
	} else {
		l.reset(entries, at)
		for _, e := range entries {
			f.updateDigest(prefix, l, Event{Entry: e})
		}
	}
	l.currentAt = o.currentAt
	l.notify()
	f.notify()
	return l.silentChanges
}

// applyList applies a list to a complete log as the changes that lead to it, so that other
// processes are sent those changes and not the whole prefix again. With 3,000 entries and 300
// processes, sending the prefix costs 800 MB for each list.
func (f *Fanout) applyList(prefix string, l *changeLog, entries []Entry, at Revision) {
	w := f.periodicWriters(prefix)
	for _, e := range l.diff(entries, at, w) {
		if e.Entry.Revision <= l.to {
			f.applySilently(prefix, l, e, w)
			continue
		}
		l.set(e)
		f.addEvent(prefix, l, e)
	}
	l.to = at
	l.trim()
}

// applySilently applies a change without a revision above that of the log. It cannot be sent to other processes as a
// change, and may have been filtered out before. Key hashes show the others a key that came or went; silentChanges
// shows the watches of this process that, and an entry that was replaced.
func (f *Fanout) applySilently(prefix string, l *changeLog, e Event, w PeriodicWriters) {
	l.filtered = true
	replaces := !e.Deleted && isSuperseded(l.entries[e.Entry.Key], e.Entry, w)
	if replaces {
		f.updateDigest(prefix, l, e)
	}
	if changesKeys := l.set(e); changesKeys || replaces {
		l.silentChanges++
	}
}

// addEvent adds a change to the events, unless other processes need not know of it.
func (f *Fanout) addEvent(prefix string, l *changeLog, e Event) {
	// Another process may have listed the service since the restore, and then holds the outdated entry.
	e.Rewritten = l.endStale(e.Entry) || e.Rewritten
	if differs := f.updateDigest(prefix, l, e); !differs && !e.Rewritten {
		l.filtered = true
		return
	}
	l.events = append(l.events, e)
}

// appendBatch appends the changes of a batch. It ignores the batch if the prefix is not in use or the
// batch is older than the log.
func (f *Fanout) appendBatch(prefix string, b Batch, o origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.logs[prefix]
	if l == nil || b.To < l.to {
		return
	}
	l.recordOrigin(o)
	l.recordRestore(b.To, f.opts.Clock.Now(), o.forwarded)
	if l.to == 0 && b.From == 0 {
		// All changes since revision 0 amount to all entries.
		l.reset(nil, 0)
	}
	if b.From > l.to {
		l.floor, l.events, l.complete = b.From, nil, false
	}
	l.filtered = l.filtered || b.Filtered
	for _, e := range b.Events {
		if e.Entry.Revision <= l.to {
			continue
		}
		l.set(e)
		delete(l.missing, e.Entry.Key)
		f.addEvent(prefix, l, e)
	}
	l.to = b.To
	l.trim()
	l.currentAt = clock.Later(l.currentAt, o.currentAt)
	l.notify()
	f.notify()
}

// updateDigest updates the entry's digest and reports whether the change must be forwarded.
func (f *Fanout) updateDigest(prefix string, l *changeLog, e Event) bool {
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
