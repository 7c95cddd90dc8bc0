package configsync

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/kv"
)

// A Holder puts configurations in force.
type Holder interface {
	// Offer puts a configuration in force if it is newer than the one that is, and returns its
	// version; an error says that it cannot be decoded.
	Offer(value []byte, from Origin) (version uint64, err error)
}

// An Origin says where a configuration came from.
type Origin string

// The origins.
const (
	FromStore   Origin = "store"
	FromGateway Origin = "gateway"
)

// Peers fetches configurations from other gateways.
type Peers interface {
	FetchConfig(ctx context.Context, addr string, r Request) (Transfer, error)
}

// Health notes how calls to the store end.
type Health interface {
	Unreachable(err error)
	Reachable()
}

// Options configure a Syncer.
type Options struct {
	Store kv.PrefixStore
	// Key is where the store has the configuration.
	Key    string
	Holder Holder
	Peers  Peers
	Health Health
	Clock  clock.Service
	Log    *zap.Logger
	// IsWatcher reports whether this gateway watches the store for the others.
	IsWatcher func() bool
	// MaxAge returns how old the news may be before this gateway watches the store itself, and
	// bounds one such watch.
	MaxAge func() time.Duration
	// IsSettled, if not nil, reports whether the store, in an era, surely has all that the operators wrote before
	// it came back from a copy; an error says that this is not known.
	IsSettled func(ctx context.Context, era int64) (bool, error)
	// StartWait, if not nil, returns how long a gateway that starts waits for the news of others
	// before it reads the store.
	StartWait func() time.Duration
	// OnTransfer, if not nil, is called after a configuration was received, with its bytes as
	// they were sent, or could not be.
	OnTransfer func(from Origin, bytes int, err error)
	// OnSwitch, if not nil, is called when this gateway begins to watch the store (direct), or
	// to rely on the news of others.
	OnSwitch func(key string, direct bool)
}

// A Syncer keeps one gateway's configuration up to date. All of its methods are safe for
// concurrent use, but Run is called once.
type Syncer struct {
	opts    Options
	history history
	// readFromStart is when a gateway that has heard nothing yet reads the store.
	readFromStart time.Time

	mu     sync.Mutex
	newest newest
	// heldCurrentAt is the latest time at which the version that is held surely was the newest.
	heldCurrentAt time.Time
	// position is up to which revision this gateway has read the store itself.
	position kv.Revision
	// forgotten is a revision after which the store no longer knows its history. Other gateways
	// may name it as theirs for as long as they do not know; watching from it again and again,
	// since it was heard again and again, kept versions from all gateways while nobody led.
	forgotten kv.Revision
	// storeBehind says that the store, come back from a copy, shows an older version than the one that is held:
	// it may lack still newer ones too, so that it proves nothing of what is held.
	storeBehind bool
	// fetchFailed says that the newest version could not be fetched from its source: the store
	// is read next.
	fetchFailed bool
	// changed is closed when the next step may be another one; interrupt, if not nil, ends a
	// watch when another gateway turns out to hold a newer version.
	changed   chan struct{}
	interrupt context.CancelFunc

	// The rest belongs to Run. direct says whether the last step watched the store, compactedAt is when its
	// history was gone last, copySince is since when a copy of the store is waited for to settle.
	direct      bool
	compactedAt time.Time
	copySince   time.Time
}

// New returns a Syncer that holds nothing.
func New(o Options) *Syncer {
	s := &Syncer{opts: o, changed: make(chan struct{}), readFromStart: o.Clock.Now()}
	if o.StartWait != nil {
		s.readFromStart = s.readFromStart.Add(o.StartWait())
	}
	return s
}

// News returns what this gateway tells others.
func (s *Syncer) News() News {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.history.newest()
	if held < s.newest.version {
		return News{Version: held, AgeMs: unknownAge.Milliseconds()}
	}
	return News{Version: held, Revision: s.newest.revision, AgeMs: ageMs(s.opts.Clock.Now(), s.newest.currentAt)}
}

