package dispatch

import (
	"errors"
	"sync"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
)

// Outcomes of Acquire.
var (
	// ErrNoServer says that no server can take the request and it must not wait.
	ErrNoServer = errors.New("dispatch: no server")
	// ErrShed says that the request would have to wait and is refused in favour of more
	// urgent ones, which are served worse.
	ErrShed = errors.New("dispatch: shed for more urgent requests")
	// ErrWaitTimeout says that the request waited as long as it may.
	ErrWaitTimeout = errors.New("dispatch: waited too long")
)

// Options configure a Dispatcher.
type Options struct {
	// ID and Hall are this gateway's.
	ID    string
	Hall  string
	Clock clock.Service
	// Utilization is the part of an engine's slots and memory that may be taken, 0 to 1.
	Utilization float64
	// CacheTokens returns the cache memory of a service's engines in tokens, 0 for a
	// plain service.
	CacheTokens func(service string) int
	// Owners, if not nil, asks other gateways for admission at the engines that they own.
	Owners Owners
	// Permits, if not nil, lets requests through to servers that have limits.
	Permits Permits
	// OnOwnerSilent, if not nil, is called with an owner that did not answer and is not
	// asked for a while. It is called with the Dispatcher locked and must not block.
	OnOwnerSilent func(owner string, err error)
	// OnModelMissing, if not nil, is called when a request waits for a model or adapter
	// that no server holds. It is called with the Dispatcher locked and must not block.
	OnModelMissing func()
}

// A Dispatcher reserves servers for requests; it is safe for concurrent use.
type Dispatcher struct {
	opts Options

	mu      sync.Mutex
	servers *backend.Snapshot
	// loads holds this process's load at each server, remote that of the others.
	loads  map[string]*serverLoad
	remote map[string]remoteLoad
	// busiestOnly says that remote holds the busiest servers only.
	busiestOnly bool
	owners      owners
	waiting     waitQueue
	demand      demandCounters
	speeds      speedBook
	// shedders holds how requests of each service are served.
	shedders map[string]*shedder
	// nextServe is when waiting requests are looked at next; zero if that is not set.
	nextServe time.Time
}

// New returns a Dispatcher that knows no server.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		opts: o, servers: &backend.Snapshot{}, loads: make(map[string]*serverLoad),
		remote: make(map[string]remoteLoad), demand: newDemandCounters(),
		owners: newOwners(o.ID), shedders: make(map[string]*shedder),
	}
}

// SetServers sets the servers and lets waiting requests go to them.
func (d *Dispatcher) SetServers(s *backend.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = s
	for id, l := range d.loads {
		if _, ok := s.Server(id); !ok && l.Running == 0 {
			delete(d.loads, id)
			d.owners.forget(id)
		}
	}
	d.serve()
}

// SetRemote sets what other processes have at the servers; busiestOnly says that it lists
// the busiest servers only.
func (d *Dispatcher) SetRemote(remote map[string]Load, busiestOnly bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	d.busiestOnly = busiestOnly
	d.remote = make(map[string]remoteLoad, len(remote))
	for id, l := range remote {
		d.remote[id] = remoteLoad{Load: l, at: now}
	}
	d.serve()
}

// SetGateways sets the gateways among which engines are divided: each engine is owned by
// one of them, in its own data hall where there is one.
func (d *Dispatcher) SetGateways(list []Gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owners.set(list)
}

// Loads returns what this process has at each server.
func (d *Dispatcher) Loads() map[string]Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Load, len(d.loads))
	for id, l := range d.loads {
		if l.Running > 0 {
			out[id] = l.Load
		}
	}
	return out
}

// CanSend reports whether there is a server that could take the request now.
func (d *Dispatcher) CanSend(r *Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	_, list := d.candidates(r, now)
	return Choose(list, d.limits(r, now)) >= 0
}

// HolderCount returns how many servers that stay could serve the request, were they not
// full; for a request that was refused, 0 says that no server held its model.
func (d *Dispatcher) HolderCount(r *Request) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holderCount(r)
}

func (d *Dispatcher) holderCount(r *Request) int {
	n := 0
	for _, s := range d.servers.Holding(r.Service, r.Model) {
		if !s.Leaving && (r.Model == "" || s.Holds(r.Model, r.Adapter)) {
			n++
		}
	}
	return n
}

