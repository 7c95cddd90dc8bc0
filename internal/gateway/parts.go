package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/departure"
	"rockcleat/dispatch"
	"rockcleat/internal/bodybuffer"
	"rockcleat/internal/config"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/serverconn"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/overload"
	"rockcleat/quarantine"
	"rockcleat/quota"
	"rockcleat/serverlimit"
)

// utilization is the fraction of an engine's slots and memory that is used. An engine at full utilization preempts
// running streams.
const utilization = 0.92

// leaseName is the name of the leader's lease in the store.
const leaseName = "placer"

// components holds the parts of a gateway, except its listeners and background loops.
type components struct {
	requestLog *requestLog
	config     *configuration
	gateways   *directory
	lifecycle  *lifecycle
	conns      *conns
	intake     *connIntake
	fleet      *fleetLoad
	budgets    *retryBudgets
	peers      *peerClient
	dispatcher *dispatch.Dispatcher
	servers    *serverList
	leader     leaderRole
	breaker    *kv.Breaker
	health     *storeHealth
	configs    *configsync.Syncer
	pauses     *pauseDetector
	processor  *processorGuard
	quarantine quarantineRole
	// serverLimits holds the rate limits that backend servers announce, departures the announcements of servers that
	// they are leaving.
	serverLimits *serverLimits
	departures   *departure.Table
	// origins holds where streams began.
	origins *streamOrigins
	limiter *quota.Limiter
	// limiters holds all limiters, which depend on the leader and its list of gateways.
	limiters   limiters
	fleetStore *fleetStore
	// listMu is held while a list of gateways is applied, so that all components get the same list.
	listMu sync.Mutex
	// urgent triggers an immediate report to the leader, missing a poll for a model or adapter that no engine holds.
	urgent, missing signal
}

// newComponents creates the components in dependency order. Their work ends with ctx.
func newComponents(ctx context.Context, o Options) *components {
	s := o.Settings
	p := &components{
		requestLog: newRequestLog(o.Log, o.Metrics, o.Clock, o.Names), config: newConfiguration(o.Decoder, o.Log),
		gateways: newDirectory(s.PeerListen, s.Gateways, s.Seeds, s.FirstStart), lifecycle: newLifecycle(),
		urgent: make(signal, 1), missing: make(signal, 1), health: newStoreHealth(ctx, o.Log),
	}
	p.gateways.regions = s.Regions
	p.gateways.vm = vmCapacity{cores: s.Cores, linkMbps: s.LinkMbps}
	p.fleet = &fleetLoad{gateways: p.gateways.count}
	monitor := overload.New(s.Processor.MaxDelay.Std())
	p.intake = newConnIntake(s, p.fleet, monitor, o.Clock, p.requestLog)
	p.intake.headerLimit = p.config.headerLimit
	p.conns = newConns(o.Clock, p.config.connLimits, p.intake)
	p.budgets = newRetryBudgets(s.Retry, s.FirstStart, o.Clock, p.gateways)
	p.peers = newPeerClient(p.gateways, o.Peers)
	p.serverLimits = p.newServerLimits(o)
	p.dispatcher = dispatch.New(dispatch.Options{
		ID: s.ID, Hall: s.Hall, Clock: o.Clock, Utilization: utilization, CacheTokens: p.config.cacheTokens,
		Owners: p.peers, OnOwnerUnresponsive: p.requestLog.admissionFailed, OnModelMissing: p.modelMissing,
		OnQueued: func(service string, estimated, waited time.Duration) {
			o.Metrics.QueueWaited(service, estimated.Seconds(), waited.Seconds())
		},
		Permits: p.serverLimits, MaxCountedSlots: s.Admission.MaxSlots, Accounts: p.peers, Epoch: rand.Int64() + 1,
		LearnSpeeds: s.Speeds.Learn,
	})
	p.servers = newServerList(o.Decoder, o.Clock, o.Log, p.dispatcher)
	p.servers.registry.SetWarmupTime(p.config.warmupTime)
	if s.FirstStart {
		p.servers.versions.SetComplete()
	}
	p.departures = p.newDepartures(o)
	p.servers.registry.SetAnnouncedLeaving(p.departures.HasAnnounced)
	p.pauses = &pauseDetector{log: o.Log, inProgress: p.lifecycle.requests, lastCheck: o.Clock.Now()}
	p.processor = &processorGuard{
		monitor: monitor, clock: o.Clock, inProgress: p.lifecycle.requests, fleet: p.fleet, log: p.requestLog,
	}
	p.quarantine = p.newQuarantineRole(ctx, o)
	p.servers.onRestart = func(s backend.Server) {
		p.quarantine.detector.restarted(s, s.Leaving || p.departures.HasAnnounced(s.ID))
	}
	p.breaker = kv.NewBreaker(kv.BreakerOptions{Clock: o.Clock, Cooldown: p.probeBackoff})
	p.leader = p.newLeaderRole(o)
	p.origins = p.newStreamOrigins(ctx, o)
	if s.EngineTimeSlots() > 0 {
		// The leader replaces the replicas of a lost server in a plan of its own.
		p.servers.onChange = p.leader.placer.Wake
	}
	p.limiter = p.newLimiter(o)
	p.limiters = limiters{p.limiter, p.serverLimits.limiter}
	p.config.onChange = func() {
		p.servers.refresh()
		p.leader.fanout.RecheckWatcher()
	}
	p.fleetStore = p.newFleetStore(ctx, o)
	p.configs = configsync.New(configsync.Options{
		Store: p.breaker.View(o.AllKeys), Key: o.Decoder.ConfigKey(), Applier: p.config, Peers: p.peers,
		Health: p.health, Clock: o.Clock, Log: o.Log, IsWatcher: p.leader.isLeader, IsRelay: p.isRelay, MaxAge: p.configMaxAge(s),
		StartWait: p.gateways.listWait, IsCaughtUp: p.fleetStore.isSettled,
		OnModeChange: p.requestLog.watchSwitched, OnTransfer: func(from configsync.Origin, bytes int, err error) {
			o.Metrics.ConfigTransfer(string(from), bytes, err)
		},
	})
	return p
}

