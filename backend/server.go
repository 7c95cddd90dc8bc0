package backend

import "slices"

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

// A Server describes one run of a backend server.
type Server struct {
	// ID names this run; a restarted server has another.
	ID string
	// Instance is the name that the platform lists the server under, which a restarted server may
	// keep; empty if that is ID.
	Instance string
	Service  string
	Addr     string
	Hall     string
	// Slots is the number of requests it works on at once.
	Slots int
	// Leaving says that it takes no new requests.
	Leaving   bool
	Residents []Resident
	// CachedInMemory and CachedOnDisk name the models whose weights its machine has cached.
	CachedInMemory, CachedOnDisk []string
}

// Name returns the name that the platform lists the server under. Requests and orders are
// addressed to it; what is known of a server is kept by its ID.
func (s *Server) Name() string {
	if s.Instance == "" {
		return s.ID
	}
	return s.Instance
}

// A Listing is what the platform's list says of a server, but for what its engine holds: the
// leader knows that better and publishes it.
type Listing struct {
	ID, Service, Addr, Hall string
	Slots                   int
	Leaving                 bool
}

// Listing returns the server's part that only the platform's list says.
func (s *Server) Listing() Listing {
	return Listing{ID: s.ID, Service: s.Service, Addr: s.Addr, Hall: s.Hall, Slots: s.Slots, Leaving: s.Leaving}
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

// A Residency lists what an engine holds, as the leader publishes it.
type Residency struct {
	Residents []Resident `json:"r"`
}

// A Snapshot is the state of a Registry at one moment; it is not to be changed.
type Snapshot struct {
	servers   map[string]*Server
	byService map[string][]*Server
	byModel   map[modelKey][]*Server
	unstarted []string
}

// Unstarted returns the names of the servers that are left out since their records do not name
// their start, while those of most servers do.
func (s *Snapshot) Unstarted() []string { return s.unstarted }

// A modelKey names a model of one service.
type modelKey struct{ service, model string }

// newSnapshot returns a snapshot of servers that are in the order of their ids.
func newSnapshot(list []Server) *Snapshot {
	s := &Snapshot{
		servers: make(map[string]*Server, len(list)), byService: make(map[string][]*Server),
		byModel: make(map[modelKey][]*Server),
	}
	for i := range list {
		srv := &list[i]
		s.servers[srv.ID] = srv
		s.byService[srv.Service] = append(s.byService[srv.Service], srv)
		for _, m := range srv.Residents {
			key := modelKey{service: srv.Service, model: m.Model}
			s.byModel[key] = append(s.byModel[key], srv)
		}
	}
	return s
}

// Server returns a server by its id.
func (s *Snapshot) Server(id string) (*Server, bool) {
	srv, ok := s.servers[id]
	return srv, ok
}

// Service returns the servers of a service in the order of their ids.
func (s *Snapshot) Service(name string) []*Server { return s.byService[name] }

// Holding returns the servers of a service that hold a model, in the order of their ids;
// all of them for the empty name.
func (s *Snapshot) Holding(service, model string) []*Server {
	if model == "" {
		return s.byService[service]
	}
	return s.byModel[modelKey{service: service, model: model}]
}

// Len returns the number of servers.
func (s *Snapshot) Len() int { return len(s.servers) }
