package gateway

import (
	"hash/maphash"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/kv"
)

// A serverSink is whoever needs the servers as they are now; dispatch.Dispatcher is one.
type serverSink interface{ SetServers(*backend.Snapshot) }

// A serverList holds the backend servers and passes each change on to its sink.
type serverList struct {
	decoder  Decoder
	clock    clock.Service
	log      *zap.Logger
	sink     serverSink
	registry backend.Registry
	// seed makes digests, which are compared within this process only.
	seed   maphash.Seed
	listed atomic.Bool
	// unstarted are the servers that were left out last since they do not name their start. Only
	// the goroutine that follows the store uses it.
	unstarted []string
}

func newServerList(d Decoder, c clock.Service, log *zap.Logger, sink serverSink) *serverList {
	return &serverList{decoder: d, clock: c, log: log, sink: sink, seed: maphash.MakeSeed()}
}

// isListed reports whether the store's list has been read.
func (s *serverList) isListed() bool { return s.listed.Load() }

// refresh passes the servers on as they are now.
func (s *serverList) refresh() { s.sink.SetServers(s.registry.Snapshot()) }

// replace sets the store's list.
func (s *serverList) replace(list []backend.Server) {
	restarts := s.registry.Replace(list, s.clock.Now())
	s.listed.Store(true)
	s.log.Info("servers listed", zap.Int("count", len(list)))
	s.changed(restarts)
}

// apply applies changes of the store's list.
func (s *serverList) apply(changes []backend.Change) {
	s.changed(s.registry.Apply(changes, s.clock.Now()))
}

// changed logs what is special about the last change of the list and passes the servers on. What is
// kept of a server goes with its run: every table names servers by their IDs.
func (s *serverList) changed(restarts []backend.Restart) {
	for _, r := range restarts {
		s.log.Info("server restarted", zap.String("server", r.Now.ID), zap.String("former", r.Former.ID),
			zap.String("service", r.Now.Service), zap.String("addr", r.Now.Addr))
	}
	unstarted := s.registry.Snapshot().Unstarted()
	if !slices.Equal(unstarted, s.unstarted) {
		s.unstarted = unstarted
		s.log.Warn("servers without a start are not used", zap.Strings("servers", unstarted))
	}
	s.refresh()
}

// setResidency applies the leader's word on what engines hold: all of it, or what has changed.
func (s *serverList) setResidency(held map[string]backend.Residency, all bool) {
	now := s.clock.Now()
	if all {
		s.registry.SetResidency(held, now)
		return
	}
	s.registry.MergeResidency(held, now)
}

// expire forgets what is too old.
func (s *serverList) expire(now time.Time) {
	if s.registry.Expire(now) {
		s.refresh()
	}
}

// unusableDigest is the digest of every entry that describes no server.
const unusableDigest = 1

// digest returns a digest of what other gateways need to know of an entry: of a server its Listing and,
// as long as the leader does not publish that, what its engine holds; of an entry that describes no
// server just that.
func (s *serverList) digest(prefix string, e kv.Entry) uint64 {
	if prefix != s.decoder.ServerPrefix() {
		return uint64(e.Revision)
	}
	srv, err := s.decoder.Server(e.Key, e.Value)
	if err != nil {
		return unusableDigest
	}
	var h maphash.Hash
	h.SetSeed(s.seed)
	maphash.WriteComparable(&h, srv.Listing())
	if !s.registry.IsPublished(srv.ID) {
		writeResidents(&h, srv.Residents)
	}
	return h.Sum64()
}

func writeResidents(h *maphash.Hash, residents []backend.Resident) {
	for _, r := range residents {
		maphash.WriteComparable(h, r.Model)
		maphash.WriteComparable(h, r.Version)
		for _, adapter := range r.Adapters {
			maphash.WriteComparable(h, adapter)
		}
	}
}
