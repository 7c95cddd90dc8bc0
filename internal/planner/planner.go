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

// contenders is the number of entries that contend for one cell, so that one of them is there
// when two have failed.
const contenders = 3

// Intervals of the planner's systems; docs/CAPACITY.md says what they cost.
const (
	// leaseDivisor is how often a held lease is renewed in its ttl.
	leaseDivisor = 3
	// cellsWait is how long one watch of the cells waits.
	cellsWait = 20 * time.Second
	// sizesEvery is the time between two reads of the weight store's catalogue.
	sizesEvery = 30 * time.Second
	// callTimeout bounds a call to the service or to an agent.
	callTimeout = 2 * time.Second
	// retryWait is the pause after a call that failed.
	retryWait = 500 * time.Millisecond
)

// Members lists the VMs.
type Members interface {
	// Entries returns the ids of the live entries, this one included.
	Entries() []string
	// Backends returns the backend servers' VMs that are not gone.
	Backends() []inventory.VM
	// Version returns the version of the platform's list that this is.
	Version() uint64
}

// A Catalogue has the sizes of models and adapters.
type Catalogue interface {
	Sizes(ctx context.Context) (map[string]placement.Size, error)
}

// An Agents sends messages to agents.
type Agents interface {
	Post(ctx context.Context, addr, path string, in, out any) error
}

// A Recorder keeps decisions for operators.
type Recorder interface {
	Record(d wire.Decision)
}

// Options are what a Planner is made of.
type Options struct {
	ID        string
	Addr      string
	Settings  config.Planner
	Store     kv.Store
	Clock     clock.Service
	Members   Members
	Catalogue Catalogue
	Agents    Agents
	View      *fleet.View
	Replica   *table.Replica
	Recorder  Recorder
	// Quarantine holds the requests under which backend servers have ended.
	Quarantine *quarantine.Table
	Log        *zap.Logger
}

// A Planner plays the planner role for the cells that an entry holds.
type Planner struct {
	Options
	stops  []func()
	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup

	mu sync.Mutex
	// cells is the division as last read, sizes the catalogue.
	cells []Cell
	sizes map[string]placement.Size
	// holders contend for cells' leases; active plan the cells that are held.
	holders map[string]*lease.Holder
	active  map[string]*cellPlanner
	// misfitSince is since when the division has not fitted the VMs; zero if it does.
	misfitSince time.Time
}

// New returns a Planner that holds nothing until Start.
func New(o Options) *Planner {
	p := &Planner{Options: o, holders: make(map[string]*lease.Holder), active: make(map[string]*cellPlanner)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Start starts the planner's systems.
func (p *Planner) Start() {
	p.wg.Add(2)
	go p.watchCells()
	go p.readSizes()
	every := p.Settings.LeaseTTL.Std() / leaseDivisor
	p.stops = append(p.stops,
		p.Clock.Subscribe(every, func(time.Time) { p.stepLeases() }),
		p.Clock.Subscribe(min(every, time.Second), func(time.Time) { p.stepCells() }),
		p.Clock.Subscribe(p.tick(), p.stepPlans),
	)
	p.stepLeases()
}

// tick is how often each held cell looks for work.
func (p *Planner) tick() time.Duration {
	return min(p.Settings.ExchangeEvery.Std()/4, 250*time.Millisecond)
}

// Stop ends the systems and releases the leases, so that others take over at once.
func (p *Planner) Stop(ctx context.Context) {
	p.Halt()
	p.mu.Lock()
	holders := slices.Collect(maps.Values(p.holders))
	p.mu.Unlock()
	for _, h := range holders {
		if err := h.Release(ctx); err != nil {
			p.Log.Warn("lease not released, it ends by its ttl", zap.String("lease", h.Name()), zap.Error(err))
		}
	}
}

// Halt ends the systems without releasing anything, as a crash would.
func (p *Planner) Halt() {
	p.cancel()
	for _, stop := range p.stops {
		stop()
	}
	p.wg.Wait()
}

// Held returns the ids of the cells planned here.
func (p *Planner) Held() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.active))
}

// Sizes returns the weight store's catalogue as last read.
func (p *Planner) Sizes() map[string]placement.Size {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sizes
}

// watchCells follows the division into cells.
func (p *Planner) watchCells() {
	defer p.wg.Done()
	var revision kv.Revision
	for p.ctx.Err() == nil {
		e, err := p.Store.Watch(p.ctx, cellsKey, revision, cellsWait)
		if err != nil {
			if !errors.Is(err, kv.ErrNotFound) {
				p.Log.Debug("cells not watched", zap.Error(err))
				p.wait(retryWait)
			}
			continue
		}
		if e.Revision == revision {
			continue
		}
		l, err := decodeCells(e.Value)
		if err != nil {
			p.Log.Error("cells unreadable", zap.Error(err))
			p.wait(cellsWait)
			continue
		}
		revision = e.Revision
		p.mu.Lock()
		p.cells = l.Cells
		p.mu.Unlock()
		p.stepLeases()
	}
}

