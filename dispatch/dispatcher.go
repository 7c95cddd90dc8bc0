package dispatch

import (
	"errors"
	"slices"
	"sync"
	"time"

	"rockcleat/admission"
	"rockcleat/admitqueue"
	"rockcleat/backend"
	"rockcleat/clock"
)

// Errors that Acquire returns.
var (
	// ErrNoServer means that no server can take the request and the request may not wait.
	ErrNoServer = errors.New("dispatch: no server can take the request")
	// ErrNoHall means that no server in the data halls that the request allows holds its model. The
	// request does not wait, since models are not loaded for a particular hall.
	ErrNoHall = errors.New("dispatch: no server in an allowed data hall can take the request")
	// ErrNoneAccepts means that no server of the service accepts requests: all are leaving or in
	// evacuated data halls. The request does not wait, since a new server may take long to start.
	ErrNoneAccepts = errors.New("dispatch: no server of the service accepts requests")
	// ErrNoVersion means that no server that accepts requests runs the software version that the request
	// needs. The request does not wait, since the version may never return.
	ErrNoVersion = errors.New("dispatch: no server runs the software version that the request needs")
	// ErrShed means that the request would have to wait and is refused in favour of requests with
	// higher priority.
	ErrShed = errors.New("dispatch: request shed in favour of higher-priority requests")
	// ErrWaitTimeout means that no server could take the request before its WaitUntil.
	ErrWaitTimeout = errors.New("dispatch: timed out waiting for a server")
)

// Options configures a Dispatcher.
type Options struct {
	// ID is the ID of this gateway, Hall its data hall.
	ID    string
	Hall  string
	Clock clock.Service
	// Utilization is the fraction of an engine's slots and cache memory that may be used, 0 to 1.
	Utilization float64
	// CacheTokens returns the cache memory of each engine of a service in tokens, 0 for a plain
	// service.
	CacheTokens func(service string) int
	// Owners, if not nil, requests admission to engines that other gateways own.
	Owners Owners
	// MaxCountedSlots selects the services whose servers' owners count each request and keep the queue of all gateways, and
	// whose models' demand is measured in engine time: those whose servers have at most this many slots. 0 selects none.
	MaxCountedSlots int
	// Accounts exchanges messages about such requests. If it is nil, MaxCountedSlots has no effect.
	Accounts Accounts
	// Epoch identifies this run of the gateway in these messages. It must not be 0 if Accounts is set.
	Epoch int64
	// Permits, if not nil, grants permits for servers with a rate limit.
	Permits Permits
	// OnOwnerUnresponsive, if not nil, is called when an owner has not responded and is suspended,
	// so that it is not asked for a while. It is called with the Dispatcher locked and must not block.
	OnOwnerUnresponsive func(owner string, err error)
	// OnQueued, if not nil, is called when a request that waited for an owned server is admitted, with the wait that was
	// estimated when it came. It is called with the Dispatcher locked and must not block.
	OnQueued func(service string, estimated, waited time.Duration)
	// OnModelMissing, if not nil, is called when a request starts to wait for a model or adapter
	// that no server holds. It is called with the Dispatcher locked and must not block.
	OnModelMissing func()
	// LearnSpeeds enables the samples of servers' speeds and the use of their factors.
	LearnSpeeds bool
}

// A Dispatcher reserves servers for requests. It is safe for concurrent use.
type Dispatcher struct {
	opts Options

	mu      sync.Mutex
	servers *backend.Snapshot
	// loads holds the load of this process by server ID, remote that of all other processes.
	loads  map[string]*serverLoad
	remote map[string]remoteLoad
	// busiestOnly means that remote lists only the busiest servers.
	busiestOnly bool
	owners      ownership
	queue       waitQueue
	demand      demandTable
	speeds      speedEstimates
	serverTime  serverTimeBook
	// serverSpeeds holds the speeds of servers; nil if they are not learned.
	serverSpeeds *serverSpeeds
	// shedders holds the shedder of each service.
	shedders map[string]*shedder
	// pausedUntil is the time from which no server is paused.
	pausedUntil time.Time
	// nextServe is when serveWaiting is scheduled to run next; zero if it is not scheduled.
	nextServe time.Time

	// slots caches countedSlots by service.
	slots map[string]int
	// ledger counts the requests of other gateways at the servers that this gateway owns, outbox those of this gateway at
	// other owners' servers. accounted holds all reservations at servers of counted services.
	ledger    *admission.Ledger
	outbox    *admission.Outbox
	accounted map[*Reservation]struct{}
	notices   map[string]*noticeState
	// asked holds the requests that other owners have been asked for and may have queued.
	asked map[askKey]*askedRequest
	// queues holds the queues of owned servers, queuedAsks the requests of other gateways in them. shares divides the
	// capacity of each service. freed lists the servers at which requests have ended since the queues were served.
	queues     map[string]*serverQueue
	queuedAsks map[askKey]*queuedRequest
	shares     map[string]*admitqueue.Shares
	returns    admitqueue.Returns
	freed      []string
	// endsReported is set while a message is applied. The time that requests took is not known when their gateway is gone.
	endsReported bool
	grants       map[grantKey][]admission.ID
}

