package placer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/residency"
	"rockcleat/servertime"
	"rockcleat/table"
)

// Intervals between steps.
const (
	// stepInterval is the interval of the periodic steps.
	stepInterval = 100 * time.Millisecond
	// minStepInterval is the minimum time between a step and the next one that Wake triggers.
	minStepInterval = 25 * time.Millisecond
)

// A Lease elects the leader. It is implemented by lease.Holder.
type Lease interface {
	// Held returns the fencing token and reports whether the lease is certainly still held.
	Held() (lease.Token, bool)
	// LastRecord returns the record last seen under the lease's key, or a zero Record if none was seen.
	// HasSeenOther reports whether the record of another holder was ever seen.
	LastRecord() lease.Record
	HasSeenOther() bool
	// Campaign tries to acquire and keep the lease until ctx is done. Release gives up the lease.
	Campaign(ctx context.Context, keys kv.PrefixStore)
	Release(ctx context.Context) error
}

// Options configure a Placer.
type Options struct {
	Lease Lease
	// Keys is the store in which the lease's key is watched.
	Keys     kv.PrefixStore
	Engines  backend.EngineClient
	Registry *backend.Registry
	// Routing returns the configuration in force, or nil if there is none yet.
	Routing func() *table.Routing
	// SettleTime is how long a new leader waits before its first order. By then no order of the previous
	// leader is in progress any more.
	SettleTime time.Duration
	// FirstStart is set when the whole system starts for the first time, so that there was no earlier leader.
	FirstStart bool
	// Gateways, if not nil, returns the gateways known to this process. A new leader starts with them.
	Gateways func() []Gateway
	// PrefillSpeeds, if not nil, returns the prefill speeds known to this process, in milliseconds per token
	// by model. A new leader starts with them.
	PrefillSpeeds func() map[string]float64
	// StepTimes, if not nil, returns the base step times known to this process, in milliseconds by model. A new leader
	// starts with them.
	StepTimes func() map[string]float64
	// MaxCountedSlots is the number of slots up to which a service's engines are planned by demand in engine time, and
	// lost replicas are replaced first; 0 if none are.
	MaxCountedSlots int
	// IsThrottled, if not nil, reports whether a backend server currently accepts so few requests that no
	// adapter should be placed on it.
	IsThrottled func(*backend.Server) bool
	// IsPaused, if not nil, reports whether a backend server, given by its ID, accepts no calls from this process
	// now.
	IsPaused func(server string) bool
	// OnResign, if not nil, is called when this process gives up the lease since an engine has rejected its token.
	OnResign func()
	// LearnSpeeds enables the estimates of servers' speeds. ServerFactors, if not nil, returns the factors known to this
	// process, by server ID; a new leader starts with them.
	LearnSpeeds   bool
	ServerFactors func() map[string]float64
	// OnFactorChange, if not nil, is called when the published factor of a server becomes 1 or other than 1. It must not
	// block or call the Placer.
	OnFactorChange func(server string, factor float64)
	Clock          clock.Service
	Log            *zap.Logger
}

