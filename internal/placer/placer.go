package placer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/table"
)

// Times of the placer.
const (
	tick = 100 * time.Millisecond
	// wakeEvery is the least time between two steps that reports cause.
	minStepInterval = 25 * time.Millisecond
	// gatewaySilence is after how long a gateway's report no longer counts, at least,
	// and silentReports after how many that did not come.
	gatewayTimeout        = 2 * time.Second
	gatewayTimeoutReports = 4
	// reportEvery is the time between two reports of a gateway. With more gateways
	// than reportGateways each reports less often, so that the holder's load stays
	// bounded, but at least every slowReport.
	reportEvery        = 80 * time.Millisecond
	gatewaysAtFullPace = 12
	maxReportInterval  = time.Second
	// refreshEvery is how often an engine without orders is asked for a report, with
	// up to paceEngines of them; with more of them it is done less often.
	refreshEvery = 6 * time.Second
	// paceEngines is the number of engines up to which all of them are looked at at
	// the full pace.
	enginesAtFullPace = 100
	// maxAsked bounds the reports asked for in one step.
	maxReportsPerStep = 30
	// tellEvery is the least time between two looks at what engines hold, for gateways.
	publishEvery = 25 * time.Millisecond
)

// firstSettle is how long the first holder waits, so that the servers have told
// of themselves and their models are not taken to be missing.
const firstLeaderDelay = 4 * time.Second

// The weight store's budget.
const (
	// budgetShare is the part of the store's rate that is used.
	storeRateShare = 0.8
	// budgetBurst is the number of loads that may begin together.
	storeBurst = 2
)

// A Lease decides who gives the orders; lease.Holder is one.
type Lease interface {
	// Held returns the fencing token and whether the lease is surely still held.
	Held() (lease.Token, bool)
	// Other returns the record of the holder seen last, HasSeenOther whether there
	// ever was one.
	OtherHolder() lease.Record
	HasSeenOther() bool
	// Campaign contends for the lease until ctx ends; Release gives it back.
	Campaign(ctx context.Context, keys kv.PrefixStore)
	Release(ctx context.Context) error
}

// Options are what a Placer is made of.
type Options struct {
	Lease Lease
	// Keys is where the lease's key is watched.
	Keys     kv.PrefixStore
	Engines  backend.EngineClient
	Registry *backend.Registry
	// Routing returns the configuration in force, or nil.
	Routing func() *table.Routing
	// Settle is how long a new holder waits before its first order, so that the
	// last one's orders are over.
	SettleTime time.Duration
	// First tells that the whole system starts for the first time, so that there
	// was no holder before.
	FirstStart bool
	Clock      clock.Service
	Log        *zap.Logger
}

// A Placer gives the orders while it holds the lease.
type Placer struct {
	opts Options

	mu          sync.Mutex
	token       lease.Token
	leaderSince time.Time
	fencedToken lease.Token
	// denial is what the last holder says, denied its length when the lease was gained.
	formerLeader nonLeaderReplies
	settleCredit time.Duration
	engines      map[string]*engineState
	// followed is the snapshot that engines and services were last taken from.
	syncedWith    *backend.Snapshot
	syncedVersion uint64
	// services holds the engines of each service in the order of their ids.
	services map[string][]*engineState
	// planned is when each service's models were last planned.
	plannedAt map[string]time.Time
	// asked counts the reports asked for in this step.
	reportsRequested int
	demand           *demand
	// missing tells since when adapters that no engine holds have been waited for.
	adapterWaitedSince map[backend.Adapter]time.Time
	// budget is the number of loads that the weight store bears now.
	budget           float64
	stepped          time.Time
	publishedVersion int64
	// told is what gateways are told that engines hold, changed the version in which
	// that changed last.
	published   map[string]backend.Residency
	changedIn   map[string]int64
	publishedAt time.Time
	stop        func()
	ctx         context.Context
	done        context.CancelFunc
}

// New returns a Placer that does nothing until Start.
func New(o Options) *Placer {
	p := &Placer{opts: o, engines: make(map[string]*engineState), demand: newDemand()}
	p.ctx, p.done = context.WithCancel(context.Background())
	return p
}

// Start contends for the lease and begins to tick.
func (p *Placer) Start() {
	go p.opts.Lease.Campaign(p.ctx, p.opts.Keys)
	p.stop = p.opts.Clock.Subscribe(tick, p.step)
}

// Stop gives the lease back and ends the placer.
func (p *Placer) Stop(ctx context.Context) {
	p.done()
	p.stop()
	if err := p.opts.Lease.Release(ctx); err != nil {
		p.opts.Log.Warn("lease not given back", telemetry.Error(err))
	}
}

// Holder returns where the holder of orders takes messages and whether it is this process.
func (p *Placer) Leader() (addr string, own bool) {
	if _, held := p.opts.Lease.Held(); held {
		return "", true
	}
	return p.opts.Lease.OtherHolder().Addr, false
}

// Report takes in what a gateway tells and returns the answer to it.
func (p *Placer) Report(r Report) Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, held := p.opts.Lease.Held(); !held {
		return Reply{}
	}
	now := p.opts.Clock.Now()
	p.demand.apply(r, now)
	if now.Sub(p.publishedAt) >= publishEvery {
		p.publish(now)
	}
	a := Reply{IsLeader: true, Term: int64(p.token), ResidencyVersion: p.publishedVersion}
	a.Loads, a.BusiestOnly = p.demand.loads.excluding(r.Loads, now)
	list, known := p.demand.list()
	a.GatewaysVersion = known
	if r.GatewaysVersion != known {
		a.Gateways = list
	}
	a.Full = r.ResidencyVersion>>versionBits != int64(p.token)
	a.Residency = p.changedSince(r.ResidencyVersion, a.Full)
	return a
}

