package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"rockcleat/fleet"
	"rockcleat/ledger"
	"rockcleat/route"
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

// An Order is a move that a backend server's agent should make.
type Order struct {
	Op          ledger.Op `json:"op"`
	Server      string    `json:"server"`
	Accelerator int       `json:"acc"`
	Name        string    `json:"name"`
	Base        string    `json:"base,omitempty"`
	Size        Size      `json:"size"`
	Reason      string    `json:"reason"`
}

// A Policy names a way of deciding.
type Policy string

// The policies; all but the first are baselines for measurements.
const (
	// PolicyDemand is the normal way.
	PolicyDemand Policy = ""
	// PolicyStatic fills the memory with equally many copies of each row, whatever
	// the demand, and moves nothing.
	PolicyStatic Policy = "static"
	// PolicyLRU adds a copy as soon as the ones there are busy and drops those
	// asked for least recently, with no regard to what they cost.
	PolicyLRU Policy = "lru"
)

// Options are the settings of a Planner.
type Options struct {
	// Policy is the way of deciding.
	Policy Policy
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
	defaultHeadroom  = 0.7
	defaultHold      = 60 * time.Second
	defaultMaxLoads  = 4
	defaultMaxOrders = 8
)

// An Input is what a plan is made from.
type Input struct {
	// Cell is the cell whose planner asks; Cells are all there are, it included.
	Cell  string
	Cells []Cell
	Rows  []table.Row
	Sizes map[string]Size
	Now   time.Time
}

// A Cell is what is known of one cell.
type Cell struct {
	ID      string
	Servers []fleet.Server
	// Demand is the cell's demand by row, in busy slots.
	Demand map[string]float64
}

// A census is what a plan counts of one cell, once for all rows.
type census struct {
	id string
	// copies holds the copies of each name that are there to stay.
	copies map[string]int
	// largest is the largest memory free on one accelerator, in MiB.
	largest int
}

func (c Cell) census() census {
	n := census{id: c.ID, copies: make(map[string]int)}
	for _, s := range c.Servers {
		if s.Gone || s.Leaving {
			continue
		}
		for _, r := range s.Residents {
			if r.State != fleet.StateUnloading {
				n.copies[r.Name]++
			}
		}
		for _, a := range s.Accelerators {
			n.largest = max(n.largest, a.FreeMiB())
		}
	}
	return n
}