// New returns a Dispatcher without servers.
func New(o Options) *Dispatcher {
	d := &Dispatcher{
		opts: o, servers: &backend.Snapshot{}, loads: make(map[string]*serverLoad),
		remote: make(map[string]remoteLoad), demand: newDemandTable(),
		shedders: make(map[string]*shedder),
		slots:    make(map[string]int), outbox: admission.NewOutbox(o.ID, o.Epoch), accounted: make(map[*Reservation]struct{}),
		notices: make(map[string]*noticeState), asked: make(map[askKey]*askedRequest), queues: make(map[string]*serverQueue),
		queuedAsks: make(map[askKey]*queuedRequest), shares: make(map[string]*admitqueue.Shares), grants: make(map[grantKey][]admission.ID),
		serverSpeeds: newServerSpeeds(o.LearnSpeeds),
	}
	d.owners = newOwnership(o.ID, d.isCounted)
	d.ledger = admission.NewLedger(o.Epoch, d.requestEnded)
	return d
}

// SetServers replaces the list of servers and serves waiting requests.
func (d *Dispatcher) SetServers(s *backend.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = s
	clear(d.slots)
	now := d.opts.Clock.Now()
	for id, l := range d.loads {
		if !s.Has(id) && l.Running == 0 && !now.Before(l.pause.endsAt) {
			delete(d.loads, id)
			d.owners.removeServer(id)
		}
	}
	d.serveQueues()
	d.serverSpeeds.retain(s)
	d.serveWaiting()
}

// SetRemoteLoads replaces the loads of all other processes, by server ID. busiestOnly means that
// the map holds only the busiest servers.
func (d *Dispatcher) SetRemoteLoads(remote map[string]Load, busiestOnly bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	d.busiestOnly = busiestOnly
	d.remote = make(map[string]remoteLoad, len(remote))
	for id, l := range remote {
		d.remote[id] = remoteLoad{Load: l, reportedAt: now}
	}
	d.serveWaiting()
}

// SetGateways replaces the list of gateways, among which the engines are divided. Each engine is
// owned by a gateway in its own data hall if there is one.
func (d *Dispatcher) SetGateways(list []Gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owners.setGateways(list) {
		d.ownershipChanged()
	}
}

// Loads returns the load of this process by server ID, without idle servers.
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

// CanSend reports whether some server could take the request now, as far as this gateway knows. It
// reserves nothing.
func (d *Dispatcher) CanSend(r *Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	_, list := d.candidates(r, now)
	return Choose(list, d.limitsFor(r, now)) >= 0
}

// CountServersHolding returns the number of servers that hold the request's model and adapter, accept
// requests and are in a data hall that the request allows, whether or not they have capacity.
func (d *Dispatcher) CountServersHolding(r *Request) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holderCount(r)
}

// MissingTargets returns the models and adapters that requests wait for and that no server holds, in the
// form MODEL or MODEL/ADAPTER.
func (d *Dispatcher) MissingTargets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[string]bool)
	var missing []string
	for _, w := range d.queue.list {
		target := w.req.targetKey()
		if w.req.Model == "" || seen[target] {
			continue
		}
		seen[target] = true
		if d.isMissing(w.req) {
			missing = append(missing, target)
		}
	}
	return missing
}

// isMissing reports whether no server that accepts requests holds the request's model and adapter, whatever software
// version it runs: models are not loaded for a version.
func (d *Dispatcher) isMissing(r *Request) bool {
	return !slices.ContainsFunc(d.servers.WithModel(r.Service, r.Model), func(s *backend.Server) bool {
		return r.allowsApartFromVersion(s) && r.isHeldBy(s)
	})
}

func (d *Dispatcher) holderCount(r *Request) int {
	n := 0
	for _, s := range d.servers.WithModel(r.Service, r.Model) {
		if r.allows(s) && r.isHeldBy(s) {
			n++
		}
	}
	return n
}

// tryReserve reserves the server with the lowest cost for the request, or returns nil. If prefill
// progress alone can free capacity, it schedules serveWaiting for that time. d.mu must be held.
func (d *Dispatcher) tryReserve(r *Request) *Reservation {
	now := d.opts.Clock.Now()
	servers, list := d.candidates(r, now)
	limits := d.limitsFor(r, now)
	i := Choose(list, limits)
	if i < 0 {
		d.scheduleAfterPrefill(servers, list, limits, now)
		return nil
	}
	res := d.reserve(r, servers[i], list[i])
	res.candidateCount = len(list)
	return res
}

// lateShare is the fraction of the usable slots and memory of an engine that late requests may use.
// Without this limit, under overload every freed slot goes to a request that has already missed its
// objective, and new requests become late as well.
const lateShare = 0.5

