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
	"rockcleat/residency"
	"rockcleat/table"
)

// Pace of the placer's steps.
const (
	// tick is the time between two steps.
	tick = 100 * time.Millisecond
	// minStepInterval is the least time between two steps that reports cause.
	minStepInterval = 25 * time.Millisecond
)

// A Lease decides which process leads; lease.Holder is one.
type Lease interface {
	// Held returns the fencing token and whether the lease is surely still held.
	Held() (lease.Token, bool)
	// OtherHolder returns the record of the holder seen last, HasSeenOther whether there
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
	// SettleTime is how long a new leader waits before its first order, so that the last
	// one's orders are over.
	SettleTime time.Duration
	// FirstStart says that the whole system starts for the first time, so that there was
	// no leader before.
	FirstStart bool
	// Gateways, if not nil, returns the gateways that this process knows, for a new leader to begin with.
	Gateways func() []Gateway
	// PrefillSpeeds, if not nil, returns the prefill speeds that this process reckons with, for a
	// new leader to begin with.
	PrefillSpeeds func() map[string]float64
	// IsInNeed, if not nil, reports whether a backend server takes few requests for now.
	IsInNeed func(*backend.Server) bool
	Clock    clock.Service
	Log      *zap.Logger
}

// A Placer issues orders to engines while it holds the lease; it is safe for concurrent use.
type Placer struct {
	opts Options

	mu         sync.Mutex
	leadership leadership
	engines    engineTable
	demand     *demand
	// adapterWaitedSince is since when adapters that no engine holds have been waited for.
	adapterWaitedSince map[backend.Adapter]time.Time
	// plannedAt is when each service's models were last planned.
	plannedAt map[string]time.Time
	// successions holds what each service's demand has shown of its order in this term.
	successions map[string]*residency.Succession
	storeLoads  storeLoads
	speeds      speedTable
	residency   publishedResidency
	// reportsRequested counts the reports that engines were asked for in this step.
	reportsRequested int
	stepped          time.Time

	stop   func()
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Placer that does nothing until Start.
func New(o Options) *Placer {
	p := &Placer{opts: o, demand: newDemand()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Start contends for the lease and begins to tick.
func (p *Placer) Start() {
	go p.opts.Lease.Campaign(p.ctx, p.opts.Keys)
	p.stop = p.opts.Clock.Subscribe(tick, p.step)
}

// Stop releases the lease and ends the placer.
func (p *Placer) Stop(ctx context.Context) {
	p.cancel()
	p.stop()
	if err := p.opts.Lease.Release(ctx); err != nil {
		p.opts.Log.Warn("lease not released, it ends by its ttl", telemetry.Error(err))
	}
}

// Leader returns where the leader takes messages and whether it is this process.
func (p *Placer) Leader() (addr string, own bool) {
	if _, held := p.opts.Lease.Held(); held {
		return "", true
	}
	return p.opts.Lease.OtherHolder().Addr, false
}

// Report applies a gateway's report and returns the reply to it.
func (p *Placer) Report(r Report) Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.opts.Lease.Held()
	if !ok {
		return Reply{}
	}
	now := p.opts.Clock.Now()
	if held != p.leadership.token {
		p.becomeLeader(held, now)
	}
	p.demand.apply(r, now)
	p.speeds.observe(r.Samples)
	if p.residency.isDue(now) {
		p.publish(now)
	}
	token := int64(p.leadership.token)
	a := Reply{IsLeader: true, Term: token, ResidencyVersion: p.residency.version}
	a.Loads, a.BusiestOnly = p.demand.loads.excluding(r.Loads, now)
	a.Awaited = len(p.demand.former)
	gateways, version := p.demand.list()
	a.GatewaysVersion = version
	if r.GatewaysVersion != version {
		a.Gateways = gateways
	}
	a.Full = !isSameTerm(r.ResidencyVersion, p.residency.version)
	a.Residency = p.residency.changedSince(r.ResidencyVersion, a.Full)
	a.SpeedsVersion, a.Speeds = p.speeds.version, p.speeds.changedSince(r.SpeedsVersion)
	return a
}

// Wake makes the placer act soon on what has been reported; calls that come close together
// cost one step.
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

// step does whatever is due: it follows the lease and the demand, plans, and calls engines.
func (p *Placer) step(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	token, held := p.opts.Lease.Held()
	if !held {
		p.resign()
		return
	}
	if token != p.leadership.token {
		p.becomeLeader(token, now)
	}
	elapsed := now.Sub(p.stepped)
	if elapsed <= 0 {
		return
	}
	previous := p.stepped
	p.stepped = now
	p.reportsRequested = 0
	p.demand.step(elapsed)
	p.demand.forget(now, gatewayTimeoutFor(len(p.demand.gateways)))
	routing := p.opts.Routing()
	if routing == nil || !p.leadership.mayOrder(now) {
		return
	}
	p.engines.sync(p.opts.Registry.Snapshot(), routing)
	services := routing.Services()
	p.storeLoads.setRate(services, previous, now)
	for _, s := range services {
		if s.Engine != nil {
			p.runService(s, now)
		}
	}
	p.publish(now)
}

// becomeLeader begins a term with nothing known of engines and no loads allowed yet, but
// for the first leader: nobody has loaded anything before it.
func (p *Placer) becomeLeader(token lease.Token, now time.Time) {
	p.leadership.settleTime = p.settleTime(now)
	p.opts.Log.Info("leadership gained", zap.Int64("token", int64(token)), zap.Duration("settle", p.leadership.settleTime))
	p.leadership.token, p.leadership.since, p.stepped = token, now, now
	p.storeLoads = storeLoads{startFull: p.isFirst()}
	p.residency.beginTerm(token)
	p.speeds.beginTerm(token, p.knownSpeeds())
	if p.opts.Gateways != nil {
		p.demand.remember(p.opts.Gateways(), now)
	}
	p.plannedAt = make(map[string]time.Time)
	p.successions = make(map[string]*residency.Succession)
}

// resign forgets what only a leader may act on.
func (p *Placer) resign() {
	if p.leadership.token == 0 {
		return
	}
	p.opts.Log.Info("leadership lost", zap.Int64("token", int64(p.leadership.token)))
	p.leadership.token = 0
	p.engines = engineTable{}
	p.demand = newDemand()
	p.residency.published = nil
}

// knownSpeeds returns the prefill speeds to begin a term with.
func (p *Placer) knownSpeeds() map[string]float64 {
	if p.opts.PrefillSpeeds == nil {
		return nil
	}
	return p.opts.PrefillSpeeds()
}
