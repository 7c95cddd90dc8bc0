package agent

import (
	"context"
	"net"
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

// Intervals of the agent's background tasks.
const (
	// statusInterval is the interval at which the engine's status is read.
	statusInterval = 100 * time.Millisecond
	// queueInterval is the interval at which the queue is processed. A request that exceeds its
	// queue time is refused at most this much later.
	queueInterval = 20 * time.Millisecond
	// demandInterval is the interval at which demand is sampled.
	demandInterval = 250 * time.Millisecond
	// takeOverInterval is the interval between attempts to acquire a fencing token.
	takeOverInterval = 500 * time.Millisecond
	// unloadInterval is the interval at which draining replicas are checked for running requests.
	unloadInterval = 100 * time.Millisecond
)

// An Engine is the model engine as used by the agent.
type Engine interface {
	// Status returns the engine's status.
	Status(ctx context.Context) (engine.Status, error)
	// SendOrder sends an order to load or unload.
	SendOrder(ctx context.Context, o engine.Order) error
}

// A VMLister reads the platform's list of VMs.
type VMLister interface {
	// Changes returns the VMs that have changed since the given version of the list.
	Changes(ctx context.Context, since uint64) (inventory.VMList, error)
}

// Options are the settings and dependencies of an Agent.
type Options struct {
	Settings config.Agent
	Store    kv.Store
	Engine   Engine
	// VMs reads the platform's list of VMs. It may be nil. The agent uses it only to find an entry
	// after a time without contact with a planner.
	VMs     VMLister
	Clock   clock.Service
	Log     *zap.Logger
	Metrics *telemetry.Metrics
	// Traffic counts the bytes of control traffic. The platform's clients share it.
	Traffic *wire.TrafficCounter
}

// An Agent is the process that runs beside one backend server and controls access to it.
type Agent struct {
	settings config.Agent
	engine   Engine
	vms      VMLister
	clock    clock.Service
	log      *zap.Logger
	metrics  *telemetry.Metrics
	// incarnation identifies this run of the agent. It changes when a leaving agent is no longer
	// leaving. Guarded by mu.
	incarnation string
	// backend sends requests to the backend server. Responses do not name their request, so each request uses a connection of
	// its own, which dial opens. entryClient sends messages to entries.
	backend     *http.Client
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	entryClient *wire.Client
	replica     table.Replica
	// traffic counts the bytes of control traffic, proxied those of requests.
	traffic  *wire.TrafficCounter
	proxied  wire.TrafficCounter
	requests *server.Listener
	control  *server.Listener
	// crashes detects crashes of the backend server, quarantine holds the requests that were
	// running at the time.
	crashes    *crashDetector
	quarantine *quarantine.Table
	// record is the agent's record in the key-value service. Guarded by orderMu.
	record *record
	// unsubscribe holds the functions that cancel the clock subscriptions.
	unsubscribe []func()
	// orderMu serializes the handling of orders. It is locked before mu.
	orderMu sync.Mutex
	// fetchingTable reports whether a table is being fetched from an entry.
	fetchingTable atomic.Bool

	// mu guards the fields below.
	mu         sync.Mutex
	workload   workload
	server     serverState
	membership membership
	planner    plannerContact
}

// New returns an Agent that is idle until Start.
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
	backend := wire.SingleUse(wire.NewTransport(&a.proxied))
	a.dial, backend.DialContext = backend.DialContext, a.dialBackend
	a.backend = &http.Client{Transport: wire.CheckResponses(backend), CheckRedirect: wire.NoRedirects}
	a.entryClient = wire.NewClient(o.Settings.Secret, wire.CheckResponses(wire.NewTransport(o.Traffic)))
	a.workload = newWorkload(a.server.slots, o.Settings.MaxQueued)
	a.quarantine = quarantine.New(quarantine.Options{
		Clock: o.Clock, CrashThreshold: quarantine.DefaultCrashThreshold, Duration: quarantine.DefaultDuration,
	})
	a.crashes = &crashDetector{
		clock: o.Clock, table: a.quarantine, addr: hostPort(o.Settings.Backend.URL), namePrefix: o.Settings.ID + "/" + a.incarnation,
		onCrash: a.serverCrashed, log: o.Log,
	}
	a.record = newRecord(o.Store, o.Settings.ID, a.incarnation)
	if a.isService() {
		a.server.slots.setServices(o.Settings.Backend.Services, o.Settings.Backend.Slots)
		a.server.engineResponds = true
	}
	return a
}

