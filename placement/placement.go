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
	// CacheMiB is the room for its KV cache.
	CacheMiB int `json:"cache_mib"`
}

// TotalMiB returns the memory to reserve.
func (s Size) TotalMiB() int { return s.WeightMiB + s.CacheMiB }

// An Order is a load or an unload for a backend server's agent.
type Order struct {
	Op          ledger.Op `json:"op"`
	Server      string    `json:"server"`
	Accelerator int       `json:"acc"`
	Name        string    `json:"name"`
	Base        string    `json:"base,omitempty"`
	Size        Size      `json:"size"`
	Reason      string    `json:"reason"`
}

// Options configure a Planner.
type Options struct {
	// Headroom is the part of an accelerator's slots that a copy is planned to fill.
	Headroom float64
	// Hold is how long a copy stays after demand no longer justifies it; a longer
	// hold makes fewer moves and slower changes.
	Hold time.Duration
	// MaxLoads bounds the loads that may run at once.
	MaxLoads int
	// MaxOrders bounds the orders of one plan.
	MaxOrders int
}

// Defaults of Options.
const (
	// defaultHeadroom is a part, 0 to 1.
	defaultHeadroom = 0.7
	// defaultHold is one minute: demand moves tenfold within an hour (the letter).
	defaultHold = 60 * time.Second
	// defaultMaxLoads is in loads at once.
	defaultMaxLoads = 4
	// defaultMaxOrders is in orders a plan.
	defaultMaxOrders = 8
)

// An Input is the input of Plan.
type Input struct {
	// Cell is the cell whose planner asks; Cells are all there are, it included.
	Cell  string
	Cells []Cell
	Rows  []table.Row
	Sizes map[string]Size
	Now   time.Time
}

// A Cell describes one cell.
type Cell struct {
	ID      string
	Servers []fleet.Server
	// Demand is the cell's demand by row, in busy slots.
	Demand map[string]float64
}

// A Planner makes plans for one cell; it is not safe for concurrent use.
type Planner struct {
	opts Options
	// surplus is since when each name has had more copies than wanted.
	surplus map[string]time.Time
}

// NewPlanner returns a Planner with no memory.
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
	return &Planner{opts: o, surplus: make(map[string]time.Time)}
}

// An acc is a plan's account of one accelerator.
type acc struct {
	server *fleet.Server
	index  int
	// free is the memory that nothing takes or is to take, in MiB; less than 0 where
	// more is promised than is free yet.
	free int
	// freeing is the memory of copies that are being unloaded, in MiB.
	freeing int
	demand  float64
	slots   int
	members map[string]fleet.State
}

// plan is the working state of one call of Plan.
type plan struct {
	*Planner
	in     Input
	accs   []*acc
	demand map[string]float64
	copies map[string]int
	// ready counts those of the copies that serve.
	ready map[string]int
	// adapters lists the adapters of each model.
	adapters map[string][]string
	census   []census
	loads    int
	// wanted is how many copies of each name the cell should hold.
	wanted map[string]int
	orders []Order
}

// Plan returns the orders to issue now, the most urgent first.
func (p *Planner) Plan(in Input) []Order {
	s := &plan{
		Planner: p, in: in, demand: make(map[string]float64), copies: make(map[string]int),
		ready: make(map[string]int), adapters: make(map[string][]string),
	}
	s.survey()
	s.decideWanted()
	s.dropUnlisted()
	s.placeFirst()
	s.placeExtra()
	s.trackSurplus()
	return s.orders
}

// trackSurplus remembers since when each name has had more copies than wanted.
func (s *plan) trackSurplus() {
	for _, r := range s.in.Rows {
		if s.copies[r.Name] <= s.wanted[r.Name] {
			delete(s.surplus, r.Name)
			continue
		}
		if _, ok := s.surplus[r.Name]; !ok {
			s.surplus[r.Name] = s.in.Now
		}
	}
}

// load plans the load of a row on an accelerator.
func (s *plan) load(x *acc, r table.Row, reason string) {
	size := s.in.Sizes[r.Name]
	x.free -= size.TotalMiB()
	x.members[r.Name] = fleet.StateLoading
	s.copies[r.Name]++
	s.loads++
	s.add(ledger.OpLoad, x, r.Name, r.Base, reason)
}

// unload plans the unload of a name from an accelerator.
func (s *plan) unload(x *acc, name, reason string) {
	x.members[name] = fleet.StateUnloading
	x.freeing += s.in.Sizes[name].TotalMiB()
	s.copies[name]--
	s.ready[name]--
	s.add(ledger.OpUnload, x, name, "", reason)
}

// add appends an order.
func (s *plan) add(op ledger.Op, x *acc, name, base, reason string) {
	s.orders = append(s.orders, Order{
		Op: op, Server: x.server.ID, Accelerator: x.index, Name: name, Base: base,
		Size: s.in.Sizes[name], Reason: reason,
	})
}
