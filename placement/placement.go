package placement

import (
	"time"

	"rockcleat/fleet"
	"rockcleat/ledger"
	"rockcleat/table"
)

// A Size is the memory that a model or adapter takes, in MiB.
type Size struct {
	WeightMiB int `json:"weight_mib"`
	// CacheMiB is the memory of its KV cache.
	CacheMiB int `json:"cache_mib"`
}

// TotalMiB returns the memory to reserve, in MiB.
func (s Size) TotalMiB() int { return s.WeightMiB + s.CacheMiB }

// An Order tells a backend server's agent to load or unload a model or adapter.
type Order struct {
	Op     ledger.Op `json:"op"`
	Server string    `json:"server"`
	// Accelerator is the index of the accelerator in the server's record.
	Accelerator int    `json:"acc"`
	Name        string `json:"name"`
	// Base is the base model of an adapter.
	Base   string `json:"base,omitempty"`
	Size   Size   `json:"size"`
	Reason string `json:"reason"`
}

// Options configure a Planner.
type Options struct {
	// Headroom is the fraction of an accelerator's slots that the demand on one replica is planned to use,
	// from 0 to 1.
	Headroom float64
	// Hold is how long a replica is kept after demand no longer justifies it, unless a name without a replica
	// needs the memory.
	Hold time.Duration
	// MaxLoads is the maximum number of loads that run at the same time in the cell.
	MaxLoads int
	// MaxOrders is the maximum number of orders in one plan.
	MaxOrders int
}

// Defaults of Options.
const (
	defaultHeadroom  = 0.7
	defaultHold      = 60 * time.Second
	defaultMaxLoads  = 4
	defaultMaxOrders = 8
)

// An Input is the input of Plan.
type Input struct {
	// Cell is the ID of the cell to plan for; Cells are all cells, including that one.
	Cell  string
	Cells []Cell
	Rows  []table.Row
	Sizes map[string]Size
	Now   time.Time
}

// A Cell is the state of one cell.
type Cell struct {
	ID      string
	Servers []fleet.Server
	// Demand is the demand that the cell reports for each row, in busy slots.
	Demand map[string]float64
}

// A Planner plans for one cell. It is not safe for concurrent use.
type Planner struct {
	opts Options
	// surplusSince is the time since which each name has had more replicas than its target.
	surplusSince map[string]time.Time
}

// NewPlanner returns a Planner. Options that are not positive are replaced by defaults.
func NewPlanner(o Options) *Planner {
	if o.Headroom <= 0 {
		o.Headroom = defaultHeadroom
	}
	if o.Hold <= 0 {
		o.Hold = defaultHold
	}
	if o.MaxLoads <= 0 {
		o.MaxLoads = defaultMaxLoads
	}
	if o.MaxOrders <= 0 {
		o.MaxOrders = defaultMaxOrders
	}
	return &Planner{opts: o, surplusSince: make(map[string]time.Time)}
}

// An accelerator is the working state of one accelerator during a plan.
type accelerator struct {
	server *fleet.Server
	index  int
	// free is the memory that is neither in use nor reserved, in MiB. It is negative if memory is reserved
	// that is yet to be freed.
	free int
	// freeing is the memory of replicas that are being unloaded, in MiB.
	freeing int
	// demand is the estimated demand on the replicas here, in busy slots.
	demand float64
	slots  int
	// residents holds the state of each model and adapter here, by name.
	residents map[string]fleet.State
}

// plan is the working state of one call of Plan.
type plan struct {
	*Planner
	in           Input
	accelerators []*accelerator
	// demand is the demand of all cells by name, in busy slots.
	demand map[string]float64
	// replicas counts the replicas of each name in the cell that are ready or being loaded, ready only those
	// that are ready.
	replicas map[string]int
	ready    map[string]int
	// adapters holds the names of the adapters of each model.
	adapters map[string][]string
	cells    []cellSummary
	// loads is the number of loads in progress or planned.
	loads int
	// targets is the target number of replicas of each name in the cell.
	targets map[string]int
	orders  []Order
}

// Plan returns the orders to issue now, the most urgent first.
func (p *Planner) Plan(in Input) []Order {
	s := &plan{
		Planner: p, in: in, demand: make(map[string]float64), replicas: make(map[string]int),
		ready: make(map[string]int), adapters: make(map[string][]string),
	}
	s.readCells()
	s.setTargets()
	s.unloadUnlisted()
	s.placeMissing()
	s.placeAdditional()
	s.trackSurplus()
	return s.orders
}

// trackSurplus updates the time since which each name has had more replicas than its target.
func (s *plan) trackSurplus() {
	for _, r := range s.in.Rows {
		if s.replicas[r.Name] <= s.targets[r.Name] {
			delete(s.surplusSince, r.Name)
			continue
		}
		if _, ok := s.surplusSince[r.Name]; !ok {
			s.surplusSince[r.Name] = s.in.Now
		}
	}
}

// load adds an order to load a row on an accelerator.
func (s *plan) load(x *accelerator, r table.Row, reason string) {
	size := s.in.Sizes[r.Name]
	x.free -= size.TotalMiB()
	x.residents[r.Name] = fleet.StateLoading
	s.replicas[r.Name]++
	s.loads++
	s.addOrder(ledger.OpLoad, x, r.Name, r.Base, reason)
}

// unload adds an order to unload a name from an accelerator.
func (s *plan) unload(x *accelerator, name, reason string) {
	x.residents[name] = fleet.StateUnloading
	x.freeing += s.in.Sizes[name].TotalMiB()
	s.replicas[name]--
	s.ready[name]--
	s.addOrder(ledger.OpUnload, x, name, "", reason)
}

func (s *plan) addOrder(op ledger.Op, x *accelerator, name, base, reason string) {
	s.orders = append(s.orders, Order{
		Op: op, Server: x.server.ID, Accelerator: x.index, Name: name, Base: base,
		Size: s.in.Sizes[name], Reason: reason,
	})
}
