package gateway

import (
	"hash/maphash"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/internal/placer"
	"rockcleat/kv"
	"rockcleat/resumption"
)

// A serverSink receives the current servers after each change; dispatch.Dispatcher implements it.
type serverSink interface{ SetServers(*backend.Snapshot) }

// A serverList holds the backend servers and notifies its sink of changes.
type serverList struct {
	decoder Decoder
	clock   clock.Service
	log     *zap.Logger
	sink    serverSink
	// onChange, if not nil, is called after a change of the platform's list that changes the snapshot.
	onChange func()
	// onRestart, if not nil, is called with the former instance of each server that has restarted.
	onRestart func(previous backend.Server)
	registry  backend.Registry
	// versions records the software versions that the listed servers have run recently.
	versions *backend.VersionHistory
	// seed is the seed of digests, which are compared only within this process.
	seed   maphash.Seed
	listed atomic.Bool
	// evacuationsKnown is set once the evacuated data halls have been read from the store. Until then the sink gets no
	// servers.
	evacuationsKnown atomic.Bool
	// refreshMu serializes the lists that the sink gets.
	refreshMu sync.Mutex
	// residencyMu serializes changes of the residency. newer holds what has been received since the last reply to a
	// report.
	residencyMu sync.Mutex
	newer       newerResidency
	// withoutInstance holds the servers that were last excluded because their record has no instance id. It is used
	// only by the goroutine that follows the store.
	withoutInstance []string
}

func newServerList(d Decoder, c clock.Service, log *zap.Logger, sink serverSink) *serverList {
	return &serverList{decoder: d, clock: c, log: log, sink: sink, seed: maphash.MakeSeed(), versions: backend.NewVersionHistory(resumption.Retention)}
}

// isListed reports whether the list has been read from the store.
func (s *serverList) isListed() bool { return s.listed.Load() }

// knowsEvacuations reports whether the evacuated data halls have been read from the store.
func (s *serverList) knowsEvacuations() bool { return s.evacuationsKnown.Load() }

// refresh sends the current servers to the sink, once the evacuated data halls are known.
func (s *serverList) refresh() {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	if s.knowsEvacuations() {
		s.sink.SetServers(s.registry.Snapshot())
	}
}

// setEvacuated replaces the set of evacuated data halls.
func (s *serverList) setEvacuated(halls map[string]bool) {
	s.registry.SetEvacuated(halls, s.clock.Now())
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	s.sink.SetServers(s.registry.Snapshot())
	// Readiness depends on it, so the sink has the servers before.
	s.evacuationsKnown.Store(true)
}

// replace replaces the list read from the store.
func (s *serverList) replace(list []backend.Server) {
	restarts := s.registry.Replace(list, s.clock.Now())
	s.listChanged(restarts)
	s.listed.Store(true)
	s.log.Info("servers listed", zap.Int("count", len(list)))
}

// apply applies changes to the list.
func (s *serverList) apply(changes []backend.Change) {
	before := s.registry.Snapshot()
	s.listChanged(s.registry.Apply(changes, s.clock.Now()))
	if s.onChange != nil && s.registry.Snapshot() != before {
		s.onChange()
	}
}

// listChanged logs restarted and excluded servers and notifies the sink. State kept about a restarted server needs no
// reset, because each instance has its own ID.
func (s *serverList) listChanged(restarts []backend.Restart) {
	for _, r := range restarts {
		s.log.Info("server restarted", zap.String("server", r.Current.ID), zap.String("former", r.Previous.ID),
			zap.String("service", r.Current.Service), zap.String("addr", r.Current.Addr))
		if s.onRestart != nil {
			s.onRestart(r.Previous)
		}
	}
	s.versions.Observe(s.registry.Snapshot(), s.clock.Now())
	withoutInstance := s.registry.Snapshot().WithoutInstance()
	if !slices.Equal(withoutInstance, s.withoutInstance) {
		s.withoutInstance = withoutInstance
		s.log.Warn("servers without an instance id are not used", zap.Strings("servers", withoutInstance))
	}
	s.refresh()
}

// setResidency applies the residency in the leader's reply to a report.
func (s *serverList) setResidency(reply placer.Reply) {
	s.residencyMu.Lock()
	defer s.residencyMu.Unlock()
	residency := s.newer.merge(reply.Residency, reply.ResidencyVersion)
	now := s.clock.Now()
	if reply.Full {
		s.registry.SetResidency(residency, now)
		return
	}
	s.registry.MergeResidency(residency, now)
}

// addHolders applies the leader's reply to a poll for missing models and adapters. It is ignored until a report has
// delivered the residency of all engines.
func (s *serverList) addHolders(h placer.Holders) {
	if len(h.Residency) == 0 {
		return
	}
	s.residencyMu.Lock()
	if s.registry.HasResidency() {
		s.newer.add(h.Residency, h.Version)
		s.registry.MergeResidency(h.Residency, s.clock.Now())
	}
	s.residencyMu.Unlock()
	s.refresh()
}

// A newerResidency holds the residency of engines that is newer than the last reply to a report, with its version.
type newerResidency struct {
	version int64
	byID    map[string]backend.Residency
}

// add adds the residency of engines as of a version.
func (n *newerResidency) add(residency map[string]backend.Residency, version int64) {
	if n.byID == nil {
		n.byID = make(map[string]backend.Residency)
	}
	n.version = max(n.version, version)
	maps.Copy(n.byID, residency)
}

// merge returns the residency in a reply as of a version, with the engines for which there is a newer one replaced. A
// reply as of a later version or another term supersedes all of them.
func (n *newerResidency) merge(reply map[string]backend.Residency, version int64) map[string]backend.Residency {
	if n.byID == nil || version >= n.version || !placer.IsSameTerm(version, n.version) {
		*n = newerResidency{}
		return reply
	}
	merged := maps.Clone(reply)
	for id := range merged {
		if newer, ok := n.byID[id]; ok {
			merged[id] = newer
		}
	}
	return merged
}

// expire removes outdated residency and servers that left the list some time ago.
func (s *serverList) expire(now time.Time) {
	if s.registry.Expire(now) {
		s.refresh()
	}
}

// unusableDigest is the digest of all entries that cannot be decoded.
const unusableDigest = 1

// digest returns a digest of the parts of an entry that other gateways need. For a server these are its Listing and,
// while the leader does not publish the server's residency, the residents in the entry.
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
	if !s.registry.HasResidencyOf(srv.ID) {
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