// Heard takes over the news of the gateway at an address, which was asked at a time.
func (s *Syncer) Heard(n News, addr string, asked time.Time) {
	if n.Version == 0 {
		return
	}
	age := time.Duration(n.AgeMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(newest{version: n.Version, source: addr, currentAt: asked.Add(-age), revision: n.Revision})
}

// HeardVersion notes that the gateway at an address holds a version, whether or not it is the
// newest.
func (s *Syncer) HeardVersion(version uint64, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.newest.version {
		s.merge(newest{version: version, source: addr})
	}
}

// merge takes over what is said of the newest version. A read of the store that is under way
// ends when there is a newer one to be fetched. The lock is held.
func (s *Syncer) merge(n newest) {
	wasStale := s.freshFor() <= 0
	newer := s.newest.merge(n)
	if newer {
		s.fetchFailed = false
	}
	s.noteHeldCurrent(n)
	if newer && n.source != "" && s.interrupt != nil {
		s.interrupt()
	}
	if newer || wasStale && s.freshFor() > 0 {
		s.wake()
	}
}

// noteHeldCurrent notes until when the version that is held surely was the newest, by what was said last.
// News of a newer version says nothing of it. The lock is held.
func (s *Syncer) noteHeldCurrent(n newest) {
	held := s.history.newest()
	switch {
	case held == 0:
	case held >= s.newest.version:
		s.heldCurrentAt = later(s.heldCurrentAt, s.newest.currentAt)
	case held >= n.version:
		s.heldCurrentAt = later(s.heldCurrentAt, n.currentAt)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CurrentAt returns the latest time at which the configuration that is held surely was the newest: whatever
// was written before it is in force here. It is counted from when the store was asked, by whichever gateway,
// never from an answer. It is zero while none is held.
func (s *Syncer) CurrentAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldCurrentAt
}

// freshFor returns for how long the news is not too old, at most 0 if it is. The lock is held.
func (s *Syncer) freshFor() time.Duration {
	return s.opts.MaxAge() - s.opts.Clock.Now().Sub(s.newest.currentAt)
}

// Recheck makes Run look anew at whether this gateway is the watcher.
func (s *Syncer) Recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// wake makes Run decide anew. The lock is held.
func (s *Syncer) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Transfer returns the configuration for a gateway that asks for it.
func (s *Syncer) Transfer(r Request) (Transfer, error) { return s.history.transfer(r) }

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		step := s.next()
		s.noteMode(step.kind)
		switch step.kind {
		case stepFetch:
			s.fetch(ctx, step.source)
		case stepRead:
			s.read(ctx)
		case stepWait:
			clock.Await(ctx, s.opts.Clock, step.changed, step.wait)
		}
	}
}

// A stepKind is what Run does next.
type stepKind int

const (
	// stepWait waits for news.
	stepWait stepKind = iota
	// stepFetch fetches a newer version from another gateway.
	stepFetch
	// stepRead lists or watches the store.
	stepRead
)

// A step is one step of Run.
type step struct {
	kind stepKind
	// source is the address to fetch from.
	source string
	// wait is how long to wait for changed.
	wait    time.Duration
	changed <-chan struct{}
}

// next decides the next step: a newer version is fetched from whoever holds it; the store is read
// by the watcher, when that failed, and when the news is too old; else there is nothing to do until
// it would be.
func (s *Syncer) next() step {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := s.history.newest() < s.newest.version
	if missing && s.newest.source != "" && !s.fetchFailed {
		return step{kind: stepFetch, source: s.newest.source}
	}
	if left := s.readFromStart.Sub(s.opts.Clock.Now()); left > 0 && s.newest.version == 0 && !s.opts.IsWatcher() {
		return step{kind: stepWait, wait: left, changed: s.changed}
	}
	fresh := s.freshFor()
	if missing || fresh <= 0 || s.opts.IsWatcher() {
		return step{kind: stepRead}
	}
	return step{kind: stepWait, wait: fresh, changed: s.changed}
}

// noteMode reports when this gateway begins to read the store itself, and when it relies on news
// again.
func (s *Syncer) noteMode(k stepKind) {
	if k == stepFetch {
		return
	}
	direct := k == stepRead
	if direct != s.direct && s.opts.OnSwitch != nil {
		s.opts.OnSwitch(s.opts.Key, direct)
	}
	s.direct = direct
}

// noteTransfer reports a transfer that has ended.
func (s *Syncer) noteTransfer(from Origin, bytes int, err error) {
	if s.opts.OnTransfer != nil {
		s.opts.OnTransfer(from, bytes, err)
	}
}

// hold puts a configuration in force and keeps it for other gateways; it returns the version.
func (s *Syncer) hold(value []byte, from Origin) (uint64, error) {
	version, err := s.opts.Holder.Offer(value, from)
	if err == nil {
		s.history.add(version, value)
	}
	return version, err
}
