package backend

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A VersionHistory records which software versions the servers of each service have run recently. It is safe for
// concurrent use.
type VersionHistory struct {
	// retention is how long a version is kept after its last server has gone.
	retention time.Duration

	mu sync.Mutex
	// observedSince is the time of the first observation; zero before it. complete is set if no server has run another
	// version earlier.
	observedSince time.Time
	complete      bool
	services      map[string]serviceVersions
}

// serviceVersions holds the time at which the last server of each version was last seen. The zero time stands for a
// version that a listed server runs.
type serviceVersions map[string]time.Time

// NewVersionHistory returns an empty VersionHistory.
func NewVersionHistory(retention time.Duration) *VersionHistory {
	return &VersionHistory{retention: retention, services: make(map[string]serviceVersions)}
}

// SetComplete records that no server has run another version before the first observation.
func (h *VersionHistory) SetComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
}

// Merge adds versions that servers ran until now, by service, as another VersionHistory reports them. Its reports and the
// later observations cover all versions.
func (h *VersionHistory) Merge(reported map[string][]string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, versions := range reported {
		for _, version := range versions {
			if _, known := h.services[service][version]; !known {
				h.of(service)[version] = now
			}
		}
	}
	h.complete = true
}

// of returns the versions of a service, which may be changed. h.mu must be held.
func (h *VersionHistory) of(service string) serviceVersions {
	versions := h.services[service]
	if versions == nil {
		versions = make(serviceVersions)
		h.services[service] = versions
	}
	return versions
}

// Observe records the servers that are known now.
func (h *VersionHistory) Observe(s *Snapshot, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedSince.IsZero() {
		h.observedSince = now
	}
	for service, versions := range h.services {
		versions.markGone(s.Service(service), now)
		maps.DeleteFunc(versions, func(_ string, gone time.Time) bool { return !gone.IsZero() && now.Sub(gone) > h.retention })
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
	for service, servers := range s.byService {
		versions := h.of(service)
		for _, server := range servers {
			versions[server.Version] = time.Time{}
		}
	}
}

// markGone records that the versions of a service that none of its servers runs any more are gone.
func (v serviceVersions) markGone(servers []*Server, now time.Time) {
	for version, gone := range v {
		isRun := slices.ContainsFunc(servers, func(s *Server) bool { return s.Version == version })
		if gone.IsZero() && !isRun {
			v[version] = now
		}
	}
}

// Versions returns the versions that servers of a service have run within the retention, sorted. complete is false if
// the observations do not yet cover that time.
func (h *VersionHistory) Versions(service string, now time.Time) (versions []string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recent(service, now), h.isComplete(now)
}

// All returns the versions of all services, as Versions does.
func (h *VersionHistory) All(now time.Time) (versions map[string][]string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions = make(map[string][]string, len(h.services))
	for service := range h.services {
		if recent := h.recent(service, now); len(recent) > 0 {
			versions[service] = recent
		}
	}
	return versions, h.isComplete(now)
}

func (h *VersionHistory) recent(service string, now time.Time) []string {
	var versions []string
	for version, gone := range h.services[service] {
		if gone.IsZero() || now.Sub(gone) <= h.retention {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

func (h *VersionHistory) isComplete(now time.Time) bool {
	isObserved := !h.observedSince.IsZero()
	return isObserved && (h.complete || now.Sub(h.observedSince) >= h.retention)
}
