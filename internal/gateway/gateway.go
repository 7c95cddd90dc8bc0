package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/config"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/retry"
	"rockcleat/table"
)

// A Decoder turns what stands in the platform's store into the product's records.
type Decoder interface {
	// ConfigKey is where the configuration stands, ServerPrefix what stands before
	// the backend servers' keys.
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
	Store     kv.Store
	// Prefixes are all keys of the store, OwnKeys those that the product writes.
	Prefixes kv.PrefixStore
	OwnKeys  kv.PrefixStore
	Decoder  Decoder
	Engines  backend.EngineClient
	Clock    clock.Service
	Log      *zap.Logger
	Metrics  Metrics
}

// A Gateway is the entry process in front of servers that speak to it directly.
type Gateway struct {
	settings   config.Gateway
	names      wire.Names
	readyPath  string
	prefixes   kv.PrefixStore
	decoder    Decoder
	clock      clock.Service
	log        *zap.Logger
	metrics    Metrics
	routing    atomic.Pointer[table.Routing]
	config     atomic.Pointer[[]byte]
	registry   backend.Registry
	listed     atomic.Bool
	dispatcher *dispatch.Dispatcher
	placer     *placer.Placer
	lease      *lease.Holder
	relay      *kv.Fanout
	peers      *peers
	servers    *http.Transport
	conns      *conns
	listeners  listeners
	budgets    sync.Map
	gateways   atomic.Int64
	leaving    atomic.Bool
	last       context.Context
	lastCall   context.CancelFunc
	inFlight   atomic.Int64
	// answeredLines bounds the lines on answered requests, leftOut counts the others.
	answeredLines *rate.Limiter
	leftOut       atomic.Uint64
	storeDown     atomic.Bool
	// lastTick is the time of the last look for pauses.
	lastTick time.Time
	stops    []func()
	ctx      context.Context
	cancel   context.CancelFunc
}

// fill is the part of an engine's slots and memory that is used.
const fill = 0.92

// New returns a Gateway that does nothing until Start.
func New(o Options) *Gateway {
	g := &Gateway{
		settings: o.Settings, names: o.Names, readyPath: o.ReadyPath, decoder: o.Decoder,
		clock: o.Clock, log: o.Log, metrics: o.Metrics, conns: newConns(),
		answeredLines: rate.NewLimiter(answeredRate, answeredBurst),
		servers:       wire.NewDirectTransport(o.Settings.IdleTime.Std()),
	}
	if g.metrics == nil {
		g.metrics = noMetrics{}
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.last, g.lastCall = context.WithCancel(context.Background())
	g.gateways.Store(int64(o.Settings.Gateways))
	g.peers = newPeers(g)
	g.dispatcher = dispatch.New(dispatch.Options{
		ID: o.Settings.ID, Hall: o.Settings.Hall, Clock: o.Clock, Utilization: fill,
		CacheTokens: g.memory, OnModelMissing: g.peers.wakeUp, Owners: g.peers, OnOwnerSilent: g.logSilent,
	})
	g.lease = lease.New(o.Store, o.Clock, lease.Options{
		Name: "placer", Holder: o.Settings.ID, Addr: o.Settings.PeerListen, TTL: o.Settings.LeaseTTL.Std(),
	})
	g.relay = kv.NewFanout(kv.FanoutOptions{
		Clock: o.Clock, MaxAge: o.Settings.WatchTime.Std() / 2, IsWatcher: g.holdsOrders, OnSwitch: g.logWatch,
		Digest: g.digest,
	})
	g.prefixes = g.relay.View(o.Prefixes, false)
	g.placer = placer.New(placer.Options{
		Lease: g.lease, Keys: g.relay.View(o.OwnKeys, true), Engines: o.Engines, Registry: &g.registry, Routing: g.routing.Load, Clock: o.Clock, Log: o.Log,
		SettleTime: o.Settings.LeaseTTL.Std(), FirstStart: o.Settings.FirstStart,
	})
	return g
}

// holdsOrders reports whether this gateway gives the orders.
func (g *Gateway) holdsOrders() bool {
	_, held := g.lease.Held()
	return held
}

// memory returns the memory of a service's engines in tokens.
func (g *Gateway) memory(service string) int {
	r := g.routing.Load()
	if r == nil {
		return 0
	}
	s, ok := r.Service(service)
	if !ok || s.Engine == nil {
		return 0
	}
	return s.Engine.CacheTokens
}

// Start binds the listeners and starts the gateway's systems.
func (g *Gateway) Start() error {
	if err := g.listen(); err != nil {
		return err
	}
	go kv.Follow(g.ctx, kv.FollowOptions{
		Store: g.prefixes, Prefix: g.decoder.ConfigKey(), Round: g.settings.WatchTime.Std(), Clock: g.clock, Follower: &configFollower{g: g},
	})
	go kv.Follow(g.ctx, kv.FollowOptions{
		Store: g.prefixes, Prefix: g.decoder.ServerPrefix(), Round: g.settings.WatchTime.Std(), Clock: g.clock, Follower: &serverFollower{g: g, known: make(map[string]bool)},
	})
	g.placer.Start()
	go g.peers.run()
	g.subscribe(time.Second, g.conns.sweep)
	g.subscribe(expireTick, g.expire)
	g.subscribe(pauseTick, g.watchPause)
	g.log.Info("started", zap.String("hall", g.settings.Hall), zap.Bool("first", g.settings.FirstStart))
	return nil
}

// expireTick is the time between two looks for what is too old.
const expireTick = 200 * time.Millisecond

// expire forgets what is too old of the servers.
func (g *Gateway) expire(now time.Time) {
	if g.registry.Expire(now) {
		g.dispatcher.SetServers(g.registry.Snapshot())
	}
}

// Noticing that the process stood still.
const (
	pauseTick = 500 * time.Millisecond
	// longestTick is the time between two ticks beyond which the process stood still.
	longestTick = 1500 * time.Millisecond
)

// watchPause tells when the process stood still: what it knew is as old as that,
// and requests that it held have waited for as long.
func (g *Gateway) watchPause(now time.Time) {
	last := g.lastTick
	g.lastTick = now
	if !last.IsZero() && now.Sub(last) > longestTick {
		g.log.Warn("process stood still", zap.Duration("for", now.Sub(last)), zap.Int64("requests", g.inFlight.Load()))
	}
}

func (g *Gateway) subscribe(every time.Duration, f func(time.Time)) {
	g.stops = append(g.stops, g.clock.Subscribe(every, f))
}

// Times of a stop.
const (
	// noticeTime is how long a stopping gateway still takes new connections, so
	// that the balancer learns of the stop first.
	noticeTime = 2500 * time.Millisecond
	// lastAnswers is left of the time to stop for answers to those still waiting.
	lastAnswers = 400 * time.Millisecond
	// drainPause is the pause between two looks for connections that are still open.
	drainPause = 10 * time.Millisecond
	// lastMoment is left of the grace for the process's own end.
	lastMoment = 700 * time.Millisecond
)

// Stop turns readiness off, answers what comes while the balancer learns of it,
// lets requests end until ctx does, and closes.
func (g *Gateway) Stop(ctx context.Context) error {
	g.leaving.Store(true)
	g.log.Info("leaving", zap.Int64("requests", g.inFlight.Load()))
	g.placer.Stop(ctx)
	stopLast := time.AfterFunc(g.untilLastAnswers(ctx), g.lastCall)
	defer stopLast.Stop()
	wait(ctx, noticeTime)
	g.listeners.closeFront()
	left := g.drain(ctx)
	g.cancel()
	for _, stop := range g.stops {
		stop()
	}
	if left > 0 {
		g.log.Warn("requests cut by the end of the grace", zap.Int64("requests", g.inFlight.Load()), zap.Int("connections", left))
	}
	g.listeners.close()
	g.log.Info("stopped")
	if left > 0 {
		return eris.Wrap(ctx.Err(), "gateway: stop")
	}
	return nil
}

// drain waits until callers' connections are closed or ctx ends, and returns how many
// are left. Those that wait for a request are ended, the others with their answer.
func (g *Gateway) drain(ctx context.Context) int {
	for {
		left := g.conns.drain(time.Now())
		if left == 0 || ctx.Err() != nil {
			return left
		}
		wait(ctx, drainPause)
	}
}

// untilLastAnswers returns when requests without an answer are to be given up, so
// that each still gets one before the process ends.
func (g *Gateway) untilLastAnswers(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return g.Grace()
	}
	return max(time.Until(end)-lastAnswers, 0)
}

