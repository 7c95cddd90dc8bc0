package planner

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/fleet"
	"rockcleat/internal/config"
	"rockcleat/internal/inventory"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/placement"
	"rockcleat/quarantine"
	"rockcleat/rendezvous"
	"rockcleat/table"
)

// leaseContenders is the number of entries that contend for one cell. The cell is planned as long
// as one of them is running.
const leaseContenders = 3

// Intervals and timeouts of the planner.
const (
	// leaseRenewalsPerTTL is the number of lease renewals per TTL.
	leaseRenewalsPerTTL = 3
	// cellsWatchTimeout is the timeout of one watch of the cell list.
	cellsWatchTimeout = 20 * time.Second
	// sizesInterval is the interval at which the weight store's catalogue is read.
	sizesInterval = 30 * time.Second
	// callTimeout bounds one call to the key-value service or to an agent.
	callTimeout = 2 * time.Second
	// retryDelay is the delay after a failed call.
	retryDelay = 500 * time.Millisecond
)

// Members lists the VMs.
type Members interface {
	// Entries returns the ids of the live entries, including this one.
	Entries() []string
	// Backends returns the VMs of backend servers, including leaving ones.
	Backends() []inventory.VM
	// Version returns the version of the list that the other methods refer to.
	Version() uint64
}

// A Catalogue returns the sizes of models and adapters, by name.
type Catalogue interface {
	Sizes(ctx context.Context) (map[string]placement.Size, error)
}

// AgentClient posts messages to agents.
type AgentClient interface {
	Post(ctx context.Context, addr, path string, in, out any) error
}

// A Recorder stores decisions for operators.
type Recorder interface {
	Record(d wire.Decision)
}

// Options are the settings and dependencies of a Planner.
type Options struct {
	ID        string
	Addr      string
	Settings  config.Planner
	Store     kv.Store
	Clock     clock.Service
	Members   Members
	Catalogue Catalogue
	Agents    AgentClient
	View      *fleet.View
	Replica   *table.Replica
	Recorder  Recorder
	// Quarantine holds the requests during which backend servers have crashed.
	Quarantine *quarantine.Table
	Log        *zap.Logger
}

// A Planner plans the cells whose lease an entry holds.
type Planner struct {
	Options
	unsubscribe []func()
	cancel      context.CancelFunc
	ctx         context.Context
	wg          sync.WaitGroup

	mu sync.Mutex
	// cells is the cell list as last read, sizes the weight store's catalogue.
	cells []Cell
	sizes map[string]placement.Size
	// holders contend for the leases of cells. cellPlanners are the planners of the cells whose
	// lease is held. The keys of both are cell ids.
	holders      map[string]*lease.Holder
	cellPlanners map[string]*cellPlanner
	// outdatedSince is the time since which the cell list has not matched the VMs; it is zero while
	// the list matches.
	outdatedSince time.Time
}

// New returns a Planner that is idle until Start.
func New(o Options) *Planner {
	p := &Planner{Options: o, holders: make(map[string]*lease.Holder), cellPlanners: make(map[string]*cellPlanner)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Start starts the background tasks.
func (p *Planner) Start() {
	p.wg.Add(2)
	go p.watchCells()
	go p.readSizes()
	interval := p.Settings.LeaseTTL.Std() / leaseRenewalsPerTTL
	p.unsubscribe = append(p.unsubscribe,
		p.Clock.Subscribe(interval, func(time.Time) { p.stepLeases() }),
		p.Clock.Subscribe(min(interval, time.Second), func(time.Time) { p.stepCells() }),
		p.Clock.Subscribe(p.tickInterval(), p.stepPlans),
	)
	p.stepLeases()
}

// tickInterval returns the interval at which the held cells are checked for due exchanges and
// plans.
func (p *Planner) tickInterval() time.Duration {
	return min(p.Settings.ExchangeInterval.Std()/4, 250*time.Millisecond)
}

// Stop stops the background tasks and releases the leases, so that other entries can acquire them
// at once.
func (p *Planner) Stop(ctx context.Context) {
	p.Halt()
	p.mu.Lock()
	holders := slices.Collect(maps.Values(p.holders))
	p.mu.Unlock()
	for _, h := range holders {
		if err := h.Release(ctx); err != nil {
			p.Log.Warn("releasing a cell lease failed; it expires after its TTL", zap.String("lease", h.Name()), zap.Error(err))
		}
	}
}

// Halt stops the background tasks without releasing the leases.
func (p *Planner) Halt() {
	p.cancel()
	for _, stop := range p.unsubscribe {
		stop()
	}
	p.wg.Wait()
}

// HeldCells returns the ids of the cells planned by this entry, in order.
func (p *Planner) HeldCells() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.cellPlanners))
}

// Sizes returns the weight store's catalogue as last read.
func (p *Planner) Sizes() map[string]placement.Size {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sizes
}

// watchCells follows the cell list in the key-value service.
func (p *Planner) watchCells() {
	defer p.wg.Done()
	var revision kv.Revision
	for p.ctx.Err() == nil {
		e, err := p.Store.Watch(p.ctx, cellsKey, revision, cellsWatchTimeout)
		if err != nil {
			if !errors.Is(err, kv.ErrNotFound) {
				p.Log.Debug("watching the cell list failed", zap.Error(err))
				p.wait(retryDelay)
			}
			continue
		}
		if e.Revision == revision {
			continue
		}
		l, err := decodeCells(e.Value)
		if err != nil {
			p.Log.Error("decoding the cell list failed", zap.Error(err))
			p.wait(cellsWatchTimeout)
			continue
		}
		revision = e.Revision
		p.mu.Lock()
		p.cells = l.Cells
		p.mu.Unlock()
		p.stepLeases()
	}
}

