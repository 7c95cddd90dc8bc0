package backend

import (
	"slices"
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
	InMemory, OnDisk []string
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
}

// Server returns a server by its id.
func (s *Snapshot) Server(id string) (*Server, bool) {
	srv, ok := s.servers[id]
	return srv, ok
}

// Service returns the servers of a service in the order of their ids.
func (s *Snapshot) Service(name string) []*Server { return s.byService[name] }

// Len returns the number of servers.
func (s *Snapshot) Len() int { return len(s.servers) }

// residencyTrust is how long the word of the holder of orders goes before the
// platform's list when no further word comes.
const residencyTrust = 3 * time.Second

// A Registry holds the known servers; its zero value is empty and ready to use.
type Registry struct {
	mu        sync.Mutex
	listed    map[string]Server
	residency map[string]Residency
	heard     time.Time
	snapshot  atomic.Pointer[Snapshot]
}

// Snapshot returns the servers as they are known now.
func (r *Registry) Snapshot() *Snapshot {
	if s := r.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Replace sets the whole list.
func (r *Registry) Replace(list []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = make(map[string]Server, len(list))
	for _, s := range list {
		r.listed[s.ID] = s
	}
	r.rebuild()
}

// Update sets one server.
func (r *Registry) Update(s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		r.listed = make(map[string]Server)
	}
	r.listed[s.ID] = s
	r.rebuild()
}

// Remove forgets one server.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.listed, id)
	r.rebuild()
}

// SetResidency takes the word of the holder of orders at a time.
func (r *Registry) SetResidency(all map[string]Residency, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.residency, r.heard = all, now
	r.rebuild()
}

// Heard tells that the holder's word still stands at a time.
func (r *Registry) Heard(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = now
}

// Expire goes back to the platform's list if the holder has been silent for long.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.residency == nil || now.Sub(r.heard) < residencyTrust {
		return
	}
	r.residency = nil
	r.rebuild()
}

func (r *Registry) rebuild() {
	s := &Snapshot{servers: make(map[string]*Server, len(r.listed)), byService: make(map[string][]*Server)}
	for id, listed := range r.listed {
		srv := listed
		if word, ok := r.residency[id]; ok {
			srv.Residents = word.Residents
		}
		s.servers[id] = &srv
		s.byService[srv.Service] = append(s.byService[srv.Service], &srv)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	r.snapshot.Store(s)
}
