package backend

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A Resident is a model that an engine holds, with its adapters.
type Resident struct {
	Model    string   `json:"m"`
	Version  int      `json:"v,omitempty"`
	Adapters []string `json:"a,omitempty"`
}

// Clone returns a copy that shares nothing.
func (r Resident) Clone() Resident {
	r.Adapters = slices.Clone(r.Adapters)
	return r
}

// Has reports whether the adapter is there; the empty name is the model itself.
func (r Resident) Has(adapter string) bool {
	return adapter == "" || slices.Contains(r.Adapters, adapter)
}

// A Server is what is known of one run of a backend server.
type Server struct {
	// ID names this run; a restarted server has another.
	ID      string
	Service string
	Addr    string
	Hall    string
	// Slots is the number of requests it works on at once.
	Slots int
	// Leaving tells that it takes no new requests.
	Leaving   bool
	Residents []Resident
	// InMemory and OnDisk name the models whose weights the server has at hand.
	CachedInMemory, CachedOnDisk []string
}

// Holds reports whether the server has a model and adapter ready.
func (s *Server) Holds(model, adapter string) bool {
	for _, r := range s.Residents {
		if r.Model == model {
			return r.Has(adapter)
		}
	}
	return false
}

// A Residency is what the holder of orders says that an engine holds.
type Residency struct {
	Residents []Resident `json:"r"`
}

// A Snapshot is the state of a Registry at one moment; it is not to be changed.
type Snapshot struct {
	servers   map[string]*Server
	byService map[string][]*Server
	byModel   map[modelKey][]*Server
}

// A modelKey names a model of one service.
type modelKey struct{ service, model string }

// Server returns a server by its id.
func (s *Snapshot) Server(id string) (*Server, bool) {
	srv, ok := s.servers[id]
	return srv, ok
}

// Service returns the servers of a service in the order of their ids.
func (s *Snapshot) Service(name string) []*Server { return s.byService[name] }

// Holding returns the servers of a service that hold a model, in the order of their
// ids; all of them for the empty name.
func (s *Snapshot) Holding(service, model string) []*Server {
	if model == "" {
		return s.byService[service]
	}
	return s.byModel[modelKey{service: service, model: model}]
}

// Len returns the number of servers.
func (s *Snapshot) Len() int { return len(s.servers) }

// residencyTrust is how long the word of the holder of orders goes before the
// platform's list when no further word comes.
const residencyTrust = 3 * time.Second

// vanishTime is how long servers that vanished from the list together are kept:
// long enough for the heartbeats of those that live, and with the time in which
// changes are noticed short enough for those that left.
const vanishTime = 1300 * time.Millisecond

// A vanished server is no longer listed and never said that it leaves.
type vanished struct {
	Server
	since time.Time
}

// A Registry holds the known servers; its zero value is empty and ready to use.
//
// When more than half of a service's servers vanish from the list at about the
// same time, the platform has lost its list, not the servers: they are kept for a
// moment, in which those that live are listed again.
type Registry struct {
	mu          sync.Mutex
	listed      map[string]Server
	vanished    map[string]vanished
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

// Replace sets the whole list as it is at a time.
func (r *Registry) Replace(list []Server, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.listed
	r.listed = make(map[string]Server, len(list))
	for _, s := range list {
		r.listed[s.ID] = s
		delete(r.vanished, s.ID)
	}
	for id, s := range before {
		if _, ok := r.listed[id]; !ok {
			r.vanish(s, now)
		}
	}
	r.rebuild(now)
}

// vanish remembers a server that is no longer listed.
func (r *Registry) vanish(s Server, now time.Time) {
	if s.Leaving {
		return
	}
	if r.vanished == nil {
		r.vanished = make(map[string]vanished)
	}
	r.vanished[s.ID] = vanished{Server: s, since: now}
}

// A Change is a server that came or changed, or one that is no longer listed.
type Change struct {
	Server
	// Gone tells that the server is no longer listed; only its ID counts then.
	Gone bool
}

// Apply takes changes of the list at a time, in their order.
func (r *Registry) Apply(changes []Change, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		r.listed = make(map[string]Server)
	}
	differs := false
	for _, c := range changes {
		old, known := r.listed[c.ID]
		differs = differs || c.Gone || !known || r.visible(old, c.Server)
		if c.Gone {
			if known {
				r.vanish(old, now)
			}
			delete(r.listed, c.ID)
			continue
		}
		r.listed[c.ID] = c.Server
		delete(r.vanished, c.ID)
	}
	if differs {
		r.rebuild(now)
	}
}

// matters reports whether a server's new record shows in a snapshot: what it holds
// does not while the holder of orders tells that.
func (r *Registry) visible(old, s Server) bool {
	if _, told := r.residency[s.ID]; !told {
		return true
	}
	return old.Service != s.Service || old.Addr != s.Addr || old.Hall != s.Hall || old.Slots != s.Slots ||
		old.Leaving != s.Leaving
}

// Update sets one server at a time.
func (r *Registry) Update(s Server, now time.Time) { r.Apply([]Change{{Server: s}}, now) }

// Remove tells that a server is no longer listed at a time.
func (r *Registry) Remove(id string, now time.Time) {
	r.Apply([]Change{{Server: Server{ID: id}, Gone: true}}, now)
}

// SetResidency takes the word of the holder of orders at a time.
func (r *Registry) SetResidency(all map[string]Residency, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.residency, r.residencyAt = all, now
	r.rebuild(now)
}

// MergeResidency takes what has changed in the word of the holder of orders at a time.
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

// Told reports whether a holder's word is known; after it was forgotten all of it
// must be asked for again.
func (r *Registry) HasResidency() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.residency != nil
}

// Expire forgets what is too old: the word of a holder that has been silent for
// long, and vanished servers. It reports whether anything has changed.
func (r *Registry) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	if r.residency != nil && now.Sub(r.residencyAt) >= residencyTrust {
		r.residency = nil
		changed = true
	}
	for id, v := range r.vanished {
		if now.Sub(v.since) >= vanishTime {
			delete(r.vanished, id)
			changed = true
		}
	}
	if changed {
		r.rebuild(now)
	}
	return changed
}

// kept returns the vanished servers of services that have lost more than half of
// their servers.
func (r *Registry) retained(now time.Time) []Server {
	if len(r.vanished) == 0 {
		return nil
	}
	balance := make(map[string]int)
	for _, s := range r.listed {
		balance[s.Service]--
	}
	for _, v := range r.vanished {
		balance[v.Service]++
	}
	var list []Server
	for _, v := range r.vanished {
		if balance[v.Service] > 0 && now.Sub(v.since) < vanishTime {
			list = append(list, v.Server)
		}
	}
	return list
}

func (r *Registry) rebuild(now time.Time) {
	all := r.retained(now)
	for _, s := range r.listed {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	s := &Snapshot{
		servers: make(map[string]*Server, len(all)), byService: make(map[string][]*Server),
		byModel: make(map[modelKey][]*Server),
	}
	for i := range all {
		srv := &all[i]
		if word, ok := r.residency[srv.ID]; ok {
			srv.Residents = word.Residents
		}
		s.servers[srv.ID] = srv
		s.byService[srv.Service] = append(s.byService[srv.Service], srv)
		for _, m := range srv.Residents {
			key := modelKey{service: srv.Service, model: m.Model}
			s.byModel[key] = append(s.byModel[key], srv)
		}
	}
	r.snapshot.Store(s)
}