// choose reserves the cheapest server, or returns nil. If one may come free by time alone,
// waiting requests are looked at again then.
func (d *Dispatcher) choose(r *Request) *Reservation {
	now := d.opts.Clock.Now()
	servers, list := d.candidates(r, now)
	limits := d.limits(r, now)
	i := Choose(list, limits)
	if i < 0 {
		d.serveAfterPrefill(servers, list, limits, now)
		return nil
	}
	res := d.reserve(r, servers[i], list[i])
	res.candidates = len(list)
	return res
}

// lateShare is the part of the usable slots and memory of an engine that late requests may
// take, so that they leave room for those that can still be in time. Under overload a queue
// otherwise hands each place that comes free to a request that has missed its objective.
const lateShare = 0.5

// limits returns what a request may take of an engine now.
func (d *Dispatcher) limits(r *Request, now time.Time) Limits {
	l := Limits{Gap: r.Gap, Utilization: d.opts.Utilization}
	if r.isLate(now) {
		l.Utilization *= lateShare
	}
	return l
}

// candidates returns the servers that hold what the request needs and may be asked now.
func (d *Dispatcher) candidates(r *Request, now time.Time) (servers []*backend.Server, list []Candidate) {
	memory := d.opts.CacheTokens(r.Service)
	for _, s := range d.servers.Holding(r.Service, r.Model) {
		if !d.couldTake(r, s) {
			continue
		}
		if from := d.load(s.ID).askableFrom(r.target()); now.Before(from) {
			d.serveAt(from)
			continue
		}
		if _, limited := d.limitOf(s.ID); limited && d.isBarred(r, s.ID, now) {
			continue
		}
		servers = append(servers, s)
		list = append(list, d.candidate(r, s, memory, now))
	}
	return servers, list
}

// candidate returns a server as the choice for a request sees it.
func (d *Dispatcher) candidate(r *Request, s *backend.Server, memory int, now time.Time) Candidate {
	l := d.load(s.ID)
	c := Candidate{
		CacheTokens: memory, Slots: s.Slots, SameHall: s.Hall == d.opts.Hall, Owned: d.owners.owns(s),
		FailureRate: l.failures.at(now), NeedTokens: r.PromptTokens + r.MaxOutputTokens, Stalled: l.isStalled(now),
	}
	c.NeedsGrant = !c.Owned && r.Model != "" && d.opts.Owners != nil && d.owners.mayAsk(d.owners.of(s), now)
	d.addLoads(&c, l, s.ID, now)
	if _, known := d.remote[s.ID]; d.busiestOnly && !known && !c.Owned {
		c.Jitter = d.owners.jitter(s.ID)
	}
	if r.Model != "" {
		c.PrefillTokens = max(r.PromptTokens-l.prefixes.cachedTokens(r.target(), r.Prefix), 0)
		c.Prefill = d.speeds.prefillTime(r.Model, c.PrefillTokens)
	}
	if c.Owned && r.Gap.MaxGap > 0 {
		c.PrefillInGap = InMilliseconds(l.prefill.busyWithin(c.Prefill.Duration(), r.Gap.MaxGap.Duration(), now))
	}
	return c
}

// addLoads adds up what is at a server: the own requests, those that other gateways report
// and, for an owned engine, what was granted lately. There the prefill ahead is known from
// the grants, and better than from reports.
func (d *Dispatcher) addLoads(c *Candidate, l *serverLoad, id string, now time.Time) {
	others := d.remote[id].now(now)
	c.Running = l.Running + others.Running
	c.UsedTokens = l.UsedTokens + others.UsedTokens
	c.PrefillAhead = Milliseconds(l.PrefillMs + others.PrefillMs)
	if c.Owned && d.opts.Owners != nil {
		granted := l.granted(now)
		c.Running += granted.Running
		c.UsedTokens += granted.UsedTokens
		c.PrefillAhead = max(InMilliseconds(l.prefill.end(now).Sub(now)), Milliseconds(l.PrefillMs))
	}
}

func (d *Dispatcher) load(id string) *serverLoad {
	l := d.loads[id]
	if l == nil {
		l = &serverLoad{}
		d.loads[id] = l
	}
	return l
}
