package residency

import (
	"cmp"
	"container/heap"
	"slices"

	"rockcleat/backend"
	"rockcleat/table"
)

// An Engine is one engine as a plan sees it.
type EngineView struct {
	ID   string
	Hall string
	// Residents are the models that are ready or on their way.
	Residents []backend.Resident
	// Idle tells that no order is under way.
	Idle bool
	// Leaving tells that the engine is about to go; its copies do not count.
	Leaving bool
	// InMemory and OnDisk name the models whose weights are at hand.
	CachedInMemory, CachedOnDisk []string
	// Fresh names the models that came too recently to go again.
	RecentlyLoaded map[string]bool
}

// A Want is what is asked of one model.
type Demand struct {
	// Weight is the work asked for per second, in tokens.
	TokensPerSecond float64
	// Waiting is the number of requests that wait for it.
	Waiting int
}

// An Input is what a plan is made from.
type Input struct {
	Spec    *table.EngineSpec
	Engines []EngineView
	Demands map[string]Demand
	// StoreLoads is the number of loads that the weight store bears now.
	StoreLoadsAllowed int
}

// A Source tells where weights are loaded from.
type Source int

// The sources of weights.
const (
	FromStore Source = iota
	FromDisk
	FromMemory
)

// A Move brings one model to one engine.
type Move struct {
	Engine string
	Model  string
	// Victims are the models to unload first.
	Evictions []string
	Source    Source
}

// plan is the working state of one call of Plan.
type plan struct {
	in       Input
	replicas map[string]int
	targets  map[string]int
	engines  []*EngineView
}

// Plan returns the moves to start now, the most urgent first; at most one an engine.
func Plan(in Input) []Move {
	in.Demands = Forecast(in.Spec, in.Demands, in.Engines)
	p := &plan{in: in, replicas: make(map[string]int)}
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving {
			continue
		}
		p.engines = append(p.engines, e)
		for _, r := range e.Residents {
			p.replicas[r.Model]++
		}
	}
	p.targets = ReplicaTargets(in.Spec, in.Demands, len(p.engines))
	return p.moves()
}

// halfCopy favours models with few copies when memory is divided.
const replicaOffset = 0.5

// Copies divides the memory of a number of engines among the models: one copy
// each, and the rest in proportion to their weights.
func ReplicaTargets(spec *table.EngineSpec, wants map[string]Demand, engines int) map[string]int {
	room := spec.WeightsMB * float64(engines)
	var next replicaHeap
	for i, m := range spec.Models {
		room -= m.WeightsMB
		c := replicaCandidate{index: i, replicas: 1, tokensPerSecond: wants[m.Name].TokensPerSecond}
		if c.tokensPerSecond > 0 {
			next = append(next, c)
		}
	}
	heap.Init(&next)
	copies := make(map[string]int, len(spec.Models))
	for _, m := range spec.Models {
		copies[m.Name] = 1
	}
	for len(next) > 0 {
		c := &next[0]
		m := &spec.Models[c.index]
		if c.replicas >= engines || m.WeightsMB > room {
			// Room only shrinks, so the model gets no further copy.
			heap.Pop(&next)
			continue
		}
		room -= m.WeightsMB
		c.replicas++
		copies[m.Name] = c.replicas
		heap.Fix(&next, 0)
	}
	return copies
}

// A nextCopy is what speaks for a further copy of one model.
type replicaCandidate struct {
	index           int
	replicas        int
	tokensPerSecond float64
}

func (c replicaCandidate) priority() float64 {
	return c.tokensPerSecond / (float64(c.replicas) + replicaOffset)
}

// nextCopies is a heap of them, the greatest share first.
type replicaHeap []replicaCandidate

// Len implements heap.Interface.
func (c replicaHeap) Len() int { return len(c) }

// Less implements heap.Interface.
func (c replicaHeap) Less(i, j int) bool {
	if a, b := c[i].priority(), c[j].priority(); a != b {
		return a > b
	}
	return c[i].index < c[j].index
}

// Swap implements heap.Interface.
func (c replicaHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *replicaHeap) Push(x any) { *c = append(*c, x.(replicaCandidate)) }

