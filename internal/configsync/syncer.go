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
	// Offer puts a configuration in force if it is newer than the current one, and returns its
	// version. An error means that it cannot be decoded.
	Offer(value []byte, from Origin) (version uint64, err error)
}

// An Origin is where a configuration came from.
type Origin string

// Origins of a configuration.
const (
	FromStore   Origin = "store"
	FromGateway Origin = "gateway"
)

// Peers fetches configurations from other gateways.
type Peers interface {
	FetchConfig(ctx context.Context, addr string, r Request) (Transfer, error)
}

// Health records the outcomes of calls to the store.
type Health interface {
	Unreachable(err error)
	Reachable()
}

// Options contains the settings and dependencies of a Syncer.
type Options struct {
	Store kv.PrefixStore
	// Key is the configuration's key in the store.
	Key    string
	Holder Holder
	Peers  Peers
	Health Health
	Clock  clock.Service
	Log    *zap.Logger
	// IsWatcher reports whether this gateway watches the store on behalf of the others.
	IsWatcher func() bool
	// MaxAge returns how old the news may be before this gateway watches the store itself, and
	// the bound of one such watch.
	MaxAge func() time.Duration
	// IsSettled, if not nil, reports whether the store, restored from a backup in the given era,
	// again contains everything that was written before. An error means that this is unknown.
	IsSettled func(ctx context.Context, era int64) (bool, error)
	// StartWait, if not nil, returns how long a starting gateway waits for news from others
	// before it reads the store.
	StartWait func() time.Duration
	// OnTransfer, if not nil, is called after each attempt to receive a configuration, with its
	// size in bytes as sent, or the error.
	OnTransfer func(from Origin, bytes int, err error)
	// OnSwitch, if not nil, is called when this gateway begins to watch the store itself
	// (direct), and when it returns to relying on news.
	OnSwitch func(key string, direct bool)
}

// A Syncer keeps one gateway's configuration up to date. All methods are safe for concurrent
// use, except that Run must be called only once.
type Syncer struct {
	opts    Options
	history history
	// readFromStart is when a gateway that has received no news reads the store.
	readFromStart time.Time

	mu    sync.Mutex
	known knownVersion
	// heldCurrentAt is the latest time at which the held version is known to have been the newest.
	heldCurrentAt time.Time
	// readRevision is the revision up to which this gateway has read the store itself.
	readRevision kv.Revision
	// compactedRevision is a revision that the store can no longer be watched from, because it has compacted
	// the history after it. Other gateways may keep naming that revision until they notice; watching
	// from it again would fail each time.
	compactedRevision kv.Revision
	// storeOutdated reports whether the store, restored from a backup, shows an older version than the
	// one held. It may lack still newer ones, so a read does not confirm that the held one is newest.
	storeOutdated bool
	// fetchFailed reports whether fetching the newest version from its source failed. If so, the
	// store is read next.
	fetchFailed bool
	// changed is closed when the next step may differ. interrupt, if not nil, cancels the store read
	// in progress.
	changed   chan struct{}
	interrupt context.CancelFunc

	// The fields below belong to Run. direct reports whether the last step other than a fetch read
	// the store; lastCompaction is when a compaction was last noticed; settlingSince is when this gateway
	// began to wait for a restored store to settle.
	direct         bool
	lastCompaction time.Time
	settlingSince  time.Time
}

// New returns a Syncer that holds no configuration.
func New(o Options) *Syncer {
	s := &Syncer{opts: o, changed: make(chan struct{}), readFromStart: o.Clock.Now()}
	if o.StartWait != nil {
		s.readFromStart = s.readFromStart.Add(o.StartWait())
	}
	return s
}

// News returns what this gateway reports to others.
func (s *Syncer) News() News {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.history.newest()
	if held < s.known.version {
		return News{Version: held, AgeMs: unknownAge.Milliseconds()}
	}
	return News{Version: held, Revision: s.known.revision, AgeMs: ageMs(s.opts.Clock.Now(), s.known.currentAt)}
}