// Wake makes the placer look soon at what has been reported; calls that come
// close together cost one look.
func (p *Placer) Wake() {
	now := p.opts.Clock.Now()
	if p.steppedLately(now) {
		return
	}
	p.step(now)
}

func (p *Placer) steppedLately(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.stepped) < minStepInterval
}

// step does whatever is due.
func (p *Placer) step(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	token, held := p.opts.Lease.Held()
	if !held {
		p.resign()
		return
	}
	if token != p.token {
		p.becomeLeader(token, now)
	}
	by := now.Sub(p.stepped)
	if by <= 0 {
		return
	}
	p.stepped = now
	p.reportsRequested = 0
	p.demand.step(by)
	p.demand.forget(now, gatewayTimeoutFor(len(p.demand.gateways)))
	routing := p.opts.Routing()
	if routing == nil || token == p.fencedToken || now.Sub(p.leaderSince) < p.settle() {
		return
	}
	p.syncEngines(p.opts.Registry.Snapshot(), routing)
	services := routing.Services()
	p.credit(services, by)
	for _, s := range services {
		if s.Engine != nil {
			p.runService(s, now)
		}
	}
	p.publish(now)
}

// ReportPace returns the time between two reports of one of a number of gateways.
func ReportInterval(gateways int) time.Duration {
	return min(reportEvery*time.Duration(max(1, gateways/gatewaysAtFullPace)), maxReportInterval)
}

// silence returns after how long a gateway's report no longer counts.
func gatewayTimeoutFor(gateways int) time.Duration {
	return max(gatewayTimeout, gatewayTimeoutReports*ReportInterval(gateways))
}

// isFirst reports whether there was no holder before this one.
func (p *Placer) isFirst() bool { return p.opts.FirstStart && !p.opts.Lease.HasSeenOther() }

// settle returns how long this holder waits before its first order. The time in
// which the last holder has said that it gives none counts.
func (p *Placer) settle() time.Duration {
	if p.isFirst() {
		return firstLeaderDelay
	}
	return max(p.opts.SettleTime-p.settleCredit, 0)
}

// deniedLately is how old the last holder's word may be that it gives no orders.
const nonLeaderReplyMaxAge = 500 * time.Millisecond

// A denial is the time in which the last holder has said, without a break, that it
// gives no orders.
type nonLeaderReplies struct {
	addr        string
	first, last time.Time
}

// Answered tells what the process at an address said of holding the orders, or
// that it did not answer.
func (p *Placer) NotePeerReply(addr string, denied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	switch {
	case !denied:
		p.formerLeader = nonLeaderReplies{}
	case p.formerLeader.addr == addr:
		p.formerLeader.last = now
	default:
		p.formerLeader = nonLeaderReplies{addr: addr, first: now, last: now}
	}
}

// deniedFor returns how long the last holder has said that it gives no orders.
func (p *Placer) formerLeaderQuietFor(now time.Time) time.Duration {
	last := p.opts.Lease.OtherHolder().Addr
	if last == "" || p.formerLeader.addr != last || now.Sub(p.formerLeader.last) > nonLeaderReplyMaxAge {
		return 0
	}
	return p.formerLeader.last.Sub(p.formerLeader.first)
}

// lose forgets what only a holder may act on.
func (p *Placer) resign() {
	if p.token == 0 {
		return
	}
	p.opts.Log.Info("orders lost", zap.Int64("token", int64(p.token)))
	p.token = 0
	p.engines = make(map[string]*engineState)
	p.syncedWith = nil
	p.demand = newDemand()
	p.published = nil
}

func (p *Placer) becomeLeader(token lease.Token, now time.Time) {
	p.settleCredit = p.formerLeaderQuietFor(now)
	p.opts.Log.Info("orders gained", zap.Int64("token", int64(token)), zap.Duration("settle", p.settle()))
	p.token, p.leaderSince, p.stepped = token, now, now
	p.budget = 0
	if p.isFirst() {
		p.budget = storeBurst
	}
	p.publishedVersion = int64(token) << versionBits
	p.changedIn = make(map[string]int64)
	p.plannedAt = make(map[string]time.Time)
}

// versionBits is the part of a residency's version that counts changes; the
// rest is the holder's token, so that versions of two holders differ.
const versionBits = 20

// follow adds the engines that have come and drops those that have gone.
func (p *Placer) syncEngines(s *backend.Snapshot, routing *table.Routing) {
	if s == p.syncedWith && routing.Version() == p.syncedVersion {
		return
	}
	p.syncedWith, p.syncedVersion = s, routing.Version()
	p.services = make(map[string][]*engineState)
	for id := range p.engines {
		if _, ok := s.Server(id); !ok {
			delete(p.engines, id)
		}
	}
	for _, service := range routing.Services() {
		if service.Engine == nil {
			continue
		}
		for _, srv := range s.Service(service.Name) {
			e := p.engines[srv.ID]
			if e == nil {
				e = newEngine(srv)
				p.engines[srv.ID] = e
			}
			e.server = srv
			p.services[service.Name] = append(p.services[service.Name], e)
		}
	}
}