// A Planner makes plans for one cell and remembers what hysteresis needs; it is
// not safe for concurrent use.
type Planner struct {
	opts    Options
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

// acc is a plan's account of one accelerator.
type acc struct {
	server  *fleet.Server
	index   int
	free    int
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
	// adapters lists the adapters of each model.
	adapters map[string][]string
	census   []census
	loads    int
	// stale marks rows that the table no longer holds.
	wanted map[string]int
	orders []Order
}

// Plan returns the orders to give now, the most urgent first.
func (p *Planner) Plan(in Input) []Order {
	s := &plan{
		Planner: p, in: in, demand: make(map[string]float64), copies: make(map[string]int),
		adapters: make(map[string][]string),
	}
	s.survey()
	s.decideWanted()
	s.dropUnlisted()
	s.placeFirst()
	s.placeExtra()
	s.trackSurplus()
	return s.orders
}

// survey counts copies and demand from the servers' records.
func (s *plan) survey() {
	for _, r := range s.in.Rows {
		if r.Kind == table.KindAdapter {
			s.adapters[r.Base] = append(s.adapters[r.Base], r.Name)
		}
	}
	for _, c := range s.in.Cells {
		for name, slots := range c.Demand {
			s.demand[name] += slots
		}
		s.census = append(s.census, c.census())
		if c.ID == s.in.Cell {
			s.surveyOwn(c)
		}
	}
}

// surveyOwn counts the copies and the room of the planner's own cell.
func (s *plan) surveyOwn(c Cell) {
	for i := range c.Servers {
		srv := &c.Servers[i]
		for _, r := range srv.Residents {
			if r.State == fleet.StateLoading {
				s.loads++
			}
		}
		if srv.Gone || srv.Leaving {
			continue
		}
		s.addAccelerators(srv)
	}
}

func (s *plan) addAccelerators(srv *fleet.Server) {
	for i, a := range srv.Accelerators {
		x := &acc{server: srv, index: i, free: a.FreeMiB(), slots: srv.Slots, members: make(map[string]fleet.State)}
		for _, r := range srv.Residents {
			if r.Accelerator != i {
				continue
			}
			x.members[r.Name] = r.State
			if r.State != fleet.StateUnloading {
				s.copies[r.Name]++
			}
		}
		s.accs = append(s.accs, x)
	}
}

// decideWanted sets how many copies of each name the cell should hold.
func (s *plan) decideWanted() {
	s.wanted = make(map[string]int)
	total := s.totalDemand()
	slots := 1
	for _, a := range s.accs {
		slots = max(slots, a.slots)
	}
	for _, r := range s.in.Rows {
		if r.Kind == table.KindService {
			continue
		}
		perCopy := s.opts.Headroom * float64(slots)
		n := max(1, int(math.Ceil(total[r.Name]/perCopy)))
		if s.opts.Policy == PolicyStatic {
			n = s.evenCopies()
		}
		s.wanted[r.Name] = s.ownPart(r.Name, n)
	}
	for _, r := range s.in.Rows {
		if r.Kind == table.KindAdapter && s.wanted[r.Name] > 0 {
			s.wanted[r.Base] = max(s.wanted[r.Base], 1)
		}
	}
	for _, x := range s.accs {
		share := 0.0
		for name := range x.members {
			share += s.demand[name] / float64(max(s.copies[name], 1))
		}
		x.demand = share
	}
}

// evenCopies returns the copies of each row that the memory of all cells holds.
func (s *plan) evenCopies() int {
	need, have := 0, 0
	for _, r := range s.in.Rows {
		need += s.in.Sizes[r.Name].TotalMiB()
	}
	for _, c := range s.in.Cells {
		for _, srv := range c.Servers {
			for _, a := range srv.Accelerators {
				have += a.MemoryMiB
			}
		}
	}
	return max(1, have/max(need, 1))
}

// totalDemand returns the demand by name, that of adapters counted for their
// bases too.
func (s *plan) totalDemand() map[string]float64 {
	total := maps.Clone(s.demand)
	for _, r := range s.in.Rows {
		if r.Kind == table.KindAdapter {
			total[r.Base] += s.demand[r.Name]
		}
	}
	return total
}

// ownPart returns how many of a name's n copies fall to the cell. Copies that
// cells hold already count where they are; the rest go round the cells with
// room in the order of their rendezvous weights, so that cells which see the
// same records agree without asking each other.
func (s *plan) ownPart(name string, n int) int {
	key := route.Hash(name)
	cells := slices.SortedFunc(slices.Values(s.census), func(a, b census) int {
		return cmp.Compare(route.Rendezvous(b.id, key), route.Rendezvous(a.id, key))
	})
	own := 0
	for _, c := range cells {
		part := min(c.copies[name], n)
		n -= part
		if c.id == s.in.Cell {
			own += part
		}
	}
	takers := s.takers(cells, name)
	for i := range n {
		if takers[i%len(takers)].id == s.in.Cell {
			own++
		}
	}
	return own
}

// takers returns the cells with room for the name, or all if none has.
func (s *plan) takers(cells []census, name string) []census {
	mib := s.in.Sizes[name].TotalMiB()
	roomy := slices.DeleteFunc(slices.Clone(cells), func(c census) bool { return c.largest < mib })
	if len(roomy) == 0 {
		return cells
	}
	return roomy
}

// dropUnlisted unloads what the table no longer names.
func (s *plan) dropUnlisted() {
	listed := make(map[string]bool, len(s.in.Rows))
	for _, r := range s.in.Rows {
		listed[r.Name] = true
	}
	for _, x := range s.accs {
		for _, name := range slices.Sorted(maps.Keys(x.members)) {
			if !listed[name] && x.members[name] == fleet.StateReady {
				s.unload(x, name, "not in the table")
			}
		}
	}
}

// byUrgency returns the rows with fewer copies than wanted, models before
// adapters, higher tiers and greater demand first.
func (s *plan) byUrgency(want func(r table.Row) bool) []table.Row {
	var rows []table.Row
	for _, r := range s.in.Rows {
		if r.Kind != table.KindService && want(r) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int {
		return cmp.Or(
			cmp.Compare(kindRank(a.Kind), kindRank(b.Kind)),
			cmp.Compare(b.Tier.Factor(), a.Tier.Factor()),
			cmp.Compare(s.demand[b.Name], s.demand[a.Name]),
			cmp.Compare(s.in.Sizes[b.Name].TotalMiB(), s.in.Sizes[a.Name].TotalMiB()),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return rows
}

func kindRank(k table.Kind) int {
	if k == table.KindModel {
		return 0
	}
	return 1
}

// placeFirst gives every name its first copy.
func (s *plan) placeFirst() {
	rows := s.byUrgency(func(r table.Row) bool { return s.copies[r.Name] == 0 && s.wanted[r.Name] > 0 })
	for _, r := range rows {
		if s.full() {
			return
		}
		if x := s.roomFor(r); x != nil {
			s.load(x, r, "no copy")
			continue
		}
		reason := "room for " + r.Name + ", which has no copy"
		if !s.makeRoom(r, reason, 0) {
			s.relocate(r, reason)
		}
	}
}

// placeExtra adds copies that demand justifies.
func (s *plan) placeExtra() {
	rows := s.byUrgency(func(r table.Row) bool { return s.copies[r.Name] > 0 && s.copies[r.Name] < s.wanted[r.Name] })
	for _, r := range rows {
		if s.full() {
			return
		}
		reason := fmt.Sprintf("demand %.1f slots, %d of %d copies", s.demand[r.Name], s.copies[r.Name], s.wanted[r.Name])
		if x := s.roomFor(r); x != nil {
			s.load(x, r, reason)
			continue
		}
		if s.opts.Policy != PolicyStatic {
			s.makeRoom(r, "room for "+r.Name+": "+reason, s.opts.Hold)
		}
	}
}

func (s *plan) full() bool {
	return len(s.orders) >= s.opts.MaxOrders || s.loads >= s.opts.MaxLoads
}

// roomFor returns the least busy accelerator that can take the row, or nil.
func (s *plan) roomFor(r table.Row) *acc {
	need := s.in.Sizes[r.Name].TotalMiB()
	var best *acc
	for _, x := range s.accs {
		if !s.suits(x, r) || x.free < need {
			continue
		}
		if best == nil || s.better(x, best) {
			best = x
		}
	}
	return best
}

// better prefers the less busy accelerator and, between equals, the emptier one.
func (s *plan) better(a, b *acc) bool {
	if math.Abs(a.demand-b.demand) > levelUnit {
		return a.demand < b.demand
	}
	return a.free > b.free
}

// suits reports whether the accelerator lacks the row and, for an adapter, has
// its base.
func (s *plan) suits(x *acc, r table.Row) bool {
	if _, has := x.members[r.Name]; has {
		return false
	}
	return r.Kind != table.KindAdapter || x.members[r.Base] == fleet.StateReady
}

// makeRoom unloads copies that are not needed from one accelerator until the
// row would fit there and reports whether there are such copies; held says how
// long a copy must have been surplus.
func (s *plan) makeRoom(r table.Row, reason string, held time.Duration) bool {
	need := s.in.Sizes[r.Name].TotalMiB()
	var best *acc
	var bestVictims []string
	for _, x := range s.accs {
		if !s.suits(x, r) {
			continue
		}
		victims := s.victims(x, need-x.free, held)
		if victims != nil && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = x, victims
		}
	}
	for _, name := range bestVictims {
		s.unload(best, name, reason)
	}
	return best != nil
}

// victims returns copies whose unloading frees the memory, or nil.
func (s *plan) victims(x *acc, need int, held time.Duration) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(x.members)) {
		if x.members[name] == fleet.StateReady && s.spare(name, held) && !s.carries(x, name) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(s.demand[a], s.demand[b]) })
	for i, name := range names {
		need -= s.in.Sizes[name].TotalMiB()
		if need <= 0 {
			return names[:i+1]
		}
	}
	return nil
}