// Heard processes the news in the response of the gateway at addr to a request sent at the time asked.
func (s *Syncer) Heard(n News, addr string, asked time.Time) {
	if n.Version == 0 {
		return
	}
	age := time.Duration(n.AgeMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(knownVersion{version: n.Version, source: addr, currentAt: asked.Add(-age), revision: n.Revision})
}

// HeardVersion records that the gateway at addr holds a version, which need not be the newest.
func (s *Syncer) HeardVersion(version uint64, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.known.version {
		s.merge(knownVersion{version: version, source: addr})
	}
}

// merge updates what is known of the newest version, cancels a store read in progress if a newer
// version can be fetched, and wakes Run if its next step may differ. s.mu must be held.
func (s *Syncer) merge(n knownVersion) {
	wasStale := s.untilStale() <= 0
	newer := s.known.merge(n)
	if newer {
		s.fetchFailed = false
	}
	s.noteHeldCurrent(n)
	if newer && n.source != "" && s.interrupt != nil {
		s.interrupt()
	}
	if newer || wasStale && s.untilStale() > 0 {
		s.wake()
	}
}

// noteHeldCurrent advances heldCurrentAt by n, which has been merged. Information on a version
// newer than the held one does not confirm the held one. s.mu must be held.
func (s *Syncer) noteHeldCurrent(n knownVersion) {
	held := s.history.newest()
	switch {
	case held == 0:
	case held >= s.known.version:
		s.heldCurrentAt = later(s.heldCurrentAt, s.known.currentAt)
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

// CurrentAt returns the latest time at which the held configuration is known to have been the newest:
// whatever was written before it is in force here. It derives from the time at which a gateway sent its
// request to the store, never from the arrival of the response. It is zero while no configuration is held.
func (s *Syncer) CurrentAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldCurrentAt
}

// untilStale returns the time until the news is too old; it is not positive if it already is.
// s.mu must be held.
func (s *Syncer) untilStale() time.Duration {
	return s.opts.MaxAge() - s.opts.Clock.Now().Sub(s.known.currentAt)
}

// Recheck makes Run call IsWatcher again.
func (s *Syncer) Recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// wake makes Run choose its next step again. s.mu must be held.
func (s *Syncer) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Transfer returns the response to another gateway's request.
func (s *Syncer) Transfer(r Request) (Transfer, error) { return s.history.transfer(r) }

// Run keeps the configuration up to date until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		step := s.next()
		s.reportMode(step.kind)
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

type stepKind int

const (
	// stepWait waits for news.
	stepWait stepKind = iota
	// stepFetch fetches a newer version from another gateway.
	stepFetch
	// stepRead lists or watches the store.
	stepRead
)

type step struct {
	kind stepKind
	// source is the address that stepFetch fetches from.
	source string
	// stepWait ends after wait, or when changed is closed.
	wait    time.Duration
	changed <-chan struct{}
}

// next chooses the next step. A newer version is fetched from its source. The store is read by the
// watcher, after a failed fetch, and when the news is too old. Otherwise Run waits until the news
// becomes too old or something changes.
func (s *Syncer) next() step {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := s.history.newest() < s.known.version
	if missing && s.known.source != "" && !s.fetchFailed {
		return step{kind: stepFetch, source: s.known.source}
	}
	if left := s.readFromStart.Sub(s.opts.Clock.Now()); left > 0 && s.known.version == 0 && !s.opts.IsWatcher() {
		return step{kind: stepWait, wait: left, changed: s.changed}
	}
	remaining := s.untilStale()
	if missing || remaining <= 0 || s.opts.IsWatcher() {
		return step{kind: stepRead}
	}
	return step{kind: stepWait, wait: remaining, changed: s.changed}
}

// reportMode calls OnSwitch when this gateway changes between reading the store and relying on news.
func (s *Syncer) reportMode(k stepKind) {
	if k == stepFetch {
		return
	}
	direct := k == stepRead
	if direct != s.direct && s.opts.OnSwitch != nil {
		s.opts.OnSwitch(s.opts.Key, direct)
	}
	s.direct = direct
}

func (s *Syncer) reportTransfer(from Origin, bytes int, err error) {
	if s.opts.OnTransfer != nil {
		s.opts.OnTransfer(from, bytes, err)
	}
}

// apply puts a configuration in force, keeps it for other gateways and returns its version.
func (s *Syncer) apply(value []byte, from Origin) (uint64, error) {
	version, err := s.opts.Holder.Offer(value, from)
	if err == nil {
		s.history.add(version, value)
	}
	return version, err
}
