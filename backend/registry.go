package backend

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// residencyMaxAge is how long the leader's residency takes precedence over the platform's list
// after the last update. It equals the duration of the leader's lease.
const residencyMaxAge = 3 * time.Second

// vanishedRetention is how long servers that vanished from the list together are kept. It is longer
// than the interval of heartbeats (1.2 s), so that running servers are listed again. Together with
// the time until a change of the list is noticed, it is short enough for servers that have stopped.
const vanishedRetention = 1300 * time.Millisecond

// A vanishedServer is a server that was removed from the list without having announced that it is
// leaving.
type vanishedServer struct {
	Server
	since time.Time
}

// A Registry holds the known servers. It is safe for concurrent use, and its zero value is empty
// and ready to use.
//
// If more than half of the servers of a service vanish from the list within vanishedRetention, the
// Registry assumes that the platform has lost its list and keeps them for that time. Servers that
// still run are listed again meanwhile.
type Registry struct {
	mu sync.Mutex
	// listed and vanished are keyed by Server.Name.
	listed         map[string]Server
	vanished       map[string]vanishedServer
	endedInstances endedInstances
	// residency is the leader's residency by Server.ID, last updated at residencyAt; nil if
	// unknown.
	residency   map[string]Residency
	residencyAt time.Time
	// warmupTime, if not nil, returns the warm-up time of a service's servers.
	warmupTime func(service string) time.Duration
	// evacuated holds the evacuated data halls.
	evacuated map[string]bool
	// hasAnnouncedLeaving, if not nil, reports whether a server instance has announced that it is
	// leaving.
	hasAnnouncedLeaving func(id string) bool
	snapshot            atomic.Pointer[Snapshot]
}

// Snapshot returns the current state of the known servers. It does not lock.
func (r *Registry) Snapshot() *Snapshot {
	if s := r.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Replace sets the whole list as of now and returns the servers that have restarted.
func (r *Registry) Replace(list []Server, now time.Time) []Restart {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.listed
	r.listed = make(map[string]Server, len(list))
	var restarts []Restart
	for _, s := range list {
		old, known := r.previous(before, s.Name())
		switch {
		case r.endedInstances.hasEnded(s):
			if old, ok := before[s.Name()]; ok {
				r.listed[s.Name()] = old
			}
			continue
		case known && old.ID != s.ID:
			restarts = append(restarts, r.endedInstances.end(old, s))
		}
		r.setListed(s, old, len(before) > 0, now)
	}
	for name, s := range before {
		if _, ok := r.listed[name]; !ok {
			r.recordVanished(s, now)
		}
	}
	r.rebuild(now)
	return restarts
}

// previous returns the record of a server in listed or, if it vanished lately, the vanished record.
func (r *Registry) previous(listed map[string]Server, name string) (Server, bool) {
	if s, ok := listed[name]; ok {
		return s, true
	}
	v, ok := r.vanished[name]
	return v.Server, ok
}

// setListed sets the record of a server. old is its previous record, or the zero Server. started
// is set if a server without one has started since the list was first received.
func (r *Registry) setListed(s, old Server, started bool, now time.Time) {
	s.WarmUntil = r.warmUntil(s, old, started, now)
	r.listed[s.Name()] = s
	delete(r.vanished, s.Name())
}

// warmUntil returns the end of a server's warm-up. A record that does not tell the remaining time
// leaves the end as it was; a server that has just started then takes the whole time.
func (r *Registry) warmUntil(s, old Server, started bool, now time.Time) time.Time {
	switch {
	case s.WarmupLeft > 0:
		return now.Add(s.WarmupLeft)
	case s.WarmupLeft == 0:
		return time.Time{}
	case old.ID == s.ID:
		return old.WarmUntil
	case started && r.warmupTime != nil:
		return now.Add(r.warmupTime(s.Service))
	}
	return time.Time{}
}

// SetWarmupTime sets the function that returns the warm-up time of a service's servers. It must be
// called before the Registry is used.
func (r *Registry) SetWarmupTime(f func(service string) time.Duration) { r.warmupTime = f }

// SetAnnouncedLeaving sets the function that reports whether a server instance has announced that
// it is leaving. Such a server is leaving whatever its record says. It must be called before the
// Registry is used, and Refresh whenever the function's results change.
func (r *Registry) SetAnnouncedLeaving(f func(id string) bool) { r.hasAnnouncedLeaving = f }

// isLeaving reports whether a server is leaving according to its record or its own announcement.
func (r *Registry) isLeaving(s Server) bool {
	return s.Leaving || r.hasAnnouncedLeaving != nil && r.hasAnnouncedLeaving(s.ID)
}

// Refresh publishes a new snapshot.
func (r *Registry) Refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebuild(now)
}

// recordVanished records a server that is no longer listed, unless it was leaving.
func (r *Registry) recordVanished(s Server, now time.Time) {
	if r.isLeaving(s) {
		return
	}
	if r.vanished == nil {
		r.vanished = make(map[string]vanishedServer)
	}
	r.vanished[s.Name()] = vanishedServer{Server: s, since: now}
}

