package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/departure"
	"rockcleat/dispatch"
	"rockcleat/internal/config"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/table"
)

// A Decoder decodes entries of the platform's store.
type Decoder interface {
	// ConfigKey returns the key of the configuration, ServerPrefix the key prefix of backend servers, EvacuationPrefix
	// that of evacuated data halls.
	ConfigKey() string
	ServerPrefix() string
	EvacuationPrefix() string
	// Routing decodes a configuration, Server the record of a backend server.
	Routing(value []byte) (*table.Routing, error)
	Server(key string, value []byte) (backend.Server, error)
	// ServerID returns the server id in the key of a backend server, EvacuatedHall the data hall in the key of an
	// evacuation.
	ServerID(key string) string
	EvacuatedHall(key string) string
	// IsOlderServerEntry reports whether value is an older record of the same server instance than another one. known is
	// false if the records are of different instances.
	IsOlderServerEntry(value, than []byte) (older, known bool)
}

// A Store holds the data that must outlast the gateways; kv.Store describes its methods.
type Store interface {
	lease.Store
	Delete(ctx context.Context, key string, expect kv.Revision) error
}

// EraNotifier calls a function with each new era of the store. Eras only increase.
type EraNotifier interface{ OnEraChange(f func(era int64)) }

// EngineCalls calls a function with the status and header of each response of a backend server to an order or a request
// for its report.
type EngineCalls interface {
	OnResponse(f func(s *backend.Server, status int, h http.Header))
}

// Options configure a Gateway.
type Options struct {
	Settings config.Gateway
	Names    wire.HeaderNames
	// ReadyPath is the path of the readiness endpoint, which the load balancer polls.
	ReadyPath string
	// Store holds the leader's lease, the quarantine and the list of gateways.
	Store Store
	// AllKeys gives access to all keys of the store, ProductKeys only to those that the product writes.
	AllKeys     kv.PrefixStore
	ProductKeys kv.PrefixStore
	// Eras, if not nil, reports when the store was restored from a backup.
	Eras    EraNotifier
	Decoder Decoder
	Engines backend.EngineClient
	// Calls, if not nil, reports the responses that Engines receives.
	Calls   EngineCalls
	Clock   clock.Service
	Log     *zap.Logger
	Metrics Metrics
	// Peers, if not nil, is the transport of calls to other gateways.
	Peers http.RoundTripper
}