// countedLateShare is the same at counted servers. Their queue serves requests in time before late ones, so that a few slots
// are enough for those that arrive next: of 22 requests that take a second or two, one ends in some 60 ms.
const countedLateShare = 0.9

// limitsFor returns the limits that apply to a request now. d.mu must be held.
func (d *Dispatcher) limitsFor(r *Request, now time.Time) Limits {
	l := Limits{Gap: r.Gap, Utilization: d.opts.Utilization}
	switch {
	case !r.isLate(now):
	case d.isCounted(r.Service):
		l.Utilization *= countedLateShare
	default:
		l.Utilization *= lateShare
	}
	return l
}

// candidates returns the servers that hold what the request needs and may be chosen now, with the
// candidate for each. d.mu must be held.
func (d *Dispatcher) candidates(r *Request, now time.Time) (servers []*backend.Server, list []Candidate) {
	cacheTokens := d.opts.CacheTokens(r.Service)
	for _, s := range d.servers.WithModel(r.Service, r.Model) {
		if !d.isEligible(r, s) {
			continue
		}
		if from := d.loadOf(s.ID).eligibleFrom(r.targetKey()); now.Before(from) {
			d.scheduleServe(from)
			continue
		}
		if _, limited := d.rateLimitOf(s.ID); limited && d.isPermitBlocked(r, s.ID, now) {
			continue
		}
		servers = append(servers, s)
		list = append(list, d.candidate(r, s, cacheTokens, now))
	}
	return servers, list
}

// candidate returns the state of a server for a request. cacheTokens is the engine's cache memory
// in tokens. d.mu must be held.
func (d *Dispatcher) candidate(r *Request, s *backend.Server, cacheTokens int, now time.Time) Candidate {
	l := d.loadOf(s.ID)
	c := Candidate{
		CacheTokens: cacheTokens, Slots: s.Slots, SameHall: s.Hall == d.opts.Hall, Owned: d.owners.owns(s), Counted: d.isCounted(s.Service),
		FailureRate: l.failures.at(now), RequiredTokens: r.PromptTokens + r.MaxOutputTokens, Stalled: l.isStalled(now),
		TimeFactor: d.serverSpeeds.factor(s.ID, now),
	}
	if r.OnTrial {
		c.OnTrial, c.Trials, c.SoleHolder = true, l.trials, d.isSoleHolder(s)
	}
	c.NeedsAdmission = !c.Owned && (r.Model != "" || c.Counted) && d.opts.Owners != nil && d.owners.isAvailable(d.owners.ownerOf(s), now)
	d.setLoads(&c, l, s.ID, now)
	if _, known := d.remote[s.ID]; d.busiestOnly && !known && !c.Owned {
		c.Jitter = d.owners.jitter(s.ID)
	}
	if r.Model != "" {
		c.PrefillTokens = max(r.PromptTokens-l.prefixes.cachedTokens(r.targetKey(), r.Prefix), 0)
		c.PrefillTime = d.speeds.prefillTime(r.Model, c.PrefillTokens) * c.timeFactor()
	}
	if c.Counted && r.Gap.MaxGap > 0 {
		c.StepTime = d.stepTimeAt(s)
	}
	if c.Owned && r.Gap.MaxGap > 0 {
		c.PrefillInGap = InMilliseconds(l.prefill.busyWithin(c.PrefillTime.Duration(), r.Gap.MaxGap.Duration(), now))
	}
	return c
}

// isSoleHolder reports whether no other server holds one of the server's models. d.mu must be held.
func (d *Dispatcher) isSoleHolder(s *backend.Server) bool {
	return slices.ContainsFunc(s.Residents, func(r backend.Resident) bool {
		return len(d.servers.WithModel(s.Service, r.Model)) == 1
	})
}

// setLoads sets the load of a candidate: the requests of this process, those that other processes
// reported and, for an owned engine, the recent admissions. An owned engine's prefill queue is more
// accurate than the reports, so it replaces them.
func (d *Dispatcher) setLoads(c *Candidate, l *serverLoad, id string, now time.Time) {
	others := d.remote[id].expectedAt(now)
	if c.Counted && c.Owned && d.opts.Owners != nil {
		d.countOwned(c, l, id, others, now)
		return
	}
	l.owned = false
	c.Running = l.Running + l.asking + others.Running
	c.UsedTokens = l.UsedTokens + others.UsedTokens
	c.PrefillAhead = Milliseconds(l.PrefillMs + others.PrefillMs)
	if c.Owned && d.opts.Owners != nil {
		admitted := l.admittedLoad(now)
		c.Running += admitted.Running
		c.UsedTokens += admitted.UsedTokens
		c.PrefillAhead = max(InMilliseconds(l.prefill.end(now).Sub(now)), Milliseconds(l.PrefillMs))
	}
}

func (d *Dispatcher) loadOf(id string) *serverLoad {
	l := d.loads[id]
	if l == nil {
		l = &serverLoad{}
		d.loads[id] = l
	}
	return l
}