// modelMissing is called when a request begins to wait for a model or adapter that no engine holds.
func (p *components) modelMissing() {
	p.urgent.send()
	p.missing.send()
}

// A leaderRole holds the components that a gateway needs to act as the leader.
type leaderRole struct {
	lease *lease.Holder
	// fanout distributes the leader's watches of the store to all gateways.
	fanout *kv.Fanout
	placer *placer.Placer
}

func (p *components) newLeaderRole(o Options) leaderRole {
	s := o.Settings
	l := leaderRole{lease: lease.New(o.Store, o.Clock, lease.Options{
		Name: leaseName, Holder: s.ID, Addr: s.PeerListen, TTL: s.LeaseTTL.Std(),
		AcquireDelay: func() time.Duration { return p.gateways.contentionDelay(p.leaderAddr()) },
	})}
	l.fanout = kv.NewFanout(kv.FanoutOptions{
		Clock: o.Clock, MaxAge: viewMaxAge(s), IsWatcher: l.isLeader,
		OnSwitch: p.requestLog.watchSwitched, Digest: p.servers.digest,
		ListWait:      func() time.Duration { return p.gateways.prefixListWait(p.leaderAddr()) },
		FallbackDelay: p.fallbackDelay(s), IsRelay: p.isRelay, PeriodicWriters: writersAfterRestore(o.Decoder),
	})
	l.placer = placer.New(placer.Options{
		Lease: l.lease, Keys: l.fanout.View(p.breaker.View(o.ProductKeys), true), Engines: o.Engines, Registry: &p.servers.registry,
		Routing: p.config.routing, Clock: o.Clock, Log: o.Log, SettleTime: s.LeaseTTL.Std(), FirstStart: s.FirstStart,
		Gateways: p.gateways.list, PrefillSpeeds: p.dispatcher.PrefillSpeeds, StepTimes: p.dispatcher.StepTimes,
		MaxCountedSlots: s.EngineTimeSlots(), IsThrottled: p.serverLimits.isThrottled, IsPaused: p.dispatcher.IsPaused,
		LearnSpeeds: s.Speeds.Learn, ServerFactors: p.dispatcher.ServerFactors, OnFactorChange: p.serverSpeedChanged,
		OnResign: o.Metrics.LeadershipResigned,
	})
	return l
}