// readSizes follows the weight store's catalogue.
func (p *Planner) readSizes() {
	defer p.wg.Done()
	for p.ctx.Err() == nil {
		sizes, err := p.Catalogue.Sizes(p.ctx)
		if err != nil {
			p.Log.Debug("catalogue of the weight store not read", zap.Error(err))
			p.wait(retryWait)
			continue
		}
		p.mu.Lock()
		p.sizes = sizes
		p.mu.Unlock()
		p.wait(sizesEvery)
	}
}

func (p *Planner) wait(d time.Duration) { clock.Sleep(p.ctx, p.Clock, d) }

// Rank returns how many of the entries come before this one for a key.
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

// stepCells makes the division fit the VMs, if this entry is the one to do it:
// the entry ranked n-th waits n seconds for those before it.
func (p *Planner) stepCells() {
	vms := p.Members.Backends()
	p.mu.Lock()
	_, misfits := cellList{Cells: p.cells}.fit(vms, p.Settings.CellSize)
	now := p.Clock.Now()
	if !misfits {
		p.misfitSince = time.Time{}
	} else if p.misfitSince.IsZero() {
		p.misfitSince = now
	}
	since := p.misfitSince
	p.mu.Unlock()
	patience := time.Duration(Rank(p.ID, p.Members.Entries(), cellsKey)) * time.Second
	if !misfits || len(vms) == 0 || now.Sub(since) < patience {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	if err := updateCells(ctx, p.Store, vms, p.Settings.CellSize); err != nil {
		p.Log.Warn("cells not updated", zap.Error(err))
	}
}

// stepLeases renews the leases held and contends for those that this entry is
// ranked for.
func (p *Planner) stepLeases() {
	entries := p.Members.Entries()
	p.mu.Lock()
	cells := slices.Clone(p.cells)
	p.mu.Unlock()
	listed := make(map[string]bool)
	for _, c := range cells {
		listed[c.ID] = true
		if h := p.holder(c.ID, Rank(p.ID, entries, c.ID) < contenders); h != nil {
			p.stepLease(c.ID, h)
		}
	}
	p.dropUnlisted(listed)
}

// holder returns the cell's lease holder, a new one if this entry should contend.
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

// stepLease renews or contends for one cell's lease, and begins or ends to plan the cell.
func (p *Planner) stepLease(cell string, h *lease.Holder) {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	err := h.Step(ctx)
	if err != nil {
		p.Log.Debug("lease not renewed", zap.String("cell", cell), zap.Error(err))
	}
	token, held := h.Held()
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.active[cell]
	switch {
	case held && !ok:
		p.active[cell] = newCellPlanner(p, cell, h, token)
		p.Log.Info("planning cell", zap.String("cell", cell), zap.Int64("token", int64(token)))
	case held && c.token != token:
		p.active[cell] = newCellPlanner(p, cell, h, token)
	case !held && ok && (err == nil || c.superseded.Load()):
		// While the service does not answer the cell stays: nobody else can hold it
		// either, and the table and the records still have to travel.
		delete(p.active, cell)
		p.Log.Info("no longer planning cell", zap.String("cell", cell))
	}
}

// dropUnlisted gives up cells that are no longer in the division.
func (p *Planner) dropUnlisted(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.holders {
		if !listed[id] {
			delete(p.holders, id)
			delete(p.active, id)
		}
	}
}

// Nudge makes the next exchange with a backend server due.
func (p *Planner) Nudge(server string) {
	p.mu.Lock()
	active := slices.Collect(maps.Values(p.active))
	p.mu.Unlock()
	for _, c := range active {
		c.nudge(server)
	}
}

// stepPlans lets each held cell exchange messages and plan.
func (p *Planner) stepPlans(now time.Time) {
	p.mu.Lock()
	active := slices.Collect(maps.Values(p.active))
	cells := slices.Clone(p.cells)
	p.mu.Unlock()
	vms := make(map[string]inventory.VM)
	for _, vm := range p.Members.Backends() {
		vms[vm.ID] = vm
	}
	for _, c := range active {
		i := slices.IndexFunc(cells, func(x Cell) bool { return x.ID == c.id })
		if i < 0 {
			continue
		}
		c.step(now, cells[i].Servers, vms)
	}
}

// cellIDs returns the ids of all cells.
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