// A Placer issues orders to engines while it holds the lease. It is safe for concurrent use.
type Placer struct {
	opts Options

	mu         sync.Mutex
	leadership leadership
	engines    engineTable
	demand     *demand
	// adapterWaitingSince holds, by service, the times since which requests have been waiting for adapters that no usable
	// engine holds.
	adapterWaitingSince map[string]map[backend.Adapter]time.Time
	// plannedAt holds the time of the last model plan of each service.
	plannedAt map[string]time.Time
	// successions estimates, by service, the order in which demand moves between models. It starts empty in
	// each term.
	successions      map[string]*residency.SequenceEstimator
	storeLoadLimiter storeLoadLimiter
	// speeds holds the prefill speeds of models in milliseconds per token, steps their base step times in milliseconds.
	speeds   estimateTable[dispatch.PrefillSample]
	steps    estimateTable[servertime.StepSample]
	replicas replicaWatch
	// factors is nil if the speeds of servers are not learned.
	factors   *serverFactors
	residency publishedResidency
	waiters   residencyWaiters
	// reportsRequested is the number of engine reports requested in this step.
	reportsRequested int
	lastStep         time.Time

	stop   func()
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Placer. It does nothing until Start.
func New(o Options) *Placer {
	p := &Placer{
		opts: o, adapterWaitingSince: make(map[string]map[backend.Adapter]time.Time), waiters: make(residencyWaiters), factors: newServerFactors(o),
		speeds: newEstimateTable(&dispatch.PrefillSpeeds{}, func(x dispatch.PrefillSample) string { return x.Model }),
		steps:  newEstimateTable(&servertime.StepTimes{}, func(x servertime.StepSample) string { return x.Model }),
	}
	p.demand = p.newDemandTable()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Start begins to campaign for the lease and to run the periodic steps.
func (p *Placer) Start() {
	go p.opts.Lease.Campaign(p.ctx, p.opts.Keys)
	p.stop = p.opts.Clock.Subscribe(stepInterval, p.step)
}

// Stop releases the lease and stops the placer.
func (p *Placer) Stop(ctx context.Context) {
	p.cancel()
	p.stop()
	p.releaseLease(ctx)
}

// Leader returns the address at which the leader accepts messages, and whether the leader is this process. If
// it is, the address is empty.
func (p *Placer) Leader() (addr string, own bool) {
	if _, held := p.opts.Lease.Held(); held {
		return "", true
	}
	return p.opts.Lease.LastRecord().Addr, false
}

// Report applies a gateway's report and returns the reply. The reply is empty if this process does not lead.
func (p *Placer) Report(r Report) Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	heldToken, ok := p.opts.Lease.Held()
	if !ok {
		return Reply{}
	}
	now := p.opts.Clock.Now()
	if heldToken != p.leadership.token {
		p.becomeLeader(heldToken, now)
	}
	p.demand.apply(r, now)
	p.speeds.observe(r.Samples)
	p.steps.observe(r.StepSamples)
	p.noteEnded(r.Ended, now)
	if p.residency.isDue(now) {
		p.publish(now)
	}
	token := int64(p.leadership.token)
	reply := Reply{IsLeader: true, Term: token, ResidencyVersion: p.residency.version}
	reply.Loads, reply.BusiestOnly = p.demand.loads.excluding(r.Loads, now)
	reply.Awaited = len(p.demand.awaited)
	reply.ExcessPercent = p.demand.excessOfOthers(r)
	gateways, version := p.demand.listGateways()
	reply.GatewaysVersion = version
	if r.GatewaysVersion != version {
		reply.Gateways = gateways
	}
	reply.Full = !IsSameTerm(r.ResidencyVersion, p.residency.version)
	reply.Residency = p.residency.changedSince(r.ResidencyVersion, reply.Full)
	reply.SpeedsVersion, reply.Speeds = p.speeds.version, p.speeds.changedSince(r.SpeedsVersion)
	if p.opts.MaxCountedSlots > 0 {
		reply.StepsVersion, reply.StepTimes = p.steps.version, p.steps.changedSince(r.StepsVersion)
	}
	p.exchangeFactors(r, &reply)
	return reply
}

// Wake runs a step to act on new reports, unless the last step was less than minStepInterval ago.
func (p *Placer) Wake() {
	now := p.opts.Clock.Now()
	if p.steppedRecently(now) {
		return
	}
	p.step(now)
}

func (p *Placer) steppedRecently(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastStep) < minStepInterval
}

// step checks the lease, updates the demand, plans, and makes the calls to engines that are due.
func (p *Placer) step(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	token, held := p.opts.Lease.Held()
	if !held {
		p.loseLeadership()
		return
	}
	if token != p.leadership.token {
		p.becomeLeader(token, now)
	}
	elapsed := now.Sub(p.lastStep)
	if elapsed <= 0 {
		return
	}
	previous := p.lastStep
	p.lastStep = now
	p.reportsRequested = 0
	p.demand.step(elapsed)
	p.demand.removeUnresponsive(now, gatewayTimeoutFor(len(p.demand.gateways)))
	p.retainFactors(p.opts.Registry.Snapshot())
	if p.leadership.isFenced() {
		p.resign()
		return
	}
	routing := p.opts.Routing()
	if routing == nil || !p.leadership.hasSettled(now) {
		return
	}
	p.engines.sync(p.opts.Registry.Snapshot(), routing)
	services := routing.Services()
	p.storeLoadLimiter.setRate(services, previous, now)
	for _, s := range services {
		if s.Engine != nil {
			p.runService(s, now)
		}
	}
	p.publish(now)
}

// becomeLeader starts a term. The limiter of store loads starts empty, unless there was no earlier leader
// that could have started loads.
func (p *Placer) becomeLeader(token lease.Token, now time.Time) {
	p.leadership.settleTime = p.settleTime(now)
	p.opts.Log.Info("leadership gained", zap.Int64("token", int64(token)), zap.Duration("settle", p.leadership.settleTime))
	p.leadership.token, p.leadership.since, p.lastStep = token, now, now
	p.storeLoadLimiter = storeLoadLimiter{startFull: p.isFirst()}
	p.residency.beginTerm(token)
	p.speeds.beginTerm(token, p.initialSpeeds())
	p.steps.beginTerm(token, p.initialStepTimes())
	p.beginFactorsTerm(token)
	if p.opts.Gateways != nil {
		p.demand.addAwaited(p.opts.Gateways(), now)
	}
	p.plannedAt = make(map[string]time.Time)
	p.successions = make(map[string]*residency.SequenceEstimator)
}

// loseLeadership discards the state that only a leader may act on.
func (p *Placer) loseLeadership() {
	if p.leadership.token == 0 {
		return
	}
	p.opts.Log.Info("leadership lost", zap.Int64("token", int64(p.leadership.token)))
	p.leadership.token = 0
	p.engines = engineTable{}
	p.replicas = replicaWatch{}
	p.demand = p.newDemandTable()
	p.residency.published = nil
}

// initialSpeeds returns the prefill speeds that a new term starts with.
func (p *Placer) initialSpeeds() map[string]float64 {
	if p.opts.PrefillSpeeds == nil {
		return nil
	}
	return p.opts.PrefillSpeeds()
}
