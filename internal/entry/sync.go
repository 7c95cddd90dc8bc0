package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/internal/planner"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/table"
)

// Times of the spreading of state.
const (
	syncTimeout = 2 * time.Second
	// tableWait is how long one watch of the table waits.
	tableWait = 20 * time.Second
	// staleAfter is how long an entry without news from another one goes before
	// it reads the table itself.
	staleAfter = 4 * time.Second
	watchPause = 500 * time.Millisecond
)

// watchers is the number of entries that watch the table although they plan no cell.
const watchers = 4

// tableKey is the key of the ranking for watching the table.
const tableKey = "table"

// A syncer spreads the table and the servers' records between entries, by
// asking one other entry at random for what is new on each tick.
type syncer struct {
	e *Entry

	mu       sync.Mutex
	lastSync time.Time
	revision kv.Revision
	running  bool
}

func newSyncer(e *Entry) *syncer { return &syncer{e: e} }

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

func (s *syncer) exchange() {
	defer func() {
		s.mu.Lock()
		s.running = false
		s.mu.Unlock()
	}()
	peers := s.e.members.peers()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(s.e.ctx, syncTimeout)
	defer cancel()
	var a wire.SyncAnswer
	err := s.e.peers.Post(ctx, peer.Control, wire.PathSync, s.request(), &a)
	if err != nil {
		s.e.log.Debug("no answer from entry", zap.String("peer", peer.ID), zap.Error(err))
		return
	}
	s.take(a)
}

func (s *syncer) request() wire.SyncRequest {
	return wire.SyncRequest{
		From: s.e.settings.ID, Table: s.e.replica.Current().Version(), Cells: s.e.view.Digest(),
	}
}

func (s *syncer) take(a wire.SyncAnswer) {
	if s.e.replica.Merge(a.Table) {
		s.e.log.Info("table in force", zap.Uint64("version", s.e.replica.Current().Version()), zap.String("from", "entry"))
	}
	s.e.view.Merge(a.Cells)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSync = s.e.clock.Now()
}

// answer gives another entry what it lacks.
func (s *syncer) answer(c echo.Context) error {
	var r wire.SyncRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	t := s.e.replica.Current()
	a := wire.SyncAnswer{Table: t.Since(r.Table), TableVersion: t.Version()}
	if !r.TableOnly {
		a.Cells = s.e.view.Since(r.Cells)
	}
	return c.JSON(http.StatusOK, a)
}

// watchTable follows the table in the platform's service, if this entry is one
// that should or is cut off from the others.
func (s *syncer) watchTable() {
	for s.e.ctx.Err() == nil {
		if !s.shouldWatch() {
			s.pause()
			continue
		}
		if err := s.watchOnce(); err != nil {
			s.e.log.Debug("table not watched", zap.Error(err))
			s.pause()
		}
	}
}

func (s *syncer) pause() {
	select {
	case <-time.After(watchPause):
	case <-s.e.ctx.Done():
	}
}

// shouldWatch reports whether the entry is to watch the table: few entries do,
// and the others hear of it from them.
func (s *syncer) shouldWatch() bool {
	if s.e.replica.Current().Version() == 0 || len(s.e.planner.Held()) > 0 {
		return true
	}
	if planner.Rank(s.e.settings.ID, s.e.members.Entries(), tableKey) < watchers {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.e.clock.Now().Sub(s.lastSync) > staleAfter
}

func (s *syncer) watchOnce() error {
	have := s.e.replica.Current()
	s.mu.Lock()
	after := s.revision
	s.mu.Unlock()
	t, rev, err := s.e.tableLog.Watch(s.e.ctx, have, after, tableWait)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.revision = rev
	s.mu.Unlock()
	s.offer(t)
	return nil
}

func (s *syncer) offer(t *table.Table) {
	if s.e.replica.Offer(t) {
		s.e.log.Info("table in force", zap.Uint64("version", t.Version()), zap.String("from", "kv"))
	}
}
