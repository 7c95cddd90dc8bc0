package table

import (
	"slices"
	"strings"
	"time"

	"rockcleat/apikey"
)

// A RetryPolicy determines whether a request whose first attempt failed may be sent again.
type RetryPolicy string

// Retry policies.
const (
	// RetryNever is the policy of requests that must run at most once.
	RetryNever RetryPolicy = "never"
	// RetryIdempotent is the policy of idempotent requests, which may be run again from the start.
	RetryIdempotent RetryPolicy = "whole"
	// RetryResume is the policy of streams that another server can resume after the last
	// event sent.
	RetryResume RetryPolicy = "resume"
)

// A WeightedService is a service that receives a weighted part of a route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the other weights of the route.
	Weight int
}

// A Route forwards the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Services lists the services of the route, usually one.
	Services []WeightedService
	Retry    RetryPolicy
	// Stream reports whether responses are streams of server-sent events.
	Stream bool
	// Timeout is the maximum time to handle a request.
	Timeout time.Duration
	// FirstByteObjective is the service-level objective for the time to the response, or to
	// the first event of a stream.
	FirstByteObjective time.Duration
	// EventGapObjective is the service-level objective for the time between two events.
	EventGapObjective time.Duration
	// MaxAttempts is the maximum number of sends of a request, not counting those that certainly did not run.
	MaxAttempts int
	// Priority ranks the route's requests. 0 is the most urgent.
	Priority int
	// Public reports whether requests need no API key.
	Public bool
	// Regions lists the regions whose servers may get the route's requests. If it is empty, all may.
	Regions []string
}

// A ModelSpec describes a model that an engine can load.
type ModelSpec struct {
	Name string
	// WeightsMB is the memory that the model occupies on an engine.
	WeightsMB float64
	// StoreLoadTime, MemoryLoadTime and DiskLoadTime are the times to load the model from
	// the weight store, from the memory of the engine's machine and from its disk.
	StoreLoadTime, MemoryLoadTime, DiskLoadTime time.Duration
	// AdapterCount is the number of the model's adapters, which are named a1, a2 and so on.
	AdapterCount int
	// AdapterMB is the memory that each adapter occupies on an engine.
	AdapterMB float64
}

// An EngineSpec describes the capacity of the engines of a service.
type EngineSpec struct {
	// CacheTokens is the size of an engine's KV cache, which running requests and cached
	// prefixes share, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// WeightsMB is the memory of one engine for models and adapters.
	WeightsMB float64
	// AdapterSlots is the maximum number of adapters on one engine.
	AdapterSlots int
	// LoadsPerSecond is the rate limit of the weight store for all engines together.
	LoadsPerSecond float64
	Models         []ModelSpec
}

// Model returns the specification of the model with the given name.
func (e *EngineSpec) Model(name string) (ModelSpec, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return ModelSpec{}, false
}

// A Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is nil for a service that does not run models.
	Engine *EngineSpec
	// WarmupTime is how long a server warms up after its start, WarmupRate the number of requests per
	// second that it accepts from all gateways meanwhile. A rate of 0 means no limit.
	WarmupTime time.Duration
	WarmupRate float64
}

// RequestLimits are the limits on the size of incoming requests and on the time to receive them. A time
// of 0 means no limit.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the maximum time to read a request's header.
	HeaderTime time.Duration
	// IdleTime is the maximum time that a connection may be idle between two requests.
	IdleTime time.Duration
}

// A Routing is one version of the configured routes, services, limits and organisations.
// It is immutable.
type Routing struct {
	version  uint64
	services map[string]Service
	limits   RequestLimits
	hosts    map[string]*hostRoutes
	routes   int
	// organisations maps names to organisations. It is nil if requests need no keys.
	organisations map[string]Organisation
	// keys maps API keys to names of organisations. It may be nil.
	keys *apikey.Directory
}

// A hostRoutes indexes the routes of one host by prefix. A match takes one map lookup for each
// distinct prefix length instead of one comparison for each route.
type hostRoutes struct {
	byPrefix map[string]*Route
	// prefixLengths lists the distinct lengths of the prefixes in descending order.
	prefixLengths []int
}

// add adds a route unless there is already one with the same prefix.
func (h *hostRoutes) add(r *Route) {
	if _, ok := h.byPrefix[r.Prefix]; ok {
		return
	}
	h.byPrefix[r.Prefix] = r
	longestFirst := func(a, b int) int { return b - a }
	if i, found := slices.BinarySearchFunc(h.prefixLengths, len(r.Prefix), longestFirst); !found {
		h.prefixLengths = slices.Insert(h.prefixLengths, i, len(r.Prefix))
	}
}

// match returns the route with the longest prefix of the path.
func (h *hostRoutes) match(path string) (Route, bool) {
	for _, n := range h.prefixLengths {
		if n > len(path) {
			continue
		}
		if r, ok := h.byPrefix[path[:n]]; ok {
			return *r, true
		}
	}
	return Route{}, false
}

// NewRouting returns a Routing without organisations. It retains the slice of routes, which must not
// be changed afterwards.
func NewRouting(version uint64, routes []Route, services []Service, limits RequestLimits) *Routing {
	r := &Routing{
		version:  version,
		services: make(map[string]Service, len(services)),
		limits:   limits,
		hosts:    make(map[string]*hostRoutes),
		routes:   len(routes),
	}
	for _, s := range services {
		r.services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if r.hosts[host] == nil {
			r.hosts[host] = &hostRoutes{byPrefix: make(map[string]*Route)}
		}
		r.hosts[host].add(&routes[i])
	}
	return r
}

// Version returns the version of the configuration.
func (r *Routing) Version() uint64 { return r.version }

// Limits returns the limits on incoming requests.
func (r *Routing) Limits() RequestLimits { return r.limits }

// Len returns the number of configured routes, including those with a duplicate prefix.
func (r *Routing) Len() int { return r.routes }

// Service returns the service with the given name.
func (r *Routing) Service(name string) (Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// Services returns all services in unspecified order.
func (r *Routing) Services() []Service {
	list := make([]Service, 0, len(r.services))
	for _, s := range r.services {
		list = append(list, s)
	}
	return list
}

// Match returns the host's route with the longest prefix of the path. The case of host is ignored, and
// so is its port unless a route's host includes it.
func (r *Routing) Match(host, path string) (Route, bool) {
	routes := r.hosts[strings.ToLower(host)]
	if routes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = r.hosts[strings.ToLower(host[:i])]
		}
	}
	if routes == nil {
		return Route{}, false
	}
	return routes.match(path)
}

// PickService selects one of the route's services in proportion to their weights, given a uniformly
// distributed random number. It returns "" if the route has no services. If no weight is positive, it
// returns the first service.
func (r Route) PickService(random uint64) string {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(r.Services) == 0 {
			return ""
		}
		return r.Services[0].Service
	}
	remaining := int(random % uint64(total))
	for _, s := range r.Services {
		remaining -= max(s.Weight, 0)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
