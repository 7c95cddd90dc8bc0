package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/fleet"
	"rockcleat/internal/bodybuffer"
	"rockcleat/internal/config"
	"rockcleat/internal/inventory"
	"rockcleat/internal/planner"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/quarantine"
	"rockcleat/table"
)

// Options are the settings and dependencies of an Entry.
type Options struct {
	Settings config.Entry
	Store    kv.Store
	Platform *inventory.Client
	Clock    clock.Service
	Log      *zap.Logger
	Metrics  *telemetry.Metrics
	// Traffic counts the bytes of control traffic. The platform's clients share it.
	Traffic *wire.TrafficCounter
}

// An Entry is the process that serves clients and operators.
type Entry struct {
	settings config.Entry
	clock    clock.Service
	log      *zap.Logger
	metrics  *telemetry.Metrics
	// replica holds the table in force and view the records of the servers. All parts share both.
	replica   table.Replica
	view      fleet.View
	decisions decisions
	members   *members
	// quarantine holds the requests during which backend servers have crashed.
	quarantine *quarantine.Table
	planner    *planner.Planner
	sync       *syncer
	claims     *claims
	operators  *operatorAPI
	proxy      *proxy
	// traffic counts the bytes of control traffic, proxied those of clients' requests.
	traffic  *wire.TrafficCounter
	proxied  wire.TrafficCounter
	requests *server.Listener
	control  *server.Listener
	leaving  atomic.Bool
	// unsubscribe holds the functions that cancel the clock subscriptions.
	unsubscribe []func()
	// ctx is canceled when the entry stops, after its last request.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns an Entry that is idle until Start.
func New(o Options) *Entry {
	s := o.Settings
	e := &Entry{settings: s, clock: o.Clock, log: o.Log, metrics: o.Metrics, traffic: o.Traffic}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	client := wire.NewClient(s.Secret, wire.CheckResponses(wire.NewTransport(e.traffic)))
	e.members = newMembers(s.ID, o.Platform, o.Log)
	e.quarantine = quarantine.New(quarantine.Options{
		Clock: o.Clock, CrashThreshold: s.Quarantine.Threshold, Duration: s.Quarantine.Hold.Std(), OnChange: e.quarantineChanged,
	})
	e.planner = planner.New(planner.Options{
		ID: s.ID, Addr: s.ControlListen, Settings: s.Planner, Store: o.Store, Clock: o.Clock, Members: e.members,
		Catalogue: o.Platform, Agents: client, View: &e.view, Replica: &e.replica, Recorder: &e.decisions,
		Quarantine: e.quarantine, Log: o.Log,
	})
	tableLog := table.NewLog(o.Store, o.Clock, tableCheck(&e.view, e.planner))
	e.sync = &syncer{
		ctx: e.ctx, id: s.ID, replica: &e.replica, view: &e.view, tableLog: tableLog, members: e.members,
		planner: e.planner, quarantine: e.quarantine, peers: client, clock: o.Clock, log: o.Log,
		links: make(map[string]*quarantine.Link),
	}
	e.claims = newClaims(claimsOptions{
		ctx: e.ctx, id: s.ID, addr: s.ControlListen, settings: s.Claims, store: o.Store, clock: o.Clock,
		log: o.Log, peers: client, members: e.members,
	})
	e.proxy = &proxy{
		limits: s.Limits, secret: s.Secret, controlAddr: e.ControlAddr, ready: e.ready, leaving: e.leaving.Load,
		replica: &e.replica, view: &e.view, members: e.members, claims: e.claims, decisions: &e.decisions,
		agents:     &http.Client{Transport: wire.CheckResponses(wire.NewTransport(&e.proxied)), CheckRedirect: wire.NoRedirects},
		quarantine: e.quarantine,
		clock:      o.Clock, log: o.Log, metrics: o.Metrics, buffers: bodybuffer.NewMemory(s.Limits.MemoryMB),
	}
	e.proxy.loadTable.Hall = s.Hall
	e.operators = &operatorAPI{
		id: s.ID, replica: &e.replica, view: &e.view, tableLog: tableLog, planner: e.planner, members: e.members,
		decisions: &e.decisions, client: client, inFlight: e.proxy.inFlight.Load, traffic: o.Traffic, log: o.Log,
	}
	return e
}

// Start binds the listeners and starts the background tasks.
func (e *Entry) Start() error {
	var err error
	guard := server.NewVMGuard(e.settings.Limits.MemoryMB)
	if e.requests, err = server.Listen(e.settings.Listen, e.proxy.router(), guard, &e.proxied, e.log); err != nil {
		return err
	}
	if e.control, err = server.Listen(e.settings.ControlListen, e.controlRouter(), guard, e.traffic, e.log); err != nil {
		return err
	}
	e.members.step(e.ctx)
	e.subscribe(e.settings.VMsInterval.Std(), func(time.Time) { e.stepMembers() })
	e.subscribe(e.settings.SyncInterval.Std(), func(time.Time) { e.sync.step() })
	e.subscribe(quarantineExpireInterval, func(time.Time) { e.quarantine.Expire() })
	e.claims.start()
	e.planner.Start()
	go e.sync.watchTable()
	go e.requests.Serve()
	go e.control.Serve()
	e.log.Info("entry started", zap.String("listen", e.Addr()), zap.String("control", e.ControlAddr()))
	return nil
}

func (e *Entry) controlRouter() http.Handler {
	r := server.NewRouter()
	server.RegisterHealth(r, e.ready, e.metrics)
	authorized := r.Group("", server.RequireSecret(e.settings.Secret, e.metrics))
	authorized.POST(wire.PathSync, e.sync.handleSync)
	authorized.POST(wire.PathExchangeTrigger, e.handleExchangeTrigger)
	authorized.POST(wire.PathClaim, e.claims.serveClaim)
	authorized.POST(wire.PathClaimFinish, e.claims.serveFinish)
	server.RegisterQuarantine(authorized, e.quarantine)
	e.operators.register(authorized)
	return r
}

// handleExchangeTrigger handles an agent's request for an immediate exchange with its planner.
func (e *Entry) handleExchangeTrigger(c echo.Context) error {
	var trigger wire.ExchangeTrigger
	if err := c.Bind(&trigger); err != nil {
		return err
	}
	e.planner.RequestExchange(trigger.Server)
	return c.NoContent(http.StatusOK)
}

// subscribe calls f at the given interval until the entry stops.
func (e *Entry) subscribe(interval time.Duration, f func(time.Time)) {
	e.unsubscribe = append(e.unsubscribe, e.clock.Subscribe(interval, f))
}

// Addr returns the address of the listener for clients.
func (e *Entry) Addr() string { return e.requests.Addr() }

// ControlAddr returns the address of the listener for control messages and operators.
func (e *Entry) ControlAddr() string { return e.control.Addr() }

// stepMembers updates the list of VMs and drops the load of servers that are gone.
func (e *Entry) stepMembers() {
	e.members.step(e.ctx)
	known := make(map[string]bool)
	for _, s := range e.view.Servers() {
		known[s.ID] = true
	}
	e.proxy.loadTable.RetainOnly(known)
}

// ready reports whether the load balancer should send requests to this entry. If not, it also
// returns the reason.
func (e *Entry) ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "leaving"
	case e.replica.Current().Version() == 0:
		return false, "no table yet"
	case !e.members.isLoaded():
		return false, "no list of VMs yet"
	}
	return true, ""
}
