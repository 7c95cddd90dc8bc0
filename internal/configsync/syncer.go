package configsync

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/kv"
)

// An Applier puts configurations in force.
type Applier interface {
	// Apply puts a configuration in force if it is newer than the current one, and returns its
	// version. An error means that it cannot be decoded.
	Apply(value []byte, from Origin) (version uint64, err error)
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

// HealthRecorder records the outcomes of calls to the store.
type HealthRecorder interface {
	Unreachable(err error)
	Reachable()
}

// Options contains the settings and dependencies of a Syncer.
type Options struct {
	Store kv.PrefixStore
	// Key is the configuration's key in the store.
	Key     string
	Applier Applier
	Peers   Peers
	Health  HealthRecorder
	Clock   clock.Service
	Log     *zap.Logger
	// IsWatcher reports whether this gateway watches the store on behalf of the others.
	IsWatcher func() bool
	// IsRelay, if not nil, reports whether other gateways get this gateway's view while there is no watcher.
	IsRelay func() bool
	// MaxAge returns how long ago the newest known version may have been confirmed before this gateway
	// watches the store itself. It is also the maximum duration of one watch.
	MaxAge func() time.Duration
	// IsCaughtUp, if not nil, reports whether the store, restored from a backup in the given era,
	// again contains everything that was written before. An error means that this is unknown.
	IsCaughtUp func(ctx context.Context, era int64) (bool, error)
	// StartWait, if not nil, returns how long a starting gateway waits for announcements before it
	// reads the store.
	StartWait func() time.Duration
	// OnTransfer, if not nil, is called after each attempt to receive a configuration, with its
	// size in bytes as sent, or the error.
	OnTransfer func(from Origin, bytes int, err error)
	// OnModeChange, if not nil, is called when this gateway begins to watch the store itself
	// (direct), and when it returns to relying on announcements.
	OnModeChange func(key string, direct bool)
}

// A Syncer keeps one gateway's configuration up to date. All methods are safe for concurrent
// use, except that Run must be called only once.
type Syncer struct {
	opts    Options
	history history
	// firstReadAt is when a gateway that has received no announcement reads the store.
	firstReadAt time.Time

	mu    sync.Mutex
	known knownVersion
	// heldCurrentAt is the latest time at which the held version is known to have been the newest.
	heldCurrentAt time.Time
	// readRevision is the revision up to which this gateway has read the store itself.
	readRevision kv.Revision
	// compactedRevision is a revision that the store can no longer be watched from, because it has compacted
	// the history after it. Other gateways may keep announcing that revision until they notice;
	// watching from it again would fail each time, and no gateway would learn of versions while there is
	// no leader.
	compactedRevision kv.Revision
	// storeOutdated reports whether the store, restored from a backup, contains an older version than
	// the one held. It may also lack versions newer than the held one, so a read does not confirm that the
	// held one is the newest.
	storeOutdated bool
	// fetchFailed reports whether fetching the newest version from its source failed. If so, the
	// store is read next.
	fetchFailed bool
	// changed is closed when the next step may differ. interrupt, if not nil, cancels the store read
	// in progress.
	changed   chan struct{}
	interrupt context.CancelFunc

	// The fields below belong to Run. direct reports whether the last step other than a fetch read
	// the store; lastCompaction is when a compaction was last noticed; catchUpSince is when this gateway
	// began to wait for a restored store to catch up.
	direct         bool
	lastCompaction time.Time
	catchUpSince   time.Time
}

// New returns a Syncer that holds no configuration.
func New(o Options) *Syncer {
	s := &Syncer{opts: o, changed: make(chan struct{}), firstReadAt: o.Clock.Now()}
	if o.StartWait != nil {
		s.firstReadAt = s.firstReadAt.Add(o.StartWait())
	}
	return s
}

// Announcement returns this gateway's announcement for other gateways.
func (s *Syncer) Announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.history.newest()
	if held < s.known.version {
		return Announcement{Version: held, AgeMs: unknownAge.Milliseconds()}
	}
	return Announcement{Version: held, Revision: s.known.revision, AgeMs: ageMs(s.opts.Clock.Now(), s.known.currentAt)}
}

