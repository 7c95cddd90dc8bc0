package kv

import (
	"context"
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

// Pace of watches of the service itself.
const (
	// sourceRounds is how often a source's watch ends within the time of trust, so
	// that others know how old its view is.
	sourceRounds = 3
	// sourceGather and ownGather are the pauses after changes, so that changes which
	// come close together cost one call. The second one together with a second in
	// which the service tells nothing stays under the two seconds in which a leaving
	// server must be known.
	sourceGather = 150 * time.Millisecond
	ownGather    = 500 * time.Millisecond
	// maxLogged and maxLoggedBytes bound the changes kept for one prefix.
	maxLogged      = 512
	maxLoggedBytes = 1 << 20
)

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

// A topic is what a Relay knows of one prefix.
type topic struct {
	// floor and at bound the log: it holds every change after floor up to at.
	floor, at Revision
	log       []Event
	// asOf is when this was surely all there was.
	asOf time.Time
	// digests are those of the entries, if there is a Digest.
	digests map[string]uint64
	// left tells that changes after floor are left out of the log, or were by who
	// handed it on: whoever watches the service again has to list it first.
	left bool
	// busy is when the service last told changes.
	busy time.Time
	// handedOn tells that watches are answered from what was handed on.
	handedOn bool
	// changed is closed when any of this changes.
	changed chan struct{}
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
		r.take(prefix, b, sent.Add(-time.Duration(b.Age)*time.Millisecond))
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
		t.asOf = time.Time{}
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

// take takes in changes of one prefix as of a time.
func (r *Relay) take(prefix string, b Batch, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topics[prefix]
	if t == nil || b.At < t.at {
		return
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

// trim drops the oldest changes of a log that is too long, always all of one
// revision.
func (t *topic) trim() {
	size, first := 0, len(t.log)
	for first > 0 && len(t.log)-first < maxLogged {
		size += len(t.log[first-1].Entry.Value)
		if size > maxLoggedBytes {
			break
		}
		first--
	}
	if first == 0 {
		return
	}
	t.floor = t.log[first-1].Entry.Revision
	for first < len(t.log) && t.log[first].Entry.Revision == t.floor {
		first++
	}
	t.log = append([]Event(nil), t.log[first:]...)
}

// after returns the changes after a revision.
func (t *topic) after(rev Revision) []Event {
	for i, e := range t.log {
		if e.Entry.Revision > rev {
			return append([]Event(nil), t.log[i:]...)
		}
	}
	return nil
}

func (t *topic) tell() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// A relayed is a service seen through a Relay.
type relayed struct {
	relay  *Relay
	store  PrefixStore
	steady bool
}

// ListPrefix implements PrefixStore.
func (v *relayed) ListPrefix(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	began := v.relay.opts.Clock.Now()
	entries, at, err := v.store.ListPrefix(ctx, prefix)
	if err == nil {
		v.relay.list(prefix, entries, at, began)
	}
	return entries, at, err
}

// WatchPrefix implements PrefixStore.
func (v *relayed) WatchPrefix(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Event, Revision, error) {
	end := v.relay.opts.Clock.Now().Add(wait)
	for ctx.Err() == nil {
		events, at, left, changed := v.relay.look(prefix, after)
		if len(events) > 0 {
			v.relay.note(prefix, !v.relay.opts.IsSource())
			return events, at, nil
		}
		if begins := v.relay.note(prefix, left > 0); begins {
			return nil, after, ErrCompacted
		}
		if left <= 0 {
			return v.watch(ctx, prefix, after, wait)
		}
		left = min(left, end.Sub(v.relay.opts.Clock.Now()))
		if left <= 0 {
			return nil, after, nil
		}
		await(ctx, changed, left)
	}
	return nil, after, ctx.Err()
}

// note tells when the way in which a prefix is watched changes, and reports whether
// the service has to be listed first since changes were left out.
func (r *Relay) note(prefix string, handedOn bool) (listFirst bool) {
	r.mu.Lock()
	t := r.topics[prefix]
	differs := t != nil && t.handedOn != handedOn
	if differs {
		t.handedOn = handedOn
		listFirst = !handedOn && t.left
	}
	r.mu.Unlock()
	if differs && r.opts.Told != nil {
		r.opts.Told(prefix, !handedOn)
	}
	return listFirst
}

// look returns the changes known after a revision and for how long watches from
// there may be answered without the service.
func (r *Relay) look(prefix string, after Revision) (events []Event, at Revision, left time.Duration, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topics[prefix]
	if t == nil || after < t.floor {
		return nil, after, 0, nil
	}
	if events = t.after(after); len(events) > 0 {
		return events, t.at, 0, nil
	}
	if r.opts.IsSource() {
		return nil, after, 0, nil
	}
	return nil, after, r.opts.Trust - r.opts.Clock.Now().Sub(t.asOf), t.changed
}

// watch watches the service itself and keeps what it tells.
func (v *relayed) watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	r := v.relay
	source := r.opts.IsSource()
	gather := ownGather
	if source {
		gather = sourceGather
	}
	if source && !v.steady {
		wait = min(wait, r.opts.Trust/sourceRounds)
	}
	sleep(ctx, r.busyUntil(prefix, gather).Sub(r.opts.Clock.Now()))
	began := r.opts.Clock.Now()
	events, at, err := v.store.WatchPrefix(ctx, prefix, after, wait)
	if err != nil {
		return events, at, err
	}
	asOf := began
	if len(events) == 0 {
		asOf = began.Add(wait)
	}
	if now := r.opts.Clock.Now(); asOf.After(now) {
		asOf = began
	}
	r.take(prefix, Batch{From: after, At: at, Events: events}, asOf)
	if len(events) > 0 {
		r.noteBusy(prefix)
	}
	return events, at, nil
}

// busyUntil returns until when changes are gathered before the next watch.
func (r *Relay) busyUntil(prefix string, gather time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.topics[prefix]; t != nil && !t.busy.IsZero() {
		return t.busy.Add(gather)
	}
	return time.Time{}
}

func (r *Relay) noteBusy(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.topics[prefix]; t != nil {
		t.busy = r.opts.Clock.Now()
	}
}

// await waits for a channel to be closed, for at most a time.
func await(ctx context.Context, c <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c:
	case <-ctx.Done():
	}
}
