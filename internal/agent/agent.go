package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/fairqueue"
	"rockcleat/internal/config"
	"rockcleat/internal/engine"
	"rockcleat/internal/inventory"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/quarantine"
	"rockcleat/table"
)

// Intervals of the agent's systems.
const (
	// statusEvery is the time between two reports of the engine.
	statusEvery = 100 * time.Millisecond
	// queueEvery is how late a request may be refused that has waited too long.
	queueEvery = 20 * time.Millisecond
	// demandEvery is the time between two observations of demand.
	demandEvery = 250 * time.Millisecond
	// armEvery is the time between two tries to get a fencing token.
	armEvery = 500 * time.Millisecond
	// unloadEvery is the time between two looks for copies that have drained.
	unloadEvery = 100 * time.Millisecond
)

// An Engine is what the agent needs of a model engine.
type Engine interface {
	// Status reads the engine's report.
	Status(ctx context.Context) (engine.Status, error)
	// Send sends an order.
	Send(ctx context.Context, o engine.Order) error
}

// A VMLister reads the platform's list of VMs.
type VMLister interface {
	// Changes returns the VMs that changed in the list after the version.
	Changes(ctx context.Context, since uint64) (inventory.VMList, error)
}

// Options are what an Agent is made of.
type Options struct {
	Settings config.Agent
	Store    kv.Store
	Engine   Engine
	// VMs reads the platform's list; nil is none. An agent needs it only when no
	// planner speaks to it.
	VMs     VMLister
	Clock   clock.Service
	Log     *zap.Logger
	Metrics *telemetry.Metrics
	// Traffic counts the bytes of control; the clients of the platform share it.
	Traffic *wire.Traffic
}

// An Agent is the process beside one backend server.
type Agent struct {
	settings config.Agent
	engine   Engine
	vms      VMLister
	clock    clock.Service
	log      *zap.Logger
	metrics  *telemetry.Metrics
	// incarnation names this life of the agent; mu guards it.
	incarnation string
	// backend sends requests to the backend server, peers messages to entries.
	backend *http.Client
	peers   *wire.Client
	replica table.Replica
	// traffic counts the bytes of control, proxied those of requests.
	traffic  *wire.Traffic
	proxied  wire.Traffic
	requests *server.Listener
	control  *server.Listener
	// ends are those of the backend server under requests, quarantine holds them.
	ends       *serverEnds
	quarantine *quarantine.Table
	// record is what lasts of the agent; ordering guards it.
	record *record
	// stops end the subscriptions to the clock.
	stops []func()
	// ordering makes the handling of orders one at a time.
	ordering sync.Mutex
	// catching says that the table is being asked of an entry.
	catching atomic.Bool

	// mu guards the parts below.
	mu         sync.Mutex
	work       workload
	server     serverState
	membership membership
	contact    contact
}

// New returns an Agent that does nothing until Start.
func New(o Options) *Agent {
	a := &Agent{
		settings:    o.Settings,
		engine:      o.Engine,
		vms:         o.VMs,
		clock:       o.Clock,
		log:         o.Log,
		metrics:     o.Metrics,
		traffic:     o.Traffic,
		incarnation: uuid.NewString(),
		server:      newServerState(),
	}
	a.backend = &http.Client{Transport: wire.NewTransport(&a.proxied)}
	a.peers = wire.NewClient(o.Settings.Secret, wire.NewTransport(o.Traffic))
	a.work = newWorkload(a.server.slots, o.Settings.MaxWaiting)
	a.quarantine = quarantine.New(quarantine.Options{
		Clock: o.Clock, Ends: quarantine.DefaultEnds, Hold: quarantine.DefaultHold,
	})
	a.ends = &serverEnds{
		clock: o.Clock, table: a.quarantine, addr: addrOf(o.Settings.Backend.URL), name: o.Settings.ID + "/" + a.incarnation,
		onEnd: a.serverEnded, log: o.Log,
	}
	a.record = newRecord(o.Store, o.Settings.ID, a.incarnation)
	if a.isService() {
		a.server.slots.setServices(o.Settings.Backend.Services, o.Settings.Backend.Slots)
		a.server.reported = true
	}
	return a
}

// isService reports whether the backend server is a plain service.
func (a *Agent) isService() bool { return a.settings.Backend.Kind == config.BackendService }

// Start binds the listeners and starts the agent's systems.
func (a *Agent) Start() error {
	var err error
	if a.requests, err = server.Listen(a.settings.Listen, a.requestRouter(), &a.proxied, a.log); err != nil {
		return err
	}
	if a.control, err = server.Listen(a.settings.ControlListen, a.controlRouter(), a.traffic, a.log); err != nil {
		return err
	}
	a.subscribe(queueEvery, a.stepQueue)
	a.subscribe(demandEvery, a.stepDemand)
	a.subscribe(orphanEvery, a.stepOrphan)
	a.subscribe(expireEvery, func(time.Time) { a.quarantine.Expire() })
	if !a.isService() {
		a.subscribe(statusEvery, a.stepStatus)
		a.subscribe(armEvery, a.stepArm)
		a.subscribe(unloadEvery, a.stepUnloads)
	}
	go a.requests.Serve()
	go a.control.Serve()
	a.log.Info("agent started", zap.String("listen", a.Addr()), zap.String("control", a.ControlAddr()),
		zap.String("incarnation", a.incarnation))
	return nil
}

// subscribe calls f every interval until the agent stops.
func (a *Agent) subscribe(every time.Duration, f func(time.Time)) {
	a.stops = append(a.stops, a.clock.Subscribe(every, f))
}

// Addr returns the address for requests.
func (a *Agent) Addr() string { return a.requests.Addr() }

// ControlAddr returns the address for control messages.
func (a *Agent) ControlAddr() string { return a.control.Addr() }

// Stop leaves, answers requests for the leave time, lets what runs end until ctx
// does, and closes.
func (a *Agent) Stop(ctx context.Context) error {
	a.LeaveForGood("planned stop")
	// One leave time to take what has nowhere else to go, one to refuse the rest
	// with an answer.
	clock.Sleep(ctx, a.clock, 2*a.settings.LeaveTime.Std())
	err := a.requests.Shutdown(ctx)
	for _, stop := range a.stops {
		stop()
	}
	if err != nil {
		a.log.Error("requests cut by the end of the drain time", zap.Error(err))
		if cerr := a.requests.Close(); cerr != nil {
			a.log.Error("listener for requests not closed", zap.Error(cerr))
		}
	}
	if cerr := a.control.Close(); cerr != nil {
		return cerr
	}
	return eris.Wrap(err, "agent: stop")
}

// Close drops everything at once, as a crash would; errors of the listeners need nothing done.
func (a *Agent) Close() {
	for _, stop := range a.stops {
		stop()
	}
	_ = a.requests.Close()
	_ = a.control.Close()
}

// stepQueue refuses what has waited too long and starts what can run.
func (a *Agent) stepQueue(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticePause(now)
	a.contact.lastTick = now
	if a.closed() {
		a.work.queue.RefuseAll(fairqueue.ReasonLeaving)
	}
	for _, row := range a.work.queue.Rows() {
		if a.server.slots.Total(row) == 0 {
			a.work.queue.RefuseRow(row, fairqueue.ReasonNotResident)
		}
	}
	a.work.queue.Step(now)
}
