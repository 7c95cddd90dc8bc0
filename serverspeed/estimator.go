package serverspeed

import (
	"maps"
	"math"
)

const (
	// minSamples is the number of samples of a server that a factor needs. Only samples of models that other servers
	// have run as well count.
	minSamples = 20
	// minFactor is the factor, or the inverse of the factor, from which a server counts as slow or fast. endFactor is
	// the factor below which it no longer does; it is lower, so that a server does not change back and forth.
	minFactor = 1.2
	endFactor = 1.1
	// minErrors is the number of standard errors by which a factor must differ from 1. Equal servers stay below it in
	// fleets of a thousand.
	minErrors = 3.5
	// minPublishedChange is the minimum relative change of a published factor.
	minPublishedChange = 0.1
	// effectDeviation is the standard deviation of the logarithmic factors of servers before anything is known.
	effectDeviation = 0.5
	// sweeps is the number of passes over all windows in one fit. A fit starts from the result of the last one.
	sweeps = 4
	// fitSamples is the number of samples per server between two fits, minFitSamples the minimum of them all. They
	// bound the leader's work for a sample, since a fit takes time in proportion to the number of servers.
	fitSamples    = 2
	minFitSamples = 16
	// maxIdleFits is the number of fits without a sample of a server after which its samples are dropped. The other
	// servers have had twice as many samples each, so the server is avoided and has to be tried again.
	maxIdleFits = 15
	// maxWindows is the maximum number of windows of a server, two for each model that it holds or has recently held.
	maxWindows = 12
	// maxValue bounds the samples, in milliseconds.
	maxValue = 1e6
)

// A levelKey identifies what is the same at all servers of a service.
type levelKey struct {
	service, model string
	kind           Kind
}

// A level is the logarithm of a time at a server with factor 1.
type level struct {
	value float64
	// sum, precision and servers are computed in each pass over the windows.
	sum, precision float64
	servers        int
}

// A serverState is what is known of one server. Factors are logarithms, relative to the other servers.
type serverState struct {
	service string
	windows map[levelKey]*window
	// prior is the factor assumed without samples, effect the fitted one.
	prior, effect float64
	// samples counts the samples on which effect rests, precision is the inverse of its variance.
	samples   int
	precision float64
	// factor is the factor in use; 1 if there is none. published is the one last published.
	factor, published float64
	changedIn         int64
	// idleFits counts the fits since the last sample.
	idleFits int
}

// An Estimator estimates the factors of all servers from the samples of all gateways.
type Estimator struct {
	serviceOf func(server string) (service string, ok bool)
	servers   map[string]*serverState
	levels    map[levelKey]*level
	// sequence counts the samples, unfitted those since the last fit.
	sequence int64
	unfitted int
	// first is the version with which the term began, version the latest one.
	first, version int64
}

// NewEstimator returns an Estimator without samples. serviceOf returns the service of a server, and false if the server
// is not listed.
func NewEstimator(serviceOf func(server string) (service string, ok bool)) *Estimator {
	return &Estimator{serviceOf: serviceOf, servers: make(map[string]*serverState), levels: make(map[levelKey]*level)}
}

// BeginTerm starts a sequence of versions above first. known holds factors from before; they apply until there are
// samples enough.
func (e *Estimator) BeginTerm(first int64, known map[string]float64) {
	e.first, e.version = first, first
	for id, factor := range known {
		if s := e.server(id); s != nil && s.factor == 1 && isUsable(factor) {
			s.prior, s.effect = math.Log(factor), math.Log(factor)
			s.factor, s.published = factor, factor
		}
	}
	for _, s := range e.servers {
		s.published = s.factor
		if s.factor != 1 {
			e.version++
			s.changedIn = e.version
		}
	}
}

// Observe adds a sample. Samples of servers that are not listed are ignored.
func (e *Estimator) Observe(x Sample) {
	s := e.server(x.Server)
	if s == nil || !isUsable(x.Value) {
		return
	}
	key := levelKey{service: s.service, model: x.Model, kind: x.Kind}
	e.sequence++
	w := s.windows[key]
	if w == nil {
		s.makeRoom()
		w = &window{}
		s.windows[key] = w
	}
	w.add(x.Value, e.sequence)
	s.idleFits = 0
	e.unfitted++
	if e.unfitted >= max(fitSamples*len(e.servers), minFitSamples) {
		e.unfitted = 0
		e.fit()
	}
}

// isUsable reports whether a value from a message is positive and finite.
func isUsable(value float64) bool { return value > 1/maxValue && value < maxValue }

// server returns the state of a server, or nil if the server is not listed.
func (e *Estimator) server(id string) *serverState {
	if s := e.servers[id]; s != nil {
		return s
	}
	service, ok := e.serviceOf(id)
	if !ok {
		return nil
	}
	s := &serverState{service: service, windows: make(map[levelKey]*window), factor: 1, published: 1}
	e.servers[id] = s
	return s
}

// makeRoom drops the window without samples for the longest time if there are maxWindows.
func (s *serverState) makeRoom() {
	if len(s.windows) < maxWindows {
		return
	}
	var oldest levelKey
	use := int64(math.MaxInt64)
	for key, w := range s.windows {
		if w.lastUse < use {
			oldest, use = key, w.lastUse
		}
	}
	delete(s.windows, oldest)
}

// Factor returns the time that a server takes relative to the median server of its service: 1.6 is slow. It returns 1
// for a server that is unknown or does not differ clearly.
func (e *Estimator) Factor(server string) float64 {
	if s := e.servers[server]; s != nil {
		return s.factor
	}
	return 1
}

// ChangedSince returns the published factors that have changed since a version, and the current version. If the version
// is not of this term, it returns all factors that are not 1.
func (e *Estimator) ChangedSince(version int64) (factors map[string]float64, current int64) {
	if version == e.version {
		return nil, e.version
	}
	all := version < e.first || version > e.version
	factors = make(map[string]float64)
	for id, s := range e.servers {
		if all && s.published != 1 || !all && s.changedIn > version {
			factors[id] = s.published
		}
	}
	return factors, e.version
}

// Retain drops the servers that are not listed any more.
func (e *Estimator) Retain(isListed func(server string) bool) {
	maps.DeleteFunc(e.servers, func(id string, _ *serverState) bool { return !isListed(id) })
}
