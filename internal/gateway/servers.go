package gateway

import (
	"hash/maphash"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/internal/telemetry"
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
	s.registry.Replace(list, s.clock.Now())
	s.listed.Store(true)
	s.log.Info("servers listed", zap.Int("count", len(list)))
	s.refresh()
}

// apply applies changes of the store's list.
func (s *serverList) apply(changes []backend.Change) {
	s.registry.Apply(changes, s.clock.Now())
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

// decode decodes a server's entry; one that cannot be decoded is logged and left out.
func (s *serverList) decode(e kv.Entry) (backend.Server, bool) {
	srv, err := s.decoder.Server(e.Key, e.Value)
	if err != nil {
		s.log.Error("server not understood", zap.String("key", e.Key), telemetry.Error(err))
		return backend.Server{}, false
	}
	return srv, true
}

// digest returns a digest of what other gateways need to know of an entry: of a server its
// Listing. An entry that cannot be decoded counts as changed with each revision; whoever applies
// it logs the error.
func (s *serverList) digest(prefix string, e kv.Entry) uint64 {
	if prefix != s.decoder.ServerPrefix() {
		return uint64(e.Revision)
	}
	srv, err := s.decoder.Server(e.Key, e.Value)
	if err != nil {
		return uint64(e.Revision)
	}
	return maphash.Comparable(s.seed, srv.Listing())
}
