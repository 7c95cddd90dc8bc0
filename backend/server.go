package backend

import (
	"slices"
	"time"
)

// A Resident is a model that an engine holds, with the adapters that it holds for the model.
type Resident struct {
	Model    string   `json:"m"`
	Version  int      `json:"v,omitempty"`
	Adapters []string `json:"a,omitempty"`
}

// Clone returns a deep copy.
func (r Resident) Clone() Resident {
	r.Adapters = slices.Clone(r.Adapters)
	return r
}

// Has reports whether the adapter is loaded. The empty name means the model itself.
func (r Resident) Has(adapter string) bool {
	return adapter == "" || slices.Contains(r.Adapters, adapter)
}

// A Server describes a server instance, that is, one run of a backend server's process.
type Server struct {
	// ID identifies the server instance. A restarted server has a new ID.
	ID string
	// Instance is the name that the platform lists the server under, which a restarted server
	// may keep; empty if the name is ID.
	Instance string
	Service  string
	// Version is the version of the server's software, not of the weights of its models. Servers of one service
	// may run several versions, which have no order.
	Version string
	Addr    string
	Hall    string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Leaving is set if the server is leaving: it accepts no new requests.
	Leaving bool
	// WarmupLeft is the remaining warm-up time when the record was written. It is negative if the
	// record does not say.
	WarmupLeft time.Duration
	// WarmUntil is set by the Registry to the end of the warm-up.
	WarmUntil time.Time
	// Evacuated is set by the Registry if the server's data hall is evacuated. It is false in
	// records of the platform's list.
	Evacuated bool
	Residents []Resident
	// CachedInMemory and CachedOnDisk name the models whose weights the server's machine has
	// cached.
	CachedInMemory, CachedOnDisk []string
}

// Name returns the name that the platform lists the server under. Requests and orders are addressed
// by it; state about a server is kept by its ID.
func (s *Server) Name() string {
	if s.Instance == "" {
		return s.ID
	}
	return s.Instance
}

// AcceptsRequests reports whether new requests may be sent to the server: it is not leaving, and its
// data hall is not evacuated.
func (s *Server) AcceptsRequests() bool { return !s.Leaving && !s.Evacuated }

// A Listing is the part of a server's record that only the platform's list provides. It omits the
// residents, for which the leader's residency is more current.
type Listing struct {
	ID, Service, Version, Addr, Hall string
	Slots                            int
	Leaving                          bool
	WarmupLeft                       time.Duration
}

// Listing returns the part of the server's record that only the platform's list provides.
func (s *Server) Listing() Listing {
	return Listing{
		ID: s.ID, Service: s.Service, Version: s.Version, Addr: s.Addr, Hall: s.Hall, Slots: s.Slots, Leaving: s.Leaving,
		WarmupLeft: s.WarmupLeft,
	}
}

// Holds reports whether the server has a model loaded and, unless it is empty, the adapter.
func (s *Server) Holds(model, adapter string) bool {
	return Residency{Residents: s.Residents}.holds(model, adapter)
}

// A Residency lists the models that an engine holds, as published by the leader.
type Residency struct {
	Residents []Resident `json:"r"`
}

func (r Residency) holds(model, adapter string) bool {
	for _, resident := range r.Residents {
		if resident.Model == model {
			return resident.Has(adapter)
		}
	}
	return false
}

// HoldsAny reports whether the engine holds one of the models and adapters, which have the form MODEL or
// MODEL/ADAPTER.
func (r Residency) HoldsAny(targets []string) bool {
	return slices.ContainsFunc(targets, func(target string) bool {
		a := ParseAdapter(target)
		return r.holds(a.Model, a.Name)
	})
}

// A Snapshot is the state of a Registry at one time. It must not be modified.
type Snapshot struct {
	servers         map[string]*Server
	byService       map[string][]*Server
	byModel         map[modelKey][]*Server
	withoutInstance []string
	warmUntil       time.Time
}

// WarmUntil returns the time from which no server is warming up.
func (s *Snapshot) WarmUntil() time.Time { return s.warmUntil }

// WithoutInstance returns the names of the servers that are left out because their records lack
// Server.Instance while those of most servers have it.
func (s *Snapshot) WithoutInstance() []string { return s.withoutInstance }

// A modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// newSnapshot returns a snapshot of servers that are sorted by ID.
func newSnapshot(list []Server) *Snapshot {
	s := &Snapshot{
		servers: make(map[string]*Server, len(list)), byService: make(map[string][]*Server),
		byModel: make(map[modelKey][]*Server),
	}
	for i := range list {
		srv := &list[i]
		s.servers[srv.ID] = srv
		if srv.WarmUntil.After(s.warmUntil) {
			s.warmUntil = srv.WarmUntil
		}
		s.byService[srv.Service] = append(s.byService[srv.Service], srv)
		for _, m := range srv.Residents {
			key := modelKey{service: srv.Service, model: m.Model}
			s.byModel[key] = append(s.byModel[key], srv)
		}
	}
	return s
}

// Server returns the server with an ID.
func (s *Snapshot) Server(id string) (*Server, bool) {
	srv, ok := s.servers[id]
	return srv, ok
}

// Has reports whether a server is listed.
func (s *Snapshot) Has(id string) bool {
	_, ok := s.Server(id)
	return ok
}

// Service returns the servers of a service, sorted by ID.
func (s *Snapshot) Service(name string) []*Server { return s.byService[name] }

// WithModel returns the servers of a service that hold a model, sorted by ID. The empty model matches
// all servers.
func (s *Snapshot) WithModel(service, model string) []*Server {
	if model == "" {
		return s.byService[service]
	}
	return s.byModel[modelKey{service: service, model: model}]
}

// Len returns the number of servers.
func (s *Snapshot) Len() int { return len(s.servers) }