// isLeader reports whether this gateway is the leader.
func (l leaderRole) isLeader() bool {
	_, held := l.lease.Held()
	return held
}

// leaderAddr returns the leader's peer address: that of the gateway that last replied as the leader, or else the one
// in the lease's record. It is empty if neither is known.
func (p *components) leaderAddr() string {
	record, own := p.leader.placer.Leader()
	if own {
		return p.gateways.self
	}
	return p.gateways.leaderOr(record)
}

// probeBackoff returns how long this gateway waits before it calls a failed store again.
func (p *components) probeBackoff() time.Duration {
	if p.leader.isLeader() {
		return 0
	}
	return p.gateways.probeBackoff(p.leaderAddr())
}

// isRelay reports whether other gateways get this gateway's view of the store while there is no leader.
func (p *components) isRelay() bool { return p.gateways.isRelay(p.leaderAddr()) }

// viewMaxAge returns the maximum age of a store view on the first level of the tree: half the duration of a watch.
func viewMaxAge(s config.Gateway) time.Duration { return s.WatchTimeout.Std() / 2 }

// fallbackDelay returns a function that returns this gateway's addition to viewMaxAge.
func (p *components) fallbackDelay(s config.Gateway) func() time.Duration {
	return func() time.Duration { return p.gateways.fallbackDelay(p.leaderAddr(), viewMaxAge(s)) }
}

// configMaxAge returns a function that returns the maximum age of the configuration in this gateway; it is the same as
// for all other views of the store.
func (p *components) configMaxAge(s config.Gateway) func() time.Duration {
	extra := p.fallbackDelay(s)
	return func() time.Duration { return viewMaxAge(s) + extra() }
}

func (p *components) newFeed(o Options) *feed {
	return &feed{
		self: o.Settings.PeerListen, gateways: p.gateways, fanout: p.leader.fanout, configs: p.configs, peers: p.peers,
		isLeader: p.leader.isLeader, leader: p.leaderAddr, clock: o.Clock, log: o.Log, backoffUntil: make(map[string]time.Time),
	}
}

func (p *components) newHolderWatcher(o Options) *holderWatcher {
	return &holderWatcher{
		dispatcher: p.dispatcher, placer: p.leader.placer, servers: p.servers, gateways: p.gateways, peers: p.peers,
		leader: p.leaderAddr, clock: o.Clock, missing: p.missing,
	}
}

// serverSpeedChanged logs that the published factor of a server has become 1 or other than 1.
func (p *components) serverSpeedChanged(server string, factor float64) {
	service := ""
	if s, ok := p.servers.registry.Snapshot().Server(server); ok {
		service = s.Service
	}
	p.requestLog.serverSpeedChanged(server, service, factor)
}

// initialFactorsVersion returns the version of the servers' factors in the first report.
func initialFactorsVersion(s config.Gateway) int64 {
	if s.Speeds.Learn {
		return placer.NoFactors
	}
	return 0
}

func (p *components) newReporter(o Options) *reporter {
	s := o.Settings
	return &reporter{
		self: sender{id: s.ID, addr: s.PeerListen, hall: s.Hall, cores: s.Cores}, dispatcher: p.dispatcher, configs: p.configs,
		factorsVersion: initialFactorsVersion(s),
		servers:        p.servers, gateways: p.gateways, placer: p.leader.placer, fanout: p.leader.fanout, peers: p.peers,
		clock: o.Clock, log: o.Log, quarantine: quarantine.NewLink(p.quarantine.table, quarantine.AllRecords),
		synced: p.quarantine.synced, limiters: p.limiters, applyGateways: p.applyGateways, urgent: p.urgent,
		serverLimits: serverlimit.NewLink(p.serverLimits.Table), departures: departure.NewLink(p.departures),
		endedServers: p.endedServers(s), intake: p.intake, fleet: p.fleet,
	}
}

// endedServers returns the function that lists crashed servers in reports: none if no service is planned in engine time.
func (p *components) endedServers(s config.Gateway) func() []string {
	if s.EngineTimeSlots() == 0 {
		return func() []string { return nil }
	}
	return p.quarantine.detector.endedServers
}

