package dispatch

import (
	"errors"
	"slices"
	"sync"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
)

// Outcomes of Acquire.
var (
	// ErrNoServer tells that the service has no server left to try.
	ErrNoServer = errors.New("dispatch: no server")
	// ErrYields tells that the request would have to wait and gives way to more urgent
	// ones, which fare worse.
	ErrShed = errors.New("dispatch: gives way")
	// ErrWaited tells that the request waited as long as it may.
	ErrWaitTimeout = errors.New("dispatch: waited too long")
)

// A Request is what a choice needs to know of a request.
type Request struct {
	Service string
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	// Prompt and Output are the tokens to read and the most to generate.
	PromptTokens, MaxOutputTokens int
	Prefix                        []PrefixBlock
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Until is when the request stops waiting.
	WaitUntil time.Time
	// Due is when the answer should have begun; a request for which that is past
	// gives way to those that can still be in time.
	SendBy time.Time
	// Pace is what pauses running streams of its kind bear.
	Gap GapBudget
	// Avoid names servers that are not to be chosen.
	Exclude []string
	// Begun tells that the request may have run, so that it gives way to none.
	MayHaveRun bool
	// Asked counts the places that other gateways were asked for, Granted and Denied
	// those that they granted and did not grant; the rest had no answer.
	GrantsAsked, GrantsGiven, GrantsDenied int
	// order is the request's place in the order of arrival; 0 before it has one.
	sequence uint64
}

func (r *Request) name() string {
	if r.Adapter == "" {
		return r.Model
	}
	return r.Model + "/" + r.Adapter
}

// A Load is what one process has at one server.
type Load struct {
	// Running is the number of requests.
	Running int `json:"n"`
	// Reading is the time to read the prompts whose first event has not come, in milliseconds.
	PrefillMs int `json:"r,omitempty"`
	// Used is the memory that the requests take at most, in tokens.
	UsedTokens int `json:"u,omitempty"`
}

// A remoteLoad is what other processes had at one server at a time.
type remoteLoad struct {
	Load
	at time.Time
}

// now returns the load as it should be now: prompts are read as time passes.
func (l remoteLoad) now(now time.Time) Load {
	out := l.Load
	out.PrefillMs = max(out.PrefillMs-int(now.Sub(l.at)/time.Millisecond), 0)
	return out
}

// Options configure a Dispatcher.
type Options struct {
	// ID and Hall are this gateway's.
	ID    string
	Hall  string
	Clock clock.Service
	// Fill is the part of an engine's slots and memory that is used.
	Utilization float64
	// Memory returns the memory of a service's engines in tokens, 0 for a plain service.
	CacheTokens func(service string) int
	// Places, if not nil, asks other gateways for places at the engines that they own.
	Owners Owners
	// OwnerSilent, if not nil, is called with the owner that did not answer and is not
	// asked for a while. It is called with the Dispatcher locked and must not block.
	OnOwnerSilent func(owner string, err error)
	// Missing, if not nil, is called when a request waits for a model or adapter
	// that no server holds. It is called with the Dispatcher locked and must not block.
	OnModelMissing func()
}

// A Dispatcher gives requests their servers; it is safe for concurrent use.
type Dispatcher struct {
	opts Options

	mu      sync.Mutex
	servers *backend.Snapshot
	loads   map[string]*serverLoad
	remote  map[string]remoteLoad
	// partial tells that remote holds the busiest servers only.
	busiestOnly   bool
	waiting       []*waiter
	demand        map[string]*Demand
	prefillSpeeds prefillSpeeds
	// balances holds how requests of each service fare.
	shedders map[string]*shedder
	gateways []Gateway
	owners   map[string]string
	// silent tells until when owners that did not answer are not asked.
	suspended map[string]time.Time
	// wakeAt is when waiting requests are looked at next; zero if that is not set.
	nextServe time.Time
	// arrivals counts requests, so that those that wait again keep their order.
	arrivals uint64
}

