package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
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
	// IsOlderServer reports whether a backend server's record is an older word than another one; known is false if
	// they are of two runs.
	IsOlderServer(value, than []byte) (older, known bool)
}

// A Store is where the gateways keep what must outlast them; kv.Store describes each call.
type Store interface {
	lease.Store
	Delete(ctx context.Context, key string, expect kv.Revision) error
}

// Eras calls a function with each era of the store that is newer than those before.
type Eras interface{ OnEra(f func(era int64)) }

// Options are what a Gateway is made of.
type Options struct {
	Settings config.Gateway
	Names    wire.Names
	// ReadyPath is where the balancer asks whether the process is ready.
	ReadyPath string
	// Store is where the leader's lease and the requests in quarantine are kept.
	Store Store
	// Prefixes are all keys of the store, OwnKeys those that the product writes.
	Prefixes kv.PrefixStore
	OwnKeys  kv.PrefixStore
	// Eras, if not nil, tells when the store comes back from a copy.
	Eras    Eras
	Decoder Decoder
	Engines backend.EngineClient
	Clock   clock.Service
	Log     *zap.Logger
	Metrics Metrics
	// Peers, if not nil, carries the calls to other gateways.
	Peers http.RoundTripper
}

// A Gateway is the entry process in front of servers that it speaks to directly.
type Gateway struct {
	settings   config.Gateway
	decoder    Decoder
	clock      clock.Service
	log        *zap.Logger
	prefixes   kv.PrefixStore
	config     *configuration
	configs    *configsync.Syncer
	health     *storeHealth
	servers    *serverList
	lease      *lease.Holder
	budgets    *retryBudgets
	placer     *placer.Placer
	reporter   *reporter
	feed       *feed
	conns      *conns
	lifecycle  *lifecycle
	listeners  *listeners
	pauses     *pauseDetector
	quarantine *quarantineRole
	keeper     *quarantineKeeper
	// serverLimits are those that backend servers name for themselves.
	serverLimits *serverLimits
	fleet        *fleetKeeper
	// stops end the subscriptions to the clock.
	stops []func()
	// ctx ends with the gateway, after its last request.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Gateway that does nothing until Start.
func New(o Options) *Gateway {
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Peers == nil {
		o.Peers = wire.NewTransport(&wire.Traffic{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := newParts(ctx, o)
	g := &Gateway{
		settings: o.Settings, decoder: o.Decoder, clock: o.Clock, log: o.Log, config: p.config, configs: p.configs,
		health: p.health, servers: p.servers, budgets: p.budgets, conns: p.conns, lifecycle: p.lifecycle,
		lease: p.leader.lease, prefixes: p.leader.fanout.View(p.breaker.View(o.Prefixes), false), placer: p.leader.placer,
		reporter: p.newReporter(o), feed: p.newFeed(o), pauses: p.pauses, quarantine: &p.quarantine, keeper: p.newQuarantineKeeper(ctx, o),
		fleet: p.fleet, serverLimits: p.serverLimits,
		ctx: ctx, cancel: cancel,
	}
	if o.Eras != nil {
		o.Eras.OnEra(g.storeCameBack)
	}
	g.listeners = newListeners(listenerOptions{
		settings: o.Settings, log: o.Log, conns: p.conns, ready: readyRouter(o.ReadyPath, g.ready),
		metrics: o.Metrics.Handler(), proxy: p.newProxy(o), peers: p.newPeerServer(o.Clock).router(),
	})
	return g
}

// expireInterval is the time between two looks for what is too old.
const expireInterval = 200 * time.Millisecond

// sweepInterval is the time between two looks for connections that are over their bounds.
const sweepInterval = time.Second

// Start binds the listeners and starts the gateway's parts.
func (g *Gateway) Start() error {
	if err := g.listeners.start(); err != nil {
		return err
	}
	go g.configs.Run(g.ctx)
	g.follow(g.decoder.ServerPrefix(), newServerFollower(g.health, g.servers))
	g.placer.Start()
	go g.reporter.run(g.ctx)
	go g.feed.run(g.ctx)
	g.subscribe(sweepInterval, g.conns.sweep)
	g.subscribe(expireInterval, g.servers.expire)
	g.subscribe(pauseCheckInterval, g.pauses.check)
	g.subscribe(fleetKeepInterval, g.fleet.step)
	g.stops = append(g.stops, g.serverLimits.subscribe(g.clock))
	g.stops = append(g.stops, g.quarantine.subscribe(g.clock, g.keeper)...)
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
	case !g.quarantine.isInformed(g.clock.Now()):
		return false, "quarantine not known yet"
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