// isService reports whether the backend server is a plain service without a model engine.
func (a *Agent) isService() bool { return a.settings.Backend.Kind == config.BackendService }

// Start binds the listeners and starts the background tasks.
func (a *Agent) Start() error {
	var err error
	guard := server.NewVMGuard(a.settings.Limits.MemoryMB)
	if a.requests, err = server.Listen(a.settings.Listen, a.requestRouter(), guard, &a.proxied, a.log); err != nil {
		return err
	}
	if a.control, err = server.Listen(a.settings.ControlListen, a.controlRouter(), guard, a.traffic, a.log); err != nil {
		return err
	}
	a.subscribe(queueInterval, a.stepQueue)
	a.subscribe(demandInterval, a.stepDemand)
	a.subscribe(contactCheckInterval, a.stepPlannerContact)
	a.subscribe(expireInterval, func(time.Time) { a.quarantine.Expire() })
	if !a.isService() {
		a.subscribe(statusInterval, a.stepStatus)
		a.subscribe(takeOverInterval, a.stepTakeOver)
		a.subscribe(unloadInterval, a.stepUnloads)
	}
	go a.requests.Serve()
	go a.control.Serve()
	a.log.Info("agent started", zap.String("listen", a.Addr()), zap.String("control", a.ControlAddr()),
		zap.String("incarnation", a.incarnation))
	return nil
}

// subscribe calls f at the given interval until the agent stops.
func (a *Agent) subscribe(interval time.Duration, f func(time.Time)) {
	a.unsubscribe = append(a.unsubscribe, a.clock.Subscribe(interval, f))
}

// Addr returns the address of the listener for requests.
func (a *Agent) Addr() string { return a.requests.Addr() }

// ControlAddr returns the address of the listener for control messages.
func (a *Agent) ControlAddr() string { return a.control.Addr() }

// Stop marks the agent as leaving, keeps responding for twice the leave time, waits for the
// requests in progress until ctx is done, and closes the listeners.
func (a *Agent) Stop(ctx context.Context) error {
	a.LeavePermanently("planned stop")
	// During the first leave time the agent still accepts requests that no other server can run.
	// During the second one it refuses all requests, so that clients get a response rather than a
	// connection error.
	clock.Sleep(ctx, a.clock, 2*a.settings.LeaveTime.Std())
	err := a.requests.Shutdown(ctx)
	for _, stop := range a.unsubscribe {
		stop()
	}
	if err != nil {
		a.log.Error("drain time exceeded; dropping the remaining requests", zap.Error(err))
		if cerr := a.requests.Close(); cerr != nil {
			a.log.Error("closing the request listener failed", zap.Error(cerr))
		}
	}
	if cerr := a.control.Close(); cerr != nil {
		return cerr
	}
	return eris.Wrap(err, "agent: stop")
}

// Close stops the background tasks and closes the listeners without waiting for requests. Errors of
// the listeners are ignored.
func (a *Agent) Close() {
	for _, stop := range a.unsubscribe {
		stop()
	}
	_ = a.requests.Close()
	_ = a.control.Close()
}

// stepQueue refuses the waiting requests that cannot run or have exceeded their queue time, and
// starts those for which slots are free.
// It reads the clock itself, because the process may have been paused since the tick began.
func (a *Agent) stepQueue(time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.handlePause(now)
	a.planner.lastTick = now
	if a.closed() {
		a.workload.queue.RefuseAll(fairqueue.ReasonLeaving)
	}
	for _, row := range a.workload.queue.WaitingRows() {
		if a.server.slots.Total(row) == 0 {
			a.workload.queue.RefuseRow(row, fairqueue.ReasonNotResident)
		}
	}
	a.workload.queue.Step(now)
}