// A Demand is what was asked of one model or adapter.
type Demand struct {
	// Arrived counts requests since the start, Tokens their prompt tokens and
	// ten times the tokens they may generate.
	Arrived    int `json:"a"`
	WorkTokens int `json:"t"`
	// Waiting is the number of requests that wait for it now.
	Waiting int `json:"w,omitempty"`
	// Running is the number of requests that run with it now.
	Running int `json:"n,omitempty"`
	// Service is the service asked.
	Service string `json:"s"`
}

// load is what this process has at one server and has seen of it.
type serverLoad struct {
	Load
	prefixes   prefixCache
	failures   failureRate
	lastAnswer time.Time
	awaiting   []*Reservation
	// grants are the places given to other gateways' requests lately.
	grants []grant
	// reading is what an own engine reads.
	prefill prefillQueue
	// deniedUntil is until when the engine's owner grants no place.
	deniedUntil time.Time
}

type waiter struct {
	req         *Request
	reservation *Reservation
	ready       chan struct{}
}

// New returns a Dispatcher that knows no server.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		opts: o, servers: &backend.Snapshot{}, loads: make(map[string]*serverLoad),
		remote: make(map[string]remoteLoad), demand: make(map[string]*Demand),
		suspended: make(map[string]time.Time), shedders: make(map[string]*shedder),
	}
}

// SetServers takes a new view of the servers and lets waiting requests go to them.
func (d *Dispatcher) SetServers(s *backend.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = s
	for id, l := range d.loads {
		if _, ok := s.Server(id); !ok && l.Running == 0 {
			delete(d.loads, id)
			delete(d.owners, id)
		}
	}
	d.serve()
}

// SetRemote takes what other processes have at the servers; partial tells that it
// is told of the busiest servers only.
func (d *Dispatcher) SetRemote(remote map[string]Load, partial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	d.busiestOnly = partial
	d.remote = make(map[string]remoteLoad, len(remote))
	for id, l := range remote {
		d.remote[id] = remoteLoad{Load: l, at: now}
	}
	d.serve()
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

// Demands returns what was asked of each model and adapter.
func (d *Dispatcher) Demands() map[string]Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Demand, len(d.demand))
	for name, x := range d.demand {
		out[name] = *x
	}
	return out
}

// Count counts the arrival of a request for a model.
func (d *Dispatcher) CountArrival(r *Request) {
	if r.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.demandOf(r)
	x.Arrived++
	x.WorkTokens += r.PromptTokens + outputTokenWeight*r.MaxOutputTokens
}

// outputWeight is how many prompt tokens one generated token counts as.
const outputTokenWeight = 10

func (d *Dispatcher) demandOf(r *Request) *Demand {
	x := d.demand[r.name()]
	if x == nil {
		x = &Demand{Service: r.Service}
		d.demand[r.name()] = x
	}
	return x
}

// choose takes a place at the best server, or returns nil. Waiting requests are
// looked at again when it is known that a place may come free by time alone.
func (d *Dispatcher) choose(r *Request) *Reservation {
	now := d.opts.Clock.Now()
	servers, list := d.candidates(r, now)
	limits := d.limits(r)
	i := Choose(list, limits)
	if i < 0 {
		d.serveAfterPrefill(servers, list, limits, now)
		return nil
	}
	t := d.take(r, servers[i], list[i])
	t.candidates = len(list)
	return t
}

// HasServer reports whether there is a server that could take the request now.
func (d *Dispatcher) CanSend(r *Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, list := d.candidates(r, d.opts.Clock.Now())
	return Choose(list, d.limits(r)) >= 0
}

func (d *Dispatcher) limits(r *Request) Limits {
	return Limits{Gap: r.Gap, Utilization: d.opts.Utilization}
}

