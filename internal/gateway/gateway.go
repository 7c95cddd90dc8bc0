package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/config"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/table"
)

// A Decoder decodes entries of the platform's store into the product's records.
type Decoder interface {
	// ConfigKey is the key of the configuration, ServerPrefix the prefix of the backend
	// servers' keys.
	ConfigKey() string
	ServerPrefix() string
	// Routing decodes a configuration, Server a backend server's record.
	Routing(value []byte) (*table.Routing, error)
	Server(key string, value []byte) (backend.Server, error)
	// ServerID returns the id in a backend server's key.
	ServerID(key string) string
}

// Options are what a Gateway is made of.
type Options struct {
	Settings config.Gateway
	Names    wire.Names
	// ReadyPath is where the balancer asks whether the process is ready.
	ReadyPath string
	// Store is where the leader's lease is kept.
	Store lease.Store
	// Prefixes are all keys of the store, OwnKeys those that the product writes.
	Prefixes kv.PrefixStore
	OwnKeys  kv.PrefixStore
	Decoder  Decoder
	Engines  backend.EngineClient
	Clock    clock.Service
	Log      *zap.Logger
	Metrics  Metrics
	// Peers, if not nil, carries the calls to other gateways.
	Peers http.RoundTripper
}

// A Gateway is the entry process in front of servers that it speaks to directly.
type Gateway struct {
	settings  config.Gateway
	decoder   Decoder
	clock     clock.Service
	log       *zap.Logger
	prefixes  kv.PrefixStore
	config    *configuration
	configs   *configsync.Syncer
	health    *storeHealth
	servers   *serverList
	budgets   *retryBudgets
	placer    *placer.Placer
	reporter  *reporter
	conns     *conns
	lifecycle *lifecycle
	listeners *listeners
	pauses    pauseDetector
	// stops end the subscriptions to the clock.
	stops []func()
	// ctx ends with the gateway, after its last request.
	ctx    context.Context
	cancel context.CancelFunc
}

// utilization is the part of an engine's slots and memory that is used: at full use
// running streams are preempted. Chosen with the first path (docs/MEASUREMENTS.md, P1); all
// of it was no better (G3a).
const utilization = 0.92

// leaseName is the name of the leader's lease in the store.
const leaseName = "placer"

// New returns a Gateway that does nothing until Start. Its parts are made from those that
// need no other up to the listeners.
func New(o Options) *Gateway {
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Peers == nil {
		o.Peers = wire.NewTransport(&wire.Traffic{})
	}
	s := o.Settings
	lines := newRequestLog(o.Log, o.Metrics, o.Clock, o.Names)
	config := newConfiguration(o.Decoder, o.Log)
	gateways := newDirectory(s.PeerListen, s.Gateways)
	life := newLifecycle()
	conns := newConns(o.Clock, config.connLimits)
	budgets := newRetryBudgets(s.Retry, o.Clock, gateways)
	peers := newPeerClient(gateways, o.Peers)
	modelMissing := make(signal, 1)
	dispatcher := dispatch.New(dispatch.Options{
		ID: s.ID, Hall: s.Hall, Clock: o.Clock, Utilization: utilization, CacheTokens: config.cacheTokens,
		Owners: peers, OnOwnerSilent: lines.ownerSilent, OnModelMissing: modelMissing.send,
	})
	servers := newServerList(o.Decoder, o.Clock, o.Log, dispatcher)
	holder, fanout, leader := newPlacer(o, config, servers, lines)
	config.onChange = servers.refresh
	ctx, cancel := context.WithCancel(context.Background())
	health := newStoreHealth(ctx, o.Log)
	configs := configsync.New(configsync.Options{
		Store: o.Prefixes, Key: o.Decoder.ConfigKey(), Holder: config, Peers: peers, Health: health, Clock: o.Clock, Log: o.Log,
		IsWatcher: isHeld(holder), MaxAge: newsMaxAge(s, gateways), WatchTime: s.WatchTime.Std(), OnSwitch: lines.watchSwitched,
	})
	reporter := &reporter{
		self: sender{id: s.ID, addr: s.PeerListen, hall: s.Hall}, dispatcher: dispatcher, configs: configs,
		servers: servers, gateways: gateways, placer: leader, fanout: fanout, peers: peers, clock: o.Clock, log: o.Log,
		modelMissing: modelMissing,
	}
	g := &Gateway{
		settings: s, decoder: o.Decoder, clock: o.Clock, log: o.Log, prefixes: fanout.View(o.Prefixes, false),
		config: config, configs: configs, health: health, servers: servers, budgets: budgets, placer: leader, reporter: reporter, conns: conns,
		lifecycle: life, pauses: pauseDetector{log: o.Log, inProgress: life.requests}, ctx: ctx, cancel: cancel,
	}
	g.listeners = newListeners(listenerOptions{
		settings: s, log: o.Log, conns: conns, ready: readyRouter(o.ReadyPath, g.ready), metrics: o.Metrics.Handler(),
		proxy: &proxy{
			names: o.Names, config: config, dispatcher: dispatcher, budgets: budgets, lines: lines, lifecycle: life,
			conns: conns, clock: o.Clock, transport: wire.NewDirectTransport(s.IdleTime.Std()), bodyTime: s.BodyTime.Std(),
		},
		peers: (&peerServer{
			placer: leader, fanout: fanout, configs: configs, gateways: gateways, dispatcher: dispatcher,
			leaseKey: holder.Key(),
		}).router(),
	})
	return g
}

