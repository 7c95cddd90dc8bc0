package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/fleet"
	"rockcleat/internal/planner"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/quarantine"
	"rockcleat/table"
)

// Times and counts of the spreading of state. docs/CAPACITY.md has its traffic.
const (
	// syncTimeout bounds the time until another entry answers, and each time in which no more
	// of its answer arrives: an answer may carry the whole table.
	syncTimeout = 2 * time.Second
	// tableWait is how long one watch of the table waits.
	tableWait = 20 * time.Second
	// staleAfter is how long an entry without news from another one goes before it reads the
	// table itself.
	staleAfter = 4 * time.Second
	// watchPause is the time between two looks whether to watch, and before the next watch
	// after one that failed.
	watchPause = 500 * time.Millisecond
	// watchers is the number of entries that watch the table although they plan no cell.
	watchers = 4
)

// tableKey is the key of the ranking for watching the table.
const tableKey = "table"

// A syncer spreads the table and the servers' records between entries, by asking one other
// entry at random for what is new on each tick.
type syncer struct {
	// ctx ends with the entry.
	ctx        context.Context
	id         string
	replica    *table.Replica
	view       *fleet.View
	tableLog   *table.Log
	members    *members
	planner    *planner.Planner
	quarantine *quarantine.Table
	peers      *wire.Client
	clock      clock.Service
	log        *zap.Logger

	mu sync.Mutex
	// lastSync is when another entry last answered, revision the store's at the last watch.
	lastSync time.Time
	revision kv.Revision
	// running says that an exchange is under way.
	running bool
	// links exchange what is in quarantine with each other entry, by id. They belong to the exchange that
	// is under way.
	links map[string]*quarantine.Link
}

// step asks one other entry for what is new.
func (s *syncer) step() {
	s.mu.Lock()
	if s.running {
		s.mu.Unlock()
		return
	}
	s.running = true
	s.mu.Unlock()
	go s.exchange()
}

// exchange asks an entry chosen at random for what is new.
func (s *syncer) exchange() {
	defer func() {
		s.mu.Lock()
		s.running = false
		s.mu.Unlock()
	}()
	peers := s.members.peers()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	var a wire.SyncAnswer
	link := s.link(peer.ID)
	err := s.peers.PostWithin(s.ctx, syncTimeout, peer.Control, wire.PathSync, s.request(link.Message(peer.ID)), &a)
	if err != nil {
		s.log.Debug("no answer from entry", zap.String("peer", peer.ID), zap.Error(err))
		return
	}
	link.Apply(a.Quarantine)
	s.apply(a)
}

// link returns the exchange with another entry.
func (s *syncer) link(id string) *quarantine.Link {
	l := s.links[id]
	if l == nil {
		l = quarantine.NewLink(s.quarantine, quarantine.AllEnds)
		s.links[id] = l
	}
	return l
}

// request says what this entry has.
func (s *syncer) request(m quarantine.Message) wire.SyncRequest {
	return wire.SyncRequest{
		From: s.id, Table: s.replica.Current().Version(), Cells: s.view.Digest(), Quarantine: m,
	}
}

// apply applies another entry's answer.
func (s *syncer) apply(a wire.SyncAnswer) {
	if s.replica.Merge(a.Table) {
		s.log.Info("table in force", zap.Uint64("version", s.replica.Current().Version()), zap.String("from", "entry"))
	}
	s.view.Merge(a.Cells)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSync = s.clock.Now()
}

// answer gives another entry what it lacks.
func (s *syncer) answer(c echo.Context) error {
	var r wire.SyncRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	t := s.replica.Current()
	a := wire.SyncAnswer{Table: t.Since(r.Table), TableVersion: t.Version()}
	if !r.TableOnly {
		a.Cells = s.view.Since(r.Cells)
		a.Quarantine = s.quarantine.Answer(r.Quarantine, quarantine.AllEnds)
	}
	return c.JSON(http.StatusOK, a)
}

// watchTable follows the table in the platform's service, if this entry is one
// that should or is cut off from the others.
func (s *syncer) watchTable() {
	for s.ctx.Err() == nil {
		if !s.shouldWatch() {
			s.pause()
			continue
		}
		if err := s.watchOnce(); err != nil {
			s.log.Debug("table not watched", zap.Error(err))
			s.pause()
		}
	}
}

// pause waits before the next look at the table.
func (s *syncer) pause() { clock.Sleep(s.ctx, s.clock, watchPause) }

// shouldWatch reports whether the entry is to watch the table: few entries do, and the others
// learn of changes from them.
func (s *syncer) shouldWatch() bool {
	if s.replica.Current().Version() == 0 || len(s.planner.Held()) > 0 {
		return true
	}
	if planner.Rank(s.id, s.members.Entries(), tableKey) < watchers {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Sub(s.lastSync) > staleAfter
}

// watchOnce waits for a newer table than the one in force.
func (s *syncer) watchOnce() error {
	have := s.replica.Current()
	s.mu.Lock()
	after := s.revision
	s.mu.Unlock()
	t, rev, err := s.tableLog.Watch(s.ctx, have, after, tableWait)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.revision = rev
	s.mu.Unlock()
	s.offer(t)
	return nil
}

// offer puts a table in force if it is newer.
func (s *syncer) offer(t *table.Table) {
	if s.replica.Offer(t) {
		s.log.Info("table in force", zap.Uint64("version", t.Version()), zap.String("from", "kv"))
	}
}