// candidates returns the servers that hold what the request needs and may be asked now.
func (d *Dispatcher) candidates(r *Request, now time.Time) (servers []*backend.Server, list []Candidate) {
	memory := d.opts.CacheTokens(r.Service)
	for _, s := range d.servers.Holding(r.Service, r.Model) {
		if s.Leaving || slices.Contains(r.Exclude, s.ID) || r.Model != "" && !s.Holds(r.Model, r.Adapter) {
			continue
		}
		if l := d.load(s.ID); now.Before(l.deniedUntil) {
			d.serveAt(l.deniedUntil)
			continue
		}
		servers = append(servers, s)
		list = append(list, d.candidate(r, s, memory, now))
	}
	return servers, list
}

// silentAfter is how long a server may owe a first answer and say nothing at all.
const stallTime = 1500 * time.Millisecond

func (d *Dispatcher) candidate(r *Request, s *backend.Server, memory int, now time.Time) Candidate {
	l := d.load(s.ID)
	c := Candidate{
		CacheTokens: memory, Slots: s.Slots, SameHall: s.Hall == d.opts.Hall, Owned: d.owns(s), FailureRate: l.failures.at(now),
		NeedTokens: r.PromptTokens + r.MaxOutputTokens,
	}
	c.NeedsGrant = !c.Owned && r.Model != "" && d.asksOwner(d.ownerOf(s), now)
	d.addLoads(&c, l, s.ID, now)
	if _, known := d.remote[s.ID]; d.busiestOnly && !known && !c.Owned {
		c.Jitter = d.jitter(s.ID)
	}
	if r.Model != "" {
		c.PrefillTokens = max(r.PromptTokens-l.prefixes.cachedTokens(r.name(), r.Prefix), 0)
		c.Prefill = d.prefillSpeeds.prefillTime(r.Model, c.PrefillTokens)
	}
	if c.Owned && r.Gap.MaxGap > 0 {
		c.PrefillInGap = inMilliseconds(l.prefill.busyWithin(milliseconds(c.Prefill), milliseconds(r.Gap.MaxGap), now))
	}
	if len(l.awaiting) > 0 {
		since := l.awaiting[0].sent
		if l.lastAnswer.After(since) {
			since = l.lastAnswer
		}
		c.Stalled = now.Sub(since) > stallTime
	}
	return c
}

// addLoads adds up what is at a server: the own requests, those that other
// gateways report and, for an engine of its own, the places granted. There the
// prompts being read are known from the grants, and better than from reports.
func (d *Dispatcher) addLoads(c *Candidate, l *serverLoad, id string, now time.Time) {
	others := d.remote[id].now(now)
	c.Running = l.Running + others.Running
	c.UsedTokens = l.UsedTokens + others.UsedTokens
	c.PrefillAhead = float64(l.PrefillMs + others.PrefillMs)
	if c.Owned && d.opts.Owners != nil {
		granted := l.granted(now)
		c.Running += granted.Running
		c.UsedTokens += granted.UsedTokens
		c.PrefillAhead = max(inMilliseconds(l.prefill.end(now).Sub(now)), float64(l.PrefillMs))
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

func (d *Dispatcher) take(r *Request, s *backend.Server, c Candidate) *Reservation {
	l := d.load(s.ID)
	t := &Reservation{d: d, req: r, server: s, load: l, prefillTokens: c.PrefillTokens, choice: c, prefillMs: int(c.Prefill + 0.5), used: c.NeedTokens, sent: d.opts.Clock.Now()}
	if r.Model == "" {
		t.used = 0
	}
	if c.NeedsGrant {
		t.owner = d.ownerOf(s)
	}
	l.Running++
	l.PrefillMs += t.prefillMs
	l.UsedTokens += t.used
	l.awaiting = append(l.awaiting, t)
	if c.Owned {
		t.prefillEnd = l.prefill.add(milliseconds(c.Prefill), t.sent)
	}
	if r.Model != "" {
		d.demandOf(r).Running++
	}
	if r.Model != "" && t.owner == "" {
		l.prefixes.touch(r.name(), r.Prefix)
	}
	return t
}
