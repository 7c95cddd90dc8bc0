package residency

import (
	"cmp"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/table"
)

// An EngineView is one engine as a plan sees it.
type EngineView struct {
	ID   string
	Hall string
	// Residents are the models that are ready or being loaded.
	Residents []backend.Resident
	// Idle says that no order is under way.
	Idle bool
	// Leaving says that the engine is about to go; its replicas do not count.
	Leaving bool
	// InNeed says that the engine takes few requests for now: no adapter is loaded there.
	InNeed bool
	// CachedInMemory and CachedOnDisk name the models whose weights the engine's machine
	// has cached.
	CachedInMemory, CachedOnDisk []string
	// RecentlyLoaded names the models that were loaded too recently to be evicted.
	RecentlyLoaded map[string]bool
}

// A Demand measures what is asked of one model.
type Demand struct {
	// TokensPerSecond is the work asked for, in prompt tokens.
	TokensPerSecond float64
	// Waiting is the number of requests that wait for it.
	Waiting int
	// Asked says that there was a request for it, Objective is the shortest objective for
	// the first byte among its requests; 0 if one of them had none.
	Asked     bool
	Objective time.Duration
}

// An Input is the input of Plan.
type Input struct {
	Spec    *table.EngineSpec
	Engines []EngineView
	// Demands holds the demand of each model, by name.
	Demands map[string]Demand
	// Succession is what is known of the order in which models' demand rises.
	Succession *Succession
	// StoreLoadsAllowed is the number of loads that the weight store allows now.
	StoreLoadsAllowed int
}

// A Source says where weights are loaded from.
type Source int

// The sources of weights.
const (
	FromStore Source = iota
	FromDisk
	FromMemory
)

// String returns the source's name for logs.
func (s Source) String() string {
	switch s {
	case FromDisk:
		return "disk"
	case FromMemory:
		return "memory"
	}
	return "store"
}

// A Move brings one model to one engine.
type Move struct {
	Engine string
	Model  string
	// Evictions are the models to unload first.
	Evictions []string
	Source    Source
}

// plan is the working state of one call of Plan.
type plan struct {
	in Input
	// residences holds when each model needs a replica.
	residences map[string]residence
	replicas   map[string]int
	targets    map[string]int
	// engines are those that stay.
	engines []*EngineView
}

// Plan returns the moves to start now, the most urgent first, at most one an engine.
func Plan(in Input) []Move {
	p := &plan{in: in, replicas: make(map[string]int)}
	p.in.Demands = Forecast(in.Spec, in.Demands, in.Engines, in.Succession)
	p.residences = residences(in.Spec, p.in.Demands, in.Succession.Confidence())
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
	p.targets = replicaTargets(in.Spec, p.in.Demands, p.residences, len(p.engines))
	return p.moves()
}

// moves looks for a move for each model that has too few replicas.
func (p *plan) moves() []Move {
	var moves []Move
	storeLoads := p.in.StoreLoadsAllowed
	for _, m := range p.underReplicated() {
		move, ok := p.cheapestMove(m, storeLoads > 0)
		if !ok {
			continue
		}
		moves = append(moves, move)
		if move.Source == FromStore {
			storeLoads--
		}
		p.apply(move)
	}
	return moves
}

// underReplicated returns the models with fewer replicas than their target, the most
// urgent first.
func (p *plan) underReplicated() []table.ModelSpec {
	var list []table.ModelSpec
	for _, m := range p.in.Spec.Models {
		if p.replicas[m.Name] < p.targets[m.Name] {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b table.ModelSpec) int { return p.compareUrgency(a.Name, b.Name) })
	return list
}

// compareUrgency orders models by how urgent a further replica is. One without a replica
// goes first, since its requests cannot be served at all: among these the one with the
// most demand, where a waiting request counts as a token a second, so that a model which
// has just been asked for goes before one that nobody asks for. Then the others, by the
// demand on each replica.
func (p *plan) compareUrgency(a, b string) int {
	missingA, missingB := p.replicas[a] == 0, p.replicas[b] == 0
	switch {
	case missingA && missingB:
		return cmp.Compare(p.missingUrgency(b), p.missingUrgency(a))
	case missingA:
		return -1
	case missingB:
		return 1
	}
	return cmp.Compare(p.replicaUrgency(b), p.replicaUrgency(a))
}

func (p *plan) missingUrgency(model string) float64 {
	d := p.in.Demands[model]
	return d.TokensPerSecond + float64(d.Waiting)
}

func (p *plan) replicaUrgency(model string) float64 {
	return p.in.Demands[model].TokensPerSecond / (float64(p.replicas[model]) + replicaOffset)
}

// Penalties of a move, in seconds of loading.
const (
	// sameHallPenalty is the cost of each replica in the same data hall, so that a hall's
	// loss does not take all replicas of a model.
	sameHallPenalty = 1.5
	// evictionPenalty is the cost of evicting a replica that serves all of the demand
	// that it and the new one serve together.
	evictionPenalty = 1.0
)

// cheapestMove returns the cheapest move that brings a model to an engine, by the time of
// the load, the demand on what is evicted and the replicas in the engine's data hall.
func (p *plan) cheapestMove(m table.ModelSpec, storeAllowed bool) (Move, bool) {
	var best Move
	found := false
	bestCost := 0.0
	inHall := p.replicasByHall(m.Name)
	for _, e := range p.engines {
		if !e.Idle || holds(e, m.Name) {
			continue
		}
		source := SourceOf(e.CachedInMemory, e.CachedOnDisk, m.Name)
		if source == FromStore && !storeAllowed {
			continue
		}
		evictions, ok := p.evictions(e, m)
		if !ok {
			continue
		}
		cost := LoadTime(m, source).Seconds() + p.evictionCost(m, evictions) + sameHallPenalty*float64(inHall[e.Hall])
		if !found || cost < bestCost {
			best, bestCost, found = Move{Engine: e.ID, Model: m.Name, Evictions: evictions, Source: source}, cost, true
		}
	}
	return best, found
}

// replicasByHall counts a model's replicas by data hall.
func (p *plan) replicasByHall(model string) map[string]int {
	halls := make(map[string]int)
	for _, e := range p.engines {
		if holds(e, model) {
			halls[e.Hall]++
		}
	}
	return halls
}

// LoadTime returns how long a model takes to load.
func LoadTime(m table.ModelSpec, s Source) time.Duration {
	switch s {
	case FromMemory:
		return m.MemoryLoadTime
	case FromDisk:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}

// SourceOf returns where a machine that has cached the weights of some models in memory and on
// disk would load a model from.
func SourceOf(inMemory, onDisk []string, model string) Source {
	if slices.Contains(inMemory, model) {
		return FromMemory
	}
	if slices.Contains(onDisk, model) {
		return FromDisk
	}
	return FromStore
}

func holds(e *EngineView, model string) bool {
	return slices.ContainsFunc(e.Residents, func(r backend.Resident) bool { return r.Model == model })
}

// apply counts a move as made.
func (p *plan) apply(m Move) {
	for _, e := range p.engines {
		if e.ID == m.Engine {
			e.Idle = false
		}
	}
	p.replicas[m.Model]++
	for _, evicted := range m.Evictions {
		p.replicas[evicted]--
	}
}
