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
	"rockcleat/fleet"
	"rockcleat/internal/config"
	"rockcleat/internal/engine"
	"rockcleat/internal/inventory"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/ledger"
	"rockcleat/placement"
	"rockcleat/table"
)

// Intervals of the agent's systems.
const (
	statusEvery = 100 * time.Millisecond
	queueEvery  = 20 * time.Millisecond
	demandEvery = 250 * time.Millisecond
	armEvery    = 500 * time.Millisecond
	unloadEvery = 100 * time.Millisecond
)

// An Engine is what the agent needs of a model engine.
type Engine interface {
	// Status reads the engine's report.
	Status(ctx context.Context) (engine.Status, error)
	// Send gives an order.
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
	settings    config.Agent
	engine      Engine
	vms         VMLister
	clock       clock.Service
	log         *zap.Logger
	metrics     *telemetry.Metrics
	incarnation string
	backend     *http.Client
	peers       *wire.Client
	replica     table.Replica
	traffic     *wire.Traffic
	proxied     wire.Traffic
	requests    *server.Listener
	control     *server.Listener
	record      *record
	stops       []func()
	// ordering makes the handling of orders one at a time.
	ordering sync.Mutex
	// catching tells that the table is being asked of an entry.
	catching atomic.Bool

	mu     sync.Mutex
	queue  *fairqueue.Queue
	ledger ledger.Ledger
	slots  *slotTable
	demand map[string]*rowDemand
	grants map[string]int
	// unloads are orders that wait for their copies to drain.
	unloads map[copyID]placement.Order
	token   int64
	leaving bool
	// stopping tells that the agent leaves by its own stop, or because another has
	// taken over, and listed which version of the list last said that it leaves.
	stopping bool
	listed   uint64
	// closeAt is when a leaving agent takes no new work any more.
	closeAt time.Time
	// exchanged is when a planner spoke last.
	exchanged time.Time
	// planner is the control address of the planner that spoke last.
	planner string
	// lastTick is when the queue's system last ran, and mistrust until when the
	// agent, having been paused, takes no new work unless a planner speaks to it.
	lastTick time.Time
	mistrust time.Time
	// pauses counts the pauses; a planner that names the count has spoken since.
	pauses int
	// failures is the number of reports that the engine has missed in a row.
	failures int
	// armedAt is when the agent took over the record of its server, and current
	// tells that the last report was asked for after that: an older one may lack
	// what a former agent has done meanwhile.
	armedAt    time.Time
	current    bool
	reported   bool
	version    uint64
	lastRecord fleet.Server
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
		demand:      make(map[string]*rowDemand),
		grants:      make(map[string]int),
		unloads:     make(map[copyID]placement.Order),
	}
	a.backend = &http.Client{Transport: wire.NewTransport(&a.proxied)}
	a.slots = newSlotTable()
	a.peers = wire.NewClient(o.Settings.Secret, o.Traffic)
	a.queue = fairqueue.New(a.slots, fairqueue.Options{MaxWaiting: o.Settings.MaxWaiting})
	a.record = newRecord(o.Store, o.Settings.ID, a.incarnation)
	if a.isService() {
		a.slots.setServices(o.Settings.Backend.Services, o.Settings.Backend.Slots)
		a.reported = true
	}
	return a
}

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
	server.Pause(ctx, 2*a.settings.LeaveTime.Std())
	err := a.requests.Shutdown(ctx)
	for _, stop := range a.stops {
		stop()
	}
	if err != nil {
		a.log.Error("requests cut by the end of the drain time", zap.Error(err))
		_ = a.requests.Close()
	}
	if cerr := a.control.Close(); cerr != nil {
		return cerr
	}
	return eris.Wrap(err, "agent: stop")
}

// Close drops everything at once, as a crash would.
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
	a.lastTick = now
	if a.closed() {
		a.queue.RefuseAll(fairqueue.ReasonLeaving)
	}
	for _, row := range a.queue.Rows() {
		if a.slots.Total(row) == 0 {
			a.queue.RefuseRow(row, fairqueue.ReasonNotResident)
		}
	}
	a.queue.Step(now)
}

// stepStatus takes over the engine's report.
func (a *Agent) stepStatus(now time.Time) {
	asked := a.clock.Now()
	st, err := a.engine.Status(context.Background())
	if err != nil {
		a.noStatus(err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failures = 0
	a.ledger.Settle(ledger.Report{MemoryMiB: st.MemoryMiB, Residents: st.Residents, Finished: st.Finished}, now)
	a.slots.setResidents(st.Residents, len(st.MemoryMiB), st.Slots)
	a.reopen()
	a.reported = true
	a.current = asked.After(a.armedAt)
}

// maxFailures is the number of reports in a row that an engine may miss before
// its models count as not there.
const maxFailures = 5

// noStatus counts a missed report; an engine that misses several serves nothing.
func (a *Agent) noStatus(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failures++
	if a.failures != maxFailures {
		return
	}
	a.log.Warn("the engine does not answer", zap.Error(err))
	a.reported = false
	a.nudgePlanner()
	a.slots.setResidents(nil, 0, a.slots.perAccelerator)
}

// reopen gives requests to copies again whose unloading came to nothing; a.mu is held.
func (a *Agent) reopen() {
	for p := range a.slots.draining {
		if _, waits := a.unloads[p]; !waits && !a.ledger.Busy(p.name) {
			a.slots.undrain(p)
		}
	}
}

// serverRecord returns the record for the planner, with a new version if it
// differs from the last one; a.mu is held.
func (a *Agent) serverRecord(now time.Time) fleet.Server {
	s := fleet.Server{
		ID: a.settings.ID, Addr: a.Addr(), Hall: a.settings.Hall, Incarnation: a.incarnation, Leaving: a.leaving,
	}
	if a.isService() {
		s.Services = a.settings.Backend.Services
		s.Slots = a.settings.Backend.Slots
	} else if a.reported {
		s.Accelerators = a.ledger.Accelerators()
		s.Residents = a.slots.visible(a.ledger.Residents())
		s.Slots = a.slots.perAccelerator
	}
	s.Demand = a.demandLevels(now)
	if a.version == 0 || !s.Same(a.lastRecord) {
		a.version++
		a.lastRecord = s
	}
	return a.lastRecord
}
