package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/fleet"
	"rockcleat/internal/config"
	"rockcleat/internal/inventory"
	"rockcleat/internal/planner"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/retry"
	"rockcleat/route"
	"rockcleat/table"
)

// Options are what an Entry is made of.
type Options struct {
	Settings config.Entry
	Store    kv.Store
	Platform *inventory.Client
	Clock    clock.Service
	Log      *zap.Logger
	Metrics  *telemetry.Metrics
	// Traffic counts the bytes of control; the clients of the platform share it.
	Traffic *wire.Traffic
}

// An Entry is the process that callers and operators speak to.
type Entry struct {
	settings  config.Entry
	store     kv.Store
	clock     clock.Service
	log       *zap.Logger
	metrics   *telemetry.Metrics
	replica   table.Replica
	view      fleet.View
	routes    route.Table
	budget    retry.Budget
	members   *members
	planner   *planner.Planner
	claims    *claims
	decisions decisions
	sync      *syncer
	tableLog  *table.Log
	peers     *wire.Client
	agents    *http.Client
	traffic   *wire.Traffic
	proxied   wire.Traffic
	requests  *server.Listener
	control   *server.Listener
	inFlight  atomic.Int64
	leaving   atomic.Bool
	stops     []func()
	ctx       context.Context
	done      context.CancelFunc
}

// New returns an Entry that does nothing until Start.
func New(o Options) *Entry {
	e := &Entry{
		settings: o.Settings,
		store:    o.Store,
		clock:    o.Clock,
		log:      o.Log,
		metrics:  o.Metrics,
		traffic:  o.Traffic,
	}
	e.ctx, e.done = context.WithCancel(context.Background())
	e.routes.Hall = o.Settings.Hall
	e.peers = wire.NewClient(o.Settings.Secret, e.traffic)
	e.agents = &http.Client{Transport: wire.NewTransport(&e.proxied)}
	e.members = newMembers(o.Settings.ID, o.Platform, o.Log)
	e.tableLog = table.NewLog(o.Store, o.Clock, e.validate)
	e.sync = newSyncer(e)
	e.claims = newClaims(e)
	e.planner = planner.New(planner.Options{
		ID: o.Settings.ID, Addr: o.Settings.ControlListen, Settings: o.Settings.Planner, Store: o.Store,
		Clock: o.Clock, Members: e.members, Catalogue: o.Platform, Agents: e.peers, View: &e.view,
		Replica: &e.replica, Recorder: &e.decisions, Log: o.Log,
	})
	return e
}

// Start binds the listeners and starts the entry's systems.
func (e *Entry) Start() error {
	var err error
	if e.requests, err = server.Listen(e.settings.Listen, e.requestRouter(), &e.proxied, e.log); err != nil {
		return err
	}
	if e.control, err = server.Listen(e.settings.ControlListen, e.controlRouter(), e.traffic, e.log); err != nil {
		return err
	}
	e.members.step(e.ctx)
	e.subscribe(e.settings.VMsEvery.Std(), func(time.Time) { e.stepMembers() })
	e.subscribe(e.settings.SyncEvery.Std(), func(time.Time) { e.sync.step() })
	e.claims.start()
	e.planner.Start()
	go e.sync.watchTable()
	go e.requests.Serve()
	go e.control.Serve()
	e.log.Info("entry started", zap.String("listen", e.Addr()), zap.String("control", e.ControlAddr()))
	return nil
}

func (e *Entry) subscribe(every time.Duration, f func(time.Time)) {
	e.stops = append(e.stops, e.clock.Subscribe(every, f))
}

// Addr returns the address for callers.
func (e *Entry) Addr() string { return e.requests.Addr() }

// ControlAddr returns the address for control messages and operators.
func (e *Entry) ControlAddr() string { return e.control.Addr() }

// stepMembers follows the platform's list and forgets servers that are gone.
func (e *Entry) stepMembers() {
	e.members.step(e.ctx)
	live := make(map[string]bool)
	for _, s := range e.view.Servers() {
		live[s.ID] = true
	}
	e.routes.Forget(live)
}

// Stop turns readiness off, gives roles back, answers new requests for the leave
// time, lets requests end until ctx does, and closes.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.log.Info("leaving", zap.Int64("requests", e.inFlight.Load()))
	e.planner.Stop(ctx)
	clock.Sleep(ctx, e.clock, e.settings.LeaveTime.Std())
	err := e.requests.Shutdown(ctx)
	e.claims.stop(ctx)
	e.halt()
	if err != nil {
		e.log.Error("requests cut by the end of the drain time", zap.Error(err))
		_ = e.requests.Close()
	}
	if cerr := e.control.Close(); cerr != nil {
		return cerr
	}
	return eris.Wrap(err, "entry: stop")
}

func (e *Entry) halt() {
	e.done()
	for _, stop := range e.stops {
		stop()
	}
}

// ready reports whether the entry should get requests from the balancer.
func (e *Entry) ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "leaving"
	case e.replica.Current().Version() == 0:
		return false, "no table yet"
	case !e.members.known():
		return false, "no list of VMs yet"
	}
	return true, ""
}