// spare reports whether a copy of the name may go. A first copy of another name
// (held 0) may take any copy but the last; demand may take surplus ones only.
func (s *plan) spare(name string, held time.Duration) bool {
	if s.copies[name] <= 1 {
		return false
	}
	if held == 0 || s.opts.Policy == PolicyLRU {
		return true
	}
	since, ok := s.surplus[name]
	return ok && s.copies[name] > s.wanted[name] && s.in.Now.Sub(since) >= held
}

// carries reports whether an adapter on the accelerator needs the model there.
func (s *plan) carries(x *acc, name string) bool {
	return slices.ContainsFunc(s.adapters[name], func(adapter string) bool {
		_, has := x.members[adapter]
		return has
	})
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

func (s *plan) load(x *acc, r table.Row, reason string) {
	size := s.in.Sizes[r.Name]
	x.free -= size.TotalMiB()
	x.members[r.Name] = fleet.StateLoading
	s.copies[r.Name]++
	s.loads++
	s.add(ledger.OpLoad, x, r.Name, r.Base, reason)
}

func (s *plan) unload(x *acc, name, reason string) {
	x.members[name] = fleet.StateUnloading
	s.copies[name]--
	s.add(ledger.OpUnload, x, name, "", reason)
}

func (s *plan) add(op ledger.Op, x *acc, name, base, reason string) {
	s.orders = append(s.orders, Order{
		Op: op, Server: x.server.ID, Accelerator: x.index, Name: name, Base: base,
		Size: s.in.Sizes[name], Reason: reason,
	})
}