// Pop implements heap.Interface.
func (c *replicaHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// moves looks for a move for each model that has too few copies.
func (p *plan) moves() []Move {
	var moves []Move
	stores := p.in.StoreLoadsAllowed
	for _, m := range p.underReplicated() {
		move, ok := p.cheapestMove(m, stores > 0)
		if !ok {
			continue
		}
		moves = append(moves, move)
		if move.Source == FromStore {
			stores--
		}
		p.apply(move)
	}
	return moves
}

// short returns the models with fewer copies than desired, the most urgent first.
func (p *plan) underReplicated() []table.ModelSpec {
	var list []table.ModelSpec
	for _, m := range p.in.Spec.Models {
		if p.replicas[m.Name] < p.targets[m.Name] {
			list = append(list, m)
		}
	}
	urgency := func(m table.ModelSpec) float64 {
		w := p.in.Demands[m.Name]
		if p.replicas[m.Name] == 0 {
			return w.TokensPerSecond*1e6 + float64(w.Waiting)*1e6 + 1e6
		}
		return w.TokensPerSecond / (float64(p.replicas[m.Name]) + replicaOffset)
	}
	slices.SortStableFunc(list, func(a, b table.ModelSpec) int { return cmp.Compare(urgency(b), urgency(a)) })
	return list
}

// best returns the cheapest move that brings a model to an engine.
func (p *plan) cheapestMove(m table.ModelSpec, stores bool) (Move, bool) {
	var best Move
	found := false
	bestCost := 0.0
	halls := p.halls(m.Name)
	for _, e := range p.engines {
		if !e.Idle || holds(e, m.Name) {
			continue
		}
		source := sourceOf(e, m.Name)
		if source == FromStore && !stores {
			continue
		}
		victims, loss, ok := p.evictions(e, m)
		if !ok {
			continue
		}
		cost := loadTime(m, source) + loss + sameHallPenalty*float64(halls[e.Hall])
		if !found || cost < bestCost {
			best, bestCost, found = Move{Engine: e.ID, Model: m.Name, Evictions: victims, Source: source}, cost, true
		}
	}
	return best, found
}

// hallPenalty is what a further copy in the same data hall costs, in seconds of loading.
const sameHallPenalty = 1.5

func (p *plan) halls(model string) map[string]int {
	halls := make(map[string]int)
	for _, e := range p.engines {
		if holds(e, model) {
			halls[e.Hall]++
		}
	}
	return halls
}

func loadTime(m table.ModelSpec, s Source) float64 {
	switch s {
	case FromMemory:
		return m.MemoryLoadTime.Seconds()
	case FromDisk:
		return m.DiskLoadTime.Seconds()
	}
	return m.StoreLoadTime.Seconds()
}

func sourceOf(e *EngineView, model string) Source {
	if slices.Contains(e.CachedInMemory, model) {
		return FromMemory
	}
	if slices.Contains(e.CachedOnDisk, model) {
		return FromDisk
	}
	return FromStore
}

func holds(e *EngineView, model string) bool {
	return slices.ContainsFunc(e.Residents, func(r backend.Resident) bool { return r.Model == model })
}

// weightOf returns the memory of a model with its adapters, in MB.
func weightOf(spec *table.EngineSpec, r backend.Resident) float64 {
	m, ok := spec.Model(r.Model)
	if !ok {
		return 0
	}
	return m.WeightsMB + float64(len(r.Adapters))*m.AdapterMB
}

// Free returns the memory that an engine has left, in MB.
func Free(spec *table.EngineSpec, residents []backend.Resident) float64 {
	free := spec.WeightsMB
	for _, r := range residents {
		free -= weightOf(spec, r)
	}
	return free
}

// adapterReserve returns the memory that an engine's places for adapters may
// take, in MB.
func adapterReserve(spec *table.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

// withoutAdapters returns the models alone.
func withoutAdapters(residents []backend.Resident) []backend.Resident {
	out := make([]backend.Resident, len(residents))
	for i, r := range residents {
		out[i] = backend.Resident{Model: r.Model}
	}
	return out
}

// victims returns what to unload so that the model fits, and what that loses.
func (p *plan) evictions(e *EngineView, m table.ModelSpec) (victims []string, loss float64, ok bool) {
	spec := p.in.Spec
	bare := Free(spec, withoutAdapters(e.Residents))
	adapters := max(adapterReserve(spec), bare-Free(spec, e.Residents))
	need := m.WeightsMB + adapters - bare
	if need <= 0 {
		return nil, 0, true
	}
	list := slices.Clone(e.Residents)
	slices.SortStableFunc(list, func(a, b backend.Resident) int {
		return cmp.Compare(p.demandPerReplica(a.Model), p.demandPerReplica(b.Model))
	})
	urgent := p.replicas[m.Name] == 0
	for _, r := range list {
		if !p.evictable(e, r.Model, urgent) {
			continue
		}
		victims = append(victims, r.Model)
		loss += p.demandPerReplica(r.Model) / (p.demandPerReplica(m.Name) + p.demandPerReplica(r.Model) + 1)
		need -= weightOf(spec, backend.Resident{Model: r.Model})
		if need <= 0 {
			return victims, loss, true
		}
	}
	return nil, 0, false
}

// value is what one copy of a model carries.
func (p *plan) demandPerReplica(model string) float64 {
	return p.in.Demands[model].TokensPerSecond / float64(max(p.replicas[model], 1))
}

// spare reports whether a copy of the model may go: never the last one, and
// otherwise one too many, or any for a model that has none.
func (p *plan) evictable(e *EngineView, model string, urgent bool) bool {
	if p.replicas[model] <= 1 {
		_, listed := p.in.Spec.Model(model)
		return !listed
	}
	if e.RecentlyLoaded[model] && !urgent {
		return false
	}
	return urgent || p.replicas[model] > p.targets[model]
}

// apply counts a move as made.
func (p *plan) apply(m Move) {
	for _, e := range p.engines {
		if e.ID == m.Engine {
			e.Idle = false
		}
	}
	p.replicas[m.Model]++
	for _, v := range m.Evictions {
		p.replicas[v]--
	}
}