// HandleAnnouncement processes the announcement in the response of the gateway at addr to a request sent at the
// time sentAt.
func (s *Syncer) HandleAnnouncement(announcement Announcement, addr string, sentAt time.Time) {
	if announcement.Version == 0 && announcement.Revision == 0 {
		return
	}
	age := time.Duration(announcement.AgeMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(knownVersion{version: announcement.Version, source: addr, currentAt: sentAt.Add(-age), revision: announcement.Revision})
}

// HandleVersion records that the gateway at addr holds a version, which need not be the newest.
func (s *Syncer) HandleVersion(version uint64, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.known.version {
		s.merge(knownVersion{version: version, source: addr})
	}
}

// merge updates what is known of the newest version, cancels a store read in progress if a newer
// version can be fetched, and wakes Run if its next step may differ. s.mu must be held.
func (s *Syncer) merge(update knownVersion) {
	wasStale := s.untilStale() <= 0
	newer := s.known.merge(update)
	if newer {
		s.fetchFailed = false
	}
	s.noteHeldCurrent(update)
	if newer && update.source != "" && s.interrupt != nil {
		s.interrupt()
	}
	if newer || wasStale && s.untilStale() > 0 {
		s.wake()
	}
}

// noteHeldCurrent advances heldCurrentAt after update has been merged into known. An update on a version
// newer than the held one does not confirm the held one. s.mu must be held.
func (s *Syncer) noteHeldCurrent(update knownVersion) {
	held := s.history.newest()
	switch {
	case held == 0:
	case held >= s.known.version:
		s.heldCurrentAt = clock.Later(s.heldCurrentAt, s.known.currentAt)
	case held >= update.version:
		s.heldCurrentAt = clock.Later(s.heldCurrentAt, update.currentAt)
	}
}

// CurrentAt returns the latest time at which the held configuration is known to have been the newest:
// whatever was written before it is in force here. It derives from the time at which a gateway sent its
// request to the store, never from the arrival of the response. It is zero while no configuration is held.
func (s *Syncer) CurrentAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldCurrentAt
}

// untilStale returns the time until the newest known version was last confirmed MaxAge ago. It is not
// positive if that time has passed. s.mu must be held.
func (s *Syncer) untilStale() time.Duration {
	return s.opts.MaxAge() - s.opts.Clock.Now().Sub(s.known.currentAt)
}

// Recheck makes Run call IsWatcher again. A gateway that has become the watcher ends its read of the
// store, since the watch of a gateway that reads for itself is too long for the others.
func (s *Syncer) Recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupt != nil && s.opts.IsWatcher() {
		s.interrupt()
	}
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
	// stepWait waits until the store has to be read or the next step may differ.
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
// watcher, after a failed fetch, and when the newest known version was last confirmed more than MaxAge
// ago. Otherwise Run waits until then or until the next step may differ.
func (s *Syncer) next() step {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := s.history.newest() < s.known.version
	if missing && s.known.source != "" && !s.fetchFailed {
		return step{kind: stepFetch, source: s.known.source}
	}
	if left := s.firstReadAt.Sub(s.opts.Clock.Now()); left > 0 && s.known.version == 0 && !s.opts.IsWatcher() {
		return step{kind: stepWait, wait: left, changed: s.changed}
	}
	remaining := s.untilStale()
	if missing || remaining <= 0 || s.opts.IsWatcher() {
		return step{kind: stepRead}
	}
	return step{kind: stepWait, wait: remaining, changed: s.changed}
}

// reportMode calls OnModeChange when this gateway changes between reading the store and relying on
// announcements.
func (s *Syncer) reportMode(k stepKind) {
	if k == stepFetch {
		return
	}
	direct := k == stepRead
	if direct != s.direct && s.opts.OnModeChange != nil {
		s.opts.OnModeChange(s.opts.Key, direct)
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
	version, err := s.opts.Applier.Apply(value, from)
	if err == nil {
		s.history.add(version, value)
	}
	return version, err
}