// readSizes reads the weight store's catalogue periodically.
func (p *Planner) readSizes() {
	defer p.wg.Done()
	for p.ctx.Err() == nil {
		sizes, err := p.Catalogue.Sizes(p.ctx)
		if err != nil {
			p.Log.Debug("reading the weight store's catalogue failed", zap.Error(err))
			p.wait(retryDelay)
			continue
		}
		p.mu.Lock()
		p.sizes = sizes
		p.mu.Unlock()
		p.wait(sizesInterval)
	}
}

func (p *Planner) wait(d time.Duration) { clock.Sleep(p.ctx, p.Clock, d) }

// Rank returns the number of other entries that precede self in the rendezvous ranking for key.
func Rank(self string, entries []string, key string) int {
	h := rendezvous.Key(key)
	own := rendezvous.Weight(self, h)
	rank := 0
	for _, e := range entries {
		if e != self && rendezvous.Weight(e, h) > own {
			rank++
		}
	}
	return rank
}

// stepCells updates the cell list if it does not match the VMs. The entry with rank n waits n
// seconds first, so that usually only one entry writes.
func (p *Planner) stepCells() {
	vms := p.Members.Backends()
	p.mu.Lock()
	_, outdated := cellList{Cells: p.cells}.assign(vms, p.Settings.CellSize)
	now := p.Clock.Now()
	if !outdated {
		p.outdatedSince = time.Time{}
	} else if p.outdatedSince.IsZero() {
		p.outdatedSince = now
	}
	since := p.outdatedSince
	p.mu.Unlock()
	delay := time.Duration(Rank(p.ID, p.Members.Entries(), cellsKey)) * time.Second
	if !outdated || len(vms) == 0 || now.Sub(since) < delay {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	if err := updateCells(ctx, p.Store, vms, p.Settings.CellSize); err != nil {
		p.Log.Warn("updating the cell list failed", zap.Error(err))
	}
}

// stepLeases renews the leases held and contends for those that this entry is ranked for.
func (p *Planner) stepLeases() {
	entries := p.Members.Entries()
	p.mu.Lock()
	cells := slices.Clone(p.cells)
	p.mu.Unlock()
	listed := make(map[string]bool)
	for _, c := range cells {
		listed[c.ID] = true
		if h := p.holder(c.ID, Rank(p.ID, entries, c.ID) < leaseContenders); h != nil {
			p.stepLease(c.ID, h)
		}
	}
	p.stopUnlisted(listed)
}

// holder returns the lease holder of a cell. It creates one if contend is set and returns nil if
// this entry neither holds the lease nor should contend for it.
func (p *Planner) holder(cell string, contend bool) *lease.Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.holders[cell]
	if ok {
		if _, held := h.Held(); held || contend {
			return h
		}
		delete(p.holders, cell)
		return nil
	}
	if !contend {
		return nil
	}
	h = lease.New(p.Store, p.Clock, lease.Options{
		Name: "cell/" + cell, Holder: p.ID, Addr: p.Addr, TTL: p.Settings.LeaseTTL.Std(),
	})
	p.holders[cell] = h
	return h
}

// stepLease renews or contends for the lease of a cell and starts or stops planning it accordingly.
func (p *Planner) stepLease(cell string, h *lease.Holder) {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	err := h.AcquireOrRenew(ctx)
	if err != nil {
		p.Log.Debug("renewing or acquiring a cell lease failed", zap.String("cell", cell), zap.Error(err))
	}
	token, held := h.Held()
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.cellPlanners[cell]
	switch {
	case held && !ok:
		p.cellPlanners[cell] = newCellPlanner(p, cell, h, token)
		p.Log.Info("started planning cell", zap.String("cell", cell), zap.Int64("token", int64(token)))
	case held && c.token != token:
		p.cellPlanners[cell] = newCellPlanner(p, cell, h, token)
	case !held && ok && (err == nil || c.superseded.Load()):
		// After an error of the key-value service the cell keeps its planner: no other entry can
		// acquire the lease either, and the table and the records must still be exchanged.
		delete(p.cellPlanners, cell)
		p.Log.Info("stopped planning cell", zap.String("cell", cell))
	}
}

// stopUnlisted stops planning the cells that are no longer listed.
func (p *Planner) stopUnlisted(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.holders {
		if !listed[id] {
			delete(p.holders, id)
			delete(p.cellPlanners, id)
		}
	}
}

// RequestExchange makes the next exchange with a backend server's agent due immediately.
func (p *Planner) RequestExchange(server string) {
	p.mu.Lock()
	planners := slices.Collect(maps.Values(p.cellPlanners))
	p.mu.Unlock()
	for _, c := range planners {
		c.requestExchange(server)
	}
}

// stepPlans runs the due exchanges and plans of each held cell.
func (p *Planner) stepPlans(now time.Time) {
	p.mu.Lock()
	planners := slices.Collect(maps.Values(p.cellPlanners))
	cells := slices.Clone(p.cells)
	p.mu.Unlock()
	vms := make(map[string]inventory.VM)
	for _, vm := range p.Members.Backends() {
		vms[vm.ID] = vm
	}
	for _, c := range planners {
		i := slices.IndexFunc(cells, func(x Cell) bool { return x.ID == c.id })
		if i < 0 {
			continue
		}
		c.step(now, cells[i].Servers, vms)
	}
}

// cellIDs returns the ids of all cells, in order.
func (p *Planner) cellIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]string, len(p.cells))
	for i, c := range p.cells {
		ids[i] = c.ID
	}
	slices.SortFunc(ids, cmp.Compare[string])
	return ids
}