func (p *components) newQuarantineStore(ctx context.Context, o Options) *quarantineStore {
	return &quarantineStore{
		ctx: ctx, role: &p.quarantine, store: o.Store, keys: p.breaker.View(o.ProductKeys), lease: p.leader.lease,
		clock: o.Clock, log: o.Log, timeout: o.Settings.StoreTimeout.Std(),
	}
}

func (p *components) newFleetStore(ctx context.Context, o Options) *fleetStore {
	return &fleetStore{
		ctx:        ctx,
		gateways:   p.gateways,
		onLoad:     p.applyStoredGateways,
		versions:   p.servers.versions,
		recent:     make(map[placer.Gateway]time.Time),
		store:      o.Store,
		keys:       p.breaker.View(o.ProductKeys),
		lease:      p.leader.lease,
		firstStart: o.Settings.FirstStart,
		startedAt:  o.Clock.Now(),
		clock:      o.Clock,
		log:        o.Log,
		timeout:    o.Settings.StoreTimeout.Std(),
	}
}

// applyStoredGateways applies the list of gateways read from the store. If the leader has already sent a list, or
// this gateway leads, the stored one only adds former gateways to the limiters.
func (p *components) applyStoredGateways(list []placer.Gateway) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if p.gateways.isListed() {
		p.limiters.addFormer(gatewayIDs(list))
		return
	}
	p.setGateways(list)
}

// applyGateways applies the leader's list of gateways.
func (p *components) applyGateways(list []placer.Gateway) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	p.setGateways(list)
}

// setGateways distributes a list of gateways to all components that use it. The caller must hold p.listMu.
func (p *components) setGateways(list []placer.Gateway) {
	p.dispatcher.SetGateways(p.gateways.set(list))
	p.limiters.setGateways(gatewayIDs(list))
}

func (p *components) newProxy(o Options, observer *responseObserver) *proxy {
	buffers := bodybuffer.NewMemory(o.Settings.MemoryMB)
	p.intake.bodies = buffers.Used
	return &proxy{
		names:         o.Names,
		config:        p.config,
		authenticator: p.newAuthenticator(o.Settings),
		limiter:       p.limiter,
		dispatcher:    p.dispatcher,
		budgets:       p.budgets,
		requestLog:    p.requestLog,
		lifecycle:     p.lifecycle,
		processor:     p.processor,
		conns:         p.conns,
		quarantine:    p.quarantine.table,
		detector:      p.quarantine.detector,
		trials:        p.quarantine.trials,
		origins:       p.origins,
		observer:      observer,
		clock:         o.Clock,
		transport: serverconn.New(serverconn.Options{
			Base: wire.NewDirectTransport(o.Settings.IdleTimeout.Std()), Clock: o.Clock, OnUnsolicited: p.requestLog.unsolicitedResponse,
		}),
		bodyTimeout: o.Settings.BodyTimeout.Std(),
		regions:     o.Settings.Regions,
		buffers:     buffers,
	}
}

func (p *components) newAuthenticator(s config.Gateway) *authenticator {
	return &authenticator{currentAt: p.configs.CurrentAt, maxRevocationDelay: s.MaxRevocationDelay.Std(), unknownKeyMaxAge: p.configMaxAge(s)}
}

func (p *components) newPeerServer(c clock.Service) *peerServer {
	return &peerServer{
		feedSource:   feedSource{fanout: p.leader.fanout, configs: p.configs, clock: c, storeFailed: p.breaker.IsOpen},
		lists:        newListCache(p.leader.fanout),
		placer:       p.leader.placer,
		configs:      p.configs,
		gateways:     p.gateways,
		dispatcher:   p.dispatcher,
		quarantine:   p.quarantine.table,
		limiter:      p.limiter,
		limits:       p.limitStatus,
		serverLimits: p.serverLimits,
		departures:   p.departures,
		origins:      p.origins,
		removedCount: p.limiters.removedCount,
		trials:       p.quarantine.trials,
		synced:       p.quarantine.synced,
		clock:        c,
		leaseKey:     p.leader.lease.Key(),
	}
}