// Grace returns how long Stop may take.
func (g *Gateway) Grace() time.Duration { return g.settings.Grace.Std() - lastMoment }

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ready reports whether the gateway should get new connections.
func (g *Gateway) ready() (bool, string) {
	switch {
	case g.leaving.Load():
		return false, "leaving"
	case g.routing.Load() == nil:
		return false, "no configuration yet"
	case !g.listed.Load():
		return false, "no servers known yet"
	}
	return true, ""
}

// budgetOf returns the budget of repeats of a service.
func (g *Gateway) budgetOf(service string) *retry.Window {
	if b, ok := g.budgets.Load(service); ok {
		return b.(*retry.Window)
	}
	b, _ := g.budgets.LoadOrStore(service, &retry.Window{
		Length: g.settings.Retry.Window.Std(),
		Ratio:  g.settings.Retry.Ratio * retryReserve,
		Fixed:  g.settings.Retry.Fixed * retryReserve,
	})
	return b.(*retry.Window)
}

// retryReserve is the part of the budget of repeats that is used.
const retryReserve = 0.8

// ownShare returns this gateway's part of what all gateways share.
func (g *Gateway) ownShare() float64 { return 1 / float64(max(g.gateways.Load(), 1)) }

// begin counts a request in hand and returns what ends it.
func (g *Gateway) begin() func() {
	g.inFlight.Add(1)
	return func() { g.inFlight.Add(-1) }
}

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.begin()()
	if !g.conns.begin(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	x, f := g.accept(w, r)
	if f != nil {
		f.close = f.close || g.leaving.Load()
		f.write(w)
		g.logRefusedEarly(r, f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.end)
	defer cancel()
	x.ctx = ctx
	defer g.ended(x)
	defer context.AfterFunc(g.last, func() {
		if !x.begun.Load() {
			cancel()
		}
	})()
	x.run()
}

// Reload takes new settings; what cannot change while the gateway runs is told
// in the log and stays.
func (g *Gateway) Reload(s config.Gateway) {
	budget := s.Retry != g.settings.Retry
	if budget {
		g.settings.Retry = s.Retry
		g.budgets.Clear()
	}
	g.log.Info("settings reloaded", zap.Bool("retry_changed", budget),
		zap.Bool("restart_needed", s.Listen != g.settings.Listen || s.Store != g.settings.Store))
}