// A Change is a new or changed record of a server, or its removal from the list.
type Change struct {
	Server
	// Removed is set if the server is no longer listed, Unusable if its record does not describe a
	// server. If either is set, only the server's name is used.
	Removed, Unusable bool
}

// removes reports whether the change removes the server.
func (c *Change) removes() bool { return c.Removed || c.Unusable }

// Apply applies changes of the list in order and returns the servers that have restarted.
func (r *Registry) Apply(changes []Change, now time.Time) []Restart {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		r.listed = make(map[string]Server)
	}
	started := len(r.listed) > 0
	differs := false
	var restarts []Restart
	for _, c := range changes {
		old, known := r.previous(r.listed, c.Name())
		switch {
		case c.removes():
			r.remove(c, now)
			differs = true
			continue
		case r.endedInstances.hasEnded(c.Server):
			continue
		case known && old.ID != c.ID:
			restarts = append(restarts, r.endedInstances.end(old, c.Server))
		}
		_, listed := r.listed[c.Name()]
		differs = differs || !listed || r.isVisible(old, c.Server)
		r.setListed(c.Server, old, started, now)
	}
	if differs {
		r.rebuild(now)
	}
	return restarts
}

// remove removes a server from the list. A server with an unusable record is not kept for
// vanishedRetention, since the platform still lists it.
func (r *Registry) remove(c Change, now time.Time) {
	old, known := r.listed[c.Name()]
	if known && c.Removed {
		r.recordVanished(old, now)
	}
	if c.Unusable {
		delete(r.vanished, c.Name())
	}
	delete(r.listed, c.Name())
}

// isVisible reports whether a new record of a server changes the snapshot. While the leader's
// residency is known for the server, only its Listing does.
func (r *Registry) isVisible(old, s Server) bool {
	_, known := r.residency[s.ID]
	return !known || old.Listing() != s.Listing()
}

// Update sets the record of one server.
func (r *Registry) Update(s Server, now time.Time) { r.Apply([]Change{{Server: s}}, now) }

// Remove records that the server is no longer listed under the name id.
func (r *Registry) Remove(id string, now time.Time) {
	r.Apply([]Change{{Server: Server{ID: id}, Removed: true}}, now)
}

// SetEvacuated replaces the set of evacuated data halls. Their servers accept no new requests.
func (r *Registry) SetEvacuated(halls map[string]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(halls, r.evacuated) {
		return
	}
	r.evacuated = maps.Clone(halls)
	r.rebuild(now)
}

// SetResidency replaces the leader's residency of all engines.
func (r *Registry) SetResidency(all map[string]Residency, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.residency, r.residencyAt = all, now
	r.rebuild(now)
}

// MergeResidency updates the leader's residency of the given engines. An empty update confirms that
// the rest is current.
func (r *Registry) MergeResidency(changed map[string]Residency, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.residencyAt = now
	if len(changed) == 0 {
		return
	}
	all := make(map[string]Residency, len(r.residency)+len(changed))
	maps.Copy(all, r.residency)
	maps.Copy(all, changed)
	r.residency = all
	r.rebuild(now)
}

// HasResidencyOf reports whether the leader's residency is known for a server.
func (r *Registry) HasResidencyOf(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.residency[id]
	return known
}

// HasResidency reports whether the leader's residency is known. If it is not, the caller must
// request all of it.
func (r *Registry) HasResidency() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.residency != nil
}

// Expire drops the leader's residency after residencyMaxAge without an update, and vanished servers
// after vanishedRetention. It reports whether anything has changed.
func (r *Registry) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	if r.residency != nil && now.Sub(r.residencyAt) >= residencyMaxAge {
		r.residency = nil
		changed = true
	}
	for name, v := range r.vanished {
		if now.Sub(v.since) >= vanishedRetention {
			delete(r.vanished, name)
			changed = true
		}
	}
	if changed {
		r.rebuild(now)
	}
	return changed
}

// retained returns the vanished servers of services that have lost more than half of their servers.
func (r *Registry) retained(now time.Time) []Server {
	if len(r.vanished) == 0 {
		return nil
	}
	lost := make(map[string]int)
	for _, s := range r.listed {
		lost[s.Service]--
	}
	for _, v := range r.vanished {
		lost[v.Service]++
	}
	var list []Server
	for _, v := range r.vanished {
		if lost[v.Service] > 0 && now.Sub(v.since) < vanishedRetention && !r.isLeaving(v.Server) {
			list = append(list, v.Server)
		}
	}
	return list
}

// rebuild publishes a new snapshot. r.mu must be held.
func (r *Registry) rebuild(now time.Time) {
	all := r.retained(now)
	for _, s := range r.listed {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	all, dropped := dropWithoutInstance(all)
	for i := range all {
		all[i].Evacuated = r.evacuated[all[i].Hall]
		all[i].Leaving = r.isLeaving(all[i])
		if published, ok := r.residency[all[i].ID]; ok {
			all[i].Residents = published.Residents
		}
	}
	snapshot := newSnapshot(all)
	snapshot.withoutInstance = dropped
	r.snapshot.Store(snapshot)
}
