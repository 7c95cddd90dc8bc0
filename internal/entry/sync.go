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

// Timeouts and limits of the synchronization between entries.
const (
	// syncTimeout bounds the time until another entry starts to respond, and then each pause in its
	// response. It does not bound the whole response, which may contain the full table.
	syncTimeout = 2 * time.Second
	// tableWatchTimeout is the timeout of one watch of the table.
	tableWatchTimeout = 20 * time.Second
	// staleAfter is the time without a response from another entry after which an entry watches the
	// table itself.
	staleAfter = 4 * time.Second
	// watchRetryInterval is the interval between checks whether this entry should watch the table,
	// and the delay after a failed watch.
	watchRetryInterval = 500 * time.Millisecond
	// tableWatchers is the number of entries that watch the table even if they plan no cell.
	tableWatchers = 4
)

// tableKey is the rendezvous key by which entries are ranked for watching the table.
const tableKey = "table"

// A syncer replicates the table, the servers' records and the quarantined requests between entries.
// At each interval it pulls changes from another entry chosen at random.
type syncer struct {
	// ctx is canceled when the entry stops.
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
	// lastSync is the time of the last response from another entry. tableRevision is the revision
	// of the table's key at the last watch.
	lastSync      time.Time
	tableRevision kv.Revision
	// running reports whether an exchange is in progress.
	running bool
	// links holds the quarantine exchange with each other entry, by id. Only the exchange in
	// progress uses it.
	links map[string]*quarantine.Link
}

// step starts an exchange unless one is in progress.
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

// exchange pulls changes from another entry chosen at random.
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
	var resp wire.SyncResponse
	link := s.link(peer.ID)
	err := s.peers.PostWithStallTimeout(s.ctx, syncTimeout, peer.Control, wire.PathSync, s.request(link.Message(peer.ID)), &resp)
	if err != nil {
		s.log.Debug("sync with another entry failed", zap.String("peer", peer.ID), zap.Error(err))
		return
	}
	link.ApplyReply(resp.Quarantine)
	s.apply(resp)
}

// link returns the quarantine exchange with another entry.
func (s *syncer) link(id string) *quarantine.Link {
	l := s.links[id]
	if l == nil {
		l = quarantine.NewLink(s.quarantine, quarantine.AllRecords)
		s.links[id] = l
	}
	return l
}

// request returns a request that states the versions this entry has.
func (s *syncer) request(m quarantine.Message) wire.SyncRequest {
	return wire.SyncRequest{
		From: s.id, Table: s.replica.Current().Version(), Cells: s.view.Digest(), Quarantine: m,
	}
}

// apply merges another entry's response.
func (s *syncer) apply(resp wire.SyncResponse) {
	if s.replica.Merge(resp.Table) {
		s.log.Info("table in force", zap.Uint64("version", s.replica.Current().Version()), zap.String("from", "entry"))
	}
	s.view.Merge(resp.Cells)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSync = s.clock.Now()
}

// handleSync responds to another entry with the changes that it lacks.
func (s *syncer) handleSync(c echo.Context) error {
	var r wire.SyncRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	t := s.replica.Current()
	resp := wire.SyncResponse{Table: t.DeltaSince(r.Table), TableVersion: t.Version()}
	if !r.TableOnly {
		resp.Cells = s.view.DeltasSince(r.Cells)
		resp.Quarantine = s.quarantine.Answer(r.Quarantine, quarantine.AllRecords)
	}
	return c.JSON(http.StatusOK, resp)
}

// watchTable follows the table in the platform's key-value service while shouldWatch reports that
// this entry should.
func (s *syncer) watchTable() {
	for s.ctx.Err() == nil {
		if !s.shouldWatch() {
			s.waitToRetry()
			continue
		}
		if err := s.watchOnce(); err != nil {
			s.log.Debug("watching the table failed", zap.Error(err))
			s.waitToRetry()
		}
	}
}

func (s *syncer) waitToRetry() { clock.Sleep(s.ctx, s.clock, watchRetryInterval) }

// shouldWatch reports whether this entry should watch the table. It should if it has no table yet,
// plans a cell, ranks among the first tableWatchers entries or has had no response from another
// entry for staleAfter. All other entries receive changes from those that watch.
func (s *syncer) shouldWatch() bool {
	if s.replica.Current().Version() == 0 || len(s.planner.HeldCells()) > 0 {
		return true
	}
	if planner.Rank(s.id, s.members.Entries(), tableKey) < tableWatchers {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Sub(s.lastSync) > staleAfter
}

// watchOnce waits for a table newer than the one in force and puts it in force.
func (s *syncer) watchOnce() error {
	current := s.replica.Current()
	s.mu.Lock()
	after := s.tableRevision
	s.mu.Unlock()
	t, rev, err := s.tableLog.Watch(s.ctx, current, after, tableWatchTimeout)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.tableRevision = rev
	s.mu.Unlock()
	s.storeIfNewer(t)
	return nil
}

// storeIfNewer puts a table in force if it is newer than the current one.
func (s *syncer) storeIfNewer(t *table.Table) {
	if s.replica.StoreIfNewer(t) {
		s.log.Info("table in force", zap.Uint64("version", t.Version()), zap.String("from", "kv"))
	}
}