// A Gateway accepts callers' requests and forwards them to backend servers.
type Gateway struct {
	settings        config.Gateway
	decoder         Decoder
	clock           clock.Service
	log             *zap.Logger
	prefixes        kv.PrefixStore
	config          *configuration
	configs         *configsync.Syncer
	health          *storeHealth
	servers         *serverList
	dispatcher      *dispatch.Dispatcher
	requestLog      *requestLog
	lease           *lease.Holder
	budgets         *retryBudgets
	placer          *placer.Placer
	reporter        *reporter
	holderWatcher   *holderWatcher
	feed            *feed
	conns           *conns
	lifecycle       *lifecycle
	listeners       *listeners
	pauses          *pauseDetector
	processor       *processorGuard
	quarantine      *quarantineRole
	quarantineStore *quarantineStore
	// serverLimits holds the rate limits that backend servers announce.
	serverLimits *serverLimits
	departures   *departure.Table
	fleetStore   *fleetStore
	// stops holds the functions that end the clock subscriptions.
	stops []func()
	// ctx ends when the gateway stops, after its last request.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Gateway, which is idle until Start is called.
func New(o Options) *Gateway {
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Peers == nil {
		o.Peers = wire.CheckResponses(wire.NewTransport(&wire.TrafficCounter{}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := newComponents(ctx, o)
	g := &Gateway{
		settings:        o.Settings,
		decoder:         o.Decoder,
		clock:           o.Clock,
		log:             o.Log,
		config:          p.config,
		configs:         p.configs,
		health:          p.health,
		servers:         p.servers,
		dispatcher:      p.dispatcher,
		requestLog:      p.requestLog,
		budgets:         p.budgets,
		conns:           p.conns,
		lifecycle:       p.lifecycle,
		lease:           p.leader.lease,
		prefixes:        p.leader.fanout.View(p.breaker.View(o.AllKeys), false),
		placer:          p.leader.placer,
		reporter:        p.newReporter(o),
		holderWatcher:   p.newHolderWatcher(o),
		feed:            p.newFeed(o),
		pauses:          p.pauses,
		processor:       p.processor,
		quarantine:      &p.quarantine,
		quarantineStore: p.newQuarantineStore(ctx, o),
		fleetStore:      p.fleetStore,
		serverLimits:    p.serverLimits,
		departures:      p.departures,
		ctx:             ctx,
		cancel:          cancel,
	}
	if o.Eras != nil {
		o.Eras.OnEraChange(g.storeRestored)
	}
	observer := p.newResponseObserver(o)
	if o.Calls != nil {
		o.Calls.OnResponse(observer.observeCall)
	}
	g.listeners = newListeners(listenerOptions{
		settings: o.Settings, log: o.Log, conns: p.conns, ready: readyRouter(o.ReadyPath, g.ready),
		metrics: o.Metrics.Handler(), proxy: p.newProxy(o, observer), peers: p.newPeerServer(o.Clock).router(),
	})
	return g
}

// expireInterval is the interval at which outdated servers are removed and failed connections are checked for crashes.
const expireInterval = 200 * time.Millisecond

// sweepInterval is the interval at which connections, quarantine entries and server limits are checked for expiry.
const sweepInterval = time.Second

// Start binds the listeners and starts the gateway's goroutines.
func (g *Gateway) Start() error {
	if err := g.listeners.start(); err != nil {
		return err
	}
	go g.configs.Run(g.ctx)
	g.follow(g.decoder.ServerPrefix(), newServerFollower(g.health, g.servers))
	g.follow(g.decoder.EvacuationPrefix(), newEvacuationFollower(g.health, g.servers))
	g.placer.Start()
	go g.reporter.run(g.ctx)
	go g.holderWatcher.run(g.ctx)
	go g.feed.run(g.ctx)
	g.subscribe(sweepInterval, g.conns.sweep)
	g.subscribe(sweepInterval, g.conns.intake.observe)
	g.subscribe(expireInterval, g.servers.expire)
	g.subscribe(expireInterval, g.dispatcher.Expire)
	g.subscribe(sweepInterval, func(time.Time) { g.requestLog.serverLoads(g.dispatcher.CountedLoads()) })
	g.subscribe(pauseCheckInterval, g.pauses.check)
	g.stops = append(g.stops, g.processor.subscribe(g.settings.Processor.MaxDelay.Std()))
	g.subscribe(fleetStepInterval, g.fleetStore.step)
	g.stops = append(g.stops, g.serverLimits.subscribe(g.clock))
	g.subscribe(sweepInterval, g.expireDepartures)
	g.stops = append(g.stops, g.quarantine.subscribe(g.clock, g.quarantineStore)...)
	g.log.Info("started", zap.String("hall", g.settings.Hall), zap.Bool("first", g.settings.FirstStart))
	return nil
}

// follow starts to keep f up to date with a prefix of the store.
func (g *Gateway) follow(prefix string, f kv.Follower) {
	go kv.Follow(g.ctx, kv.FollowOptions{
		Store: g.prefixes, Prefix: prefix, WatchTimeout: g.settings.WatchTimeout.Std(), Clock: g.clock, Follower: f,
	})
}

func (g *Gateway) subscribe(every time.Duration, f func(time.Time)) {
	g.stops = append(g.stops, g.clock.Subscribe(every, f))
}

// ready reports whether the gateway should receive new connections, and if not, why.
func (g *Gateway) ready() (bool, string) {
	switch {
	case g.lifecycle.isStopping():
		return false, "leaving"
	case g.config.routing() == nil:
		return false, "no configuration yet"
	case !g.servers.isListed():
		return false, "no servers known yet"
	case !g.servers.knowsEvacuations():
		return false, "evacuated data halls not known yet"
	case !g.quarantine.isSynced(g.clock.Now()):
		return false, "quarantine not known yet"
	}
	return true, ""
}

// Reload applies new settings. Only the retry budget changes at run time; other settings keep their values, and the log
// line says whether a restart is needed.
func (g *Gateway) Reload(s config.Gateway) {
	changed := g.budgets.set(s.Retry)
	g.log.Info("settings reloaded", zap.Bool("retry_changed", changed),
		zap.Bool("restart_needed", s.Listen != g.settings.Listen || s.Store != g.settings.Store))
}