// newPlacer returns the leader's role: the lease, the watches that its holder makes for all
// gateways, and the placer.
func newPlacer(o Options, config *configuration, servers *serverList, lines *requestLog) (*lease.Holder, *kv.Fanout, *placer.Placer) {
	s := o.Settings
	holder := lease.New(o.Store, o.Clock, lease.Options{
		Name: leaseName, Holder: s.ID, Addr: s.PeerListen, TTL: s.LeaseTTL.Std(),
	})
	fanout := kv.NewFanout(kv.FanoutOptions{
		Clock: o.Clock, MaxAge: s.WatchTime.Std() / 2, IsWatcher: isHeld(holder),
		OnSwitch: lines.watchSwitched, Digest: servers.digest,
	})
	leader := placer.New(placer.Options{
		Lease: holder, Keys: fanout.View(o.OwnKeys, true), Engines: o.Engines, Registry: &servers.registry,
		Routing: config.routing, Clock: o.Clock, Log: o.Log, SettleTime: s.LeaseTTL.Std(), FirstStart: s.FirstStart,
	})
	return holder, fanout, leader
}

// newsReports is how many reports in a row may bring no news of the configuration before a
// gateway reads it from the store itself. Chosen, not measured.
const newsReports = 3

// newsMaxAge returns a function that returns how old the news of the configuration may be: half
// of a watch, as for all that is watched for others, and longer where so many gateways report
// that each reports seldom (docs/CAPACITY.md).
func newsMaxAge(s config.Gateway, gateways *directory) func() time.Duration {
	return func() time.Duration {
		return max(s.WatchTime.Std()/2, newsReports*placer.ReportInterval(gateways.count()))
	}
}

// isHeld returns a function that reports whether a lease is held.
func isHeld(h *lease.Holder) func() bool {
	return func() bool {
		_, held := h.Held()
		return held
	}
}

// expireInterval is the time between two looks for what is too old. Chosen, not measured.
const expireInterval = 200 * time.Millisecond

// sweepInterval is the time between two looks for connections that are over their bounds.
// Chosen, not measured.
const sweepInterval = time.Second

// Start binds the listeners and starts the gateway's parts.
func (g *Gateway) Start() error {
	if err := g.listeners.start(); err != nil {
		return err
	}
	go g.configs.Run(g.ctx)
	g.follow(g.decoder.ServerPrefix(), &serverFollower{storeHealth: g.health, servers: g.servers, known: make(map[string]bool)})
	g.placer.Start()
	go g.reporter.run(g.ctx)
	g.subscribe(sweepInterval, g.conns.sweep)
	g.subscribe(expireInterval, g.servers.expire)
	g.subscribe(pauseCheckInterval, g.pauses.check)
	g.log.Info("started", zap.String("hall", g.settings.Hall), zap.Bool("first", g.settings.FirstStart))
	return nil
}

// follow keeps a follower up to date with a prefix of the store.
func (g *Gateway) follow(prefix string, f kv.Follower) {
	go kv.Follow(g.ctx, kv.FollowOptions{
		Store: g.prefixes, Prefix: prefix, Round: g.settings.WatchTime.Std(), Clock: g.clock, Follower: f,
	})
}

func (g *Gateway) subscribe(every time.Duration, f func(time.Time)) {
	g.stops = append(g.stops, g.clock.Subscribe(every, f))
}

// ready reports whether the gateway should get new connections, and why not.
func (g *Gateway) ready() (bool, string) {
	switch {
	case g.lifecycle.isStopping():
		return false, "leaving"
	case g.config.routing() == nil:
		return false, "no configuration yet"
	case !g.servers.isListed():
		return false, "no servers known yet"
	}
	return true, ""
}

// Reload takes new settings. The retry budget changes at once; what cannot change while the
// gateway runs stays, and the log says that a restart is needed.
func (g *Gateway) Reload(s config.Gateway) {
	changed := g.budgets.set(s.Retry)
	g.log.Info("settings reloaded", zap.Bool("retry_changed", changed),
		zap.Bool("restart_needed", s.Listen != g.settings.Listen || s.Store != g.settings.Store))
}
