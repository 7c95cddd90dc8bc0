package backend

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// residencyMaxAge is how long the leader's residency takes precedence over the platform's
// list when no further one comes: a leader's lease lasts as long.
const residencyMaxAge = 3 * time.Second

// vanishedTime is how long servers that vanished from the list together are kept: long
// enough for a heartbeat (1.2 s) of those that live, and with the time in which changes are
// noticed short enough for those that left.
const vanishedTime = 1300 * time.Millisecond

// A vanishedServer is no longer listed and never said that it leaves.
type vanishedServer struct {
	Server
	since time.Time
}

// A Registry holds the known servers; its zero value is empty and ready to use. It is safe
// for concurrent use.
//
// When more than half of a service's servers vanish from the list at about the same time,
// the platform has lost its list, not the servers: they are kept for vanishedTime, in which
// those that live are listed again.
type Registry struct {
	mu sync.Mutex
	// listed and vanished hold servers by their names.
	listed   map[string]Server
	vanished map[string]vanishedServer
	former   formerRuns
	// residency was published by the leader and last came at residencyAt; nil without one.
	residency   map[string]Residency
	residencyAt time.Time
	snapshot    atomic.Pointer[Snapshot]
}

// Snapshot returns the servers as they are known now.
func (r *Registry) Snapshot() *Snapshot {
	if s := r.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Replace sets the whole list as it is at a time and returns the servers that have restarted.
func (r *Registry) Replace(list []Server, now time.Time) []Restart {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.listed
	r.listed = make(map[string]Server, len(list))
	var restarts []Restart
	for _, s := range list {
		old, known := r.previous(before, s.Name())
		switch {
		case r.former.isOver(s):
			if old, ok := before[s.Name()]; ok {
				r.listed[s.Name()] = old
			}
			continue
		case known && old.ID != s.ID:
			restarts = append(restarts, r.former.end(old, s))
		}
		r.list(s)
	}
	for name, s := range before {
		if _, ok := r.listed[name]; !ok {
			r.noteVanished(s, now)
		}
	}
	r.rebuild(now)
	return restarts
}

// previous returns the record of a name in a list, or the one that vanished from it lately.
func (r *Registry) previous(listed map[string]Server, name string) (Server, bool) {
	if s, ok := listed[name]; ok {
		return s, true
	}
	v, ok := r.vanished[name]
	return v.Server, ok
}

// list sets the record of one server.
func (r *Registry) list(s Server) {
	r.listed[s.Name()] = s
	delete(r.vanished, s.Name())
}

// noteVanished remembers a server that is no longer listed, unless it said that it leaves.
func (r *Registry) noteVanished(s Server, now time.Time) {
	if s.Leaving {
		return
	}
	if r.vanished == nil {
		r.vanished = make(map[string]vanishedServer)
	}
	r.vanished[s.Name()] = vanishedServer{Server: s, since: now}
}

// A Change is a server that came or changed, or one that is no longer listed.
type Change struct {
	Server
	// Gone says that the server is no longer listed, Unusable that its record does not describe
	// a server; only the server's name counts then.
	Gone, Unusable bool
}

// removes reports whether no server is listed under the name any more.
func (c *Change) removes() bool { return c.Gone || c.Unusable }

// Apply applies changes of the list at a time, in their order, and returns the servers that have
// restarted.
func (r *Registry) Apply(changes []Change, now time.Time) []Restart {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		r.listed = make(map[string]Server)
	}
	differs := false
	var restarts []Restart
	for _, c := range changes {
		old, known := r.previous(r.listed, c.Name())
		switch {
		case c.removes():
			r.remove(c, now)
			differs = true
			continue
		case r.former.isOver(c.Server):
			continue
		case known && old.ID != c.ID:
			restarts = append(restarts, r.former.end(old, c.Server))
		}
		_, listed := r.listed[c.Name()]
		differs = differs || !listed || r.isVisible(old, c.Server)
		r.list(c.Server)
	}
	if differs {
		r.rebuild(now)
	}
	return restarts
}

// remove takes a server off the list. One whose record became unusable is not kept for
// vanishedTime: the platform has not lost it.
func (r *Registry) remove(c Change, now time.Time) {
	old, known := r.listed[c.Name()]
	if known && c.Gone {
		r.noteVanished(old, now)
	}
	if c.Unusable {
		delete(r.vanished, c.Name())
	}
	delete(r.listed, c.Name())
}

// isVisible reports whether a server's new record shows in a snapshot: what it holds does
// not while the leader's residency of it is known.
func (r *Registry) isVisible(old, s Server) bool {
	_, known := r.residency[s.ID]
	return !known || old.Listing() != s.Listing()
}

// Update sets one server at a time.
func (r *Registry) Update(s Server, now time.Time) { r.Apply([]Change{{Server: s}}, now) }

// Remove notes that a server is no longer listed at a time.
func (r *Registry) Remove(id string, now time.Time) {
	r.Apply([]Change{{Server: Server{ID: id}, Gone: true}}, now)
}

// SetResidency sets the residency of all engines, as the leader published it, at a time.
func (r *Registry) SetResidency(all map[string]Residency, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.residency, r.residencyAt = all, now
	r.rebuild(now)
}

// MergeResidency applies what has changed in the leader's residency at a time.
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

// IsPublished reports whether the leader publishes what a server's engine holds.
func (r *Registry) IsPublished(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.residency[id]
	return known
}

// HasResidency reports whether a leader's residency is known; after it was forgotten all of
// it must be asked for again.
func (r *Registry) HasResidency() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.residency != nil
}

// Expire forgets what is too old: the residency of a leader that has not published for long,
// and vanished servers. It reports whether anything has changed.
func (r *Registry) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	if r.residency != nil && now.Sub(r.residencyAt) >= residencyMaxAge {
		r.residency = nil
		changed = true
	}
	for name, v := range r.vanished {
		if now.Sub(v.since) >= vanishedTime {
			delete(r.vanished, name)
			changed = true
		}
	}
	if changed {
		r.rebuild(now)
	}
	return changed
}

// retained returns the vanished servers of services that have lost more than half of their
// servers.
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
		if lost[v.Service] > 0 && now.Sub(v.since) < vanishedTime {
			list = append(list, v.Server)
		}
	}
	return list
}

// rebuild makes a new snapshot.
func (r *Registry) rebuild(now time.Time) {
	all := r.retained(now)
	for _, s := range r.listed {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	all, unstarted := withoutUnstarted(all)
	for i := range all {
		if held, ok := r.residency[all[i].ID]; ok {
			all[i].Residents = held.Residents
		}
	}
	snapshot := newSnapshot(all)
	snapshot.unstarted = unstarted
	r.snapshot.Store(snapshot)
}
