package residency

import (
	"cmp"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/table"
)

// An EngineView is the state of one engine that a plan is based on.
type EngineView struct {
	ID   string
	Hall string
	// Version is the version of the engine's software.
	Version string
	// Residents are the models that are ready or being loaded.
	Residents []backend.Resident
	// Loading is the model among Residents that is not ready yet; empty if all are.
	Loading string
	// Idle is true if no order is in progress.
	Idle bool
	// Leaving is true if the engine is about to shut down. Its replicas do not count.
	Leaving bool
	// UnloadingAdapters holds those adapters among Residents whose unload waits until the requests that use them have ended.
	// The value is false once that has taken so long that no load should wait for it.
	UnloadingAdapters map[backend.Adapter]bool
	// AwaitedAdapters are the adapters that are loaded as soon as the engine has room.
	AwaitedAdapters []backend.Adapter
	// Throttled is true while the engine accepts few requests. No adapter is loaded on it.
	Throttled bool
	// CachedInMemory and CachedOnDisk are the names of the models whose weights the engine's machine
	// has cached.
	CachedInMemory, CachedOnDisk []string
	// RecentlyLoaded holds the names of the models that were loaded too recently to be evicted.
	RecentlyLoaded map[string]bool
	// TimeFactor is the time that the engine takes relative to the median engine; 0 means 1.
	TimeFactor float64
}

// A Demand is the demand for one model.
type Demand struct {
	// TokensPerSecond is the rate of requested prompt tokens.
	TokensPerSecond float64
	// Waiting is the number of requests that wait for the model.
	Waiting int
	// Requested is true if the model has been requested. Objective is the shortest objective for the time to
	// the first byte among its requests; 0 if one of them has none.
	Requested bool
	Objective time.Duration
	// StreamVersions holds the software versions that streams of the model need: those that they run at or wait for.
	StreamVersions map[string]bool
}

// An Input is the input of Plan.
type Input struct {
	Spec    *table.EngineSpec
	Engines []EngineView
	// Demands holds the demand of each model, by name.
	Demands map[string]Demand
	// Sequence estimates how consistently demand moves along the operators' list; nil if nothing was observed.
	Sequence *SequenceEstimator
	// Lost holds, by model, the demand that each replica served of those that were lost and have not been replaced, in
	// tokens per second. Such replicas are planned before further ones for growing demand.
	Lost map[string]float64
	// MissingAdapters are the adapters that requests wait for and that no engine holds.
	MissingAdapters []backend.Adapter
	// StoreLoadsAllowed is the number of loads that the weight store accepts now.
	StoreLoadsAllowed int
}

// A Source is the place that weights are loaded from.
type Source int

// The sources of weights.
const (
	FromStore Source = iota
	FromDisk
	FromMemory
)

// String returns the name used in logs.
func (s Source) String() string {
	switch s {
	case FromDisk:
		return "disk"
	case FromMemory:
		return "memory"
	}
	return "store"
}

// A Move is the load of one model on one engine, or the eviction of models to make room for adapters.
type Move struct {
	Engine string
	// Model is the model to load. It is empty if the evictions make room for adapters of AdaptersOf, which the engine holds.
	Model, AdaptersOf string
	// Evictions are the models to unload first.
	Evictions []string
	// Interrupted lists those of Evictions that streams need at the engine's software version.
	Interrupted []string
	Source      Source
}

// plan is the working state of one call of Plan.
type plan struct {
	in       Input
	policies map[string]loadPolicy
	// replicas and targets hold the present and the planned number of replicas, by model.
	replicas map[string]int
	targets  map[string]int
	// replicasAt holds the number of replicas by model and software version, without those being loaded.
	replicasAt map[versionedModel]int
	// capacity holds the present replicas by model, each counted as engineCapacity.
	capacity map[string]float64
	// engines are the engines that are not leaving.
	engines []*EngineView
}

// Plan returns the moves to start now, the most urgent first, at most one for each engine. It sets Idle to false in
// in.Engines for the engines that get a move.
func Plan(in Input) []Move {
	p := &plan{in: in, replicas: make(map[string]int), replicasAt: make(map[versionedModel]int), capacity: make(map[string]float64)}
	p.in.Demands = Forecast(in.Spec, in.Demands, in.Engines, in.Sequence)
	p.policies = loadPolicies(in.Spec, p.in.Demands, in.Sequence.Confidence())
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving {
			continue
		}
		p.engines = append(p.engines, e)
		for _, r := range e.Residents {
			p.replicas[r.Model]++
			if r.Model != e.Loading {
				p.replicasAt[versionedModel{r.Model, e.Version}]++
			}
			p.capacity[r.Model] += engineCapacity(e)
		}
	}
	p.targets = replicaTargets(in.Spec, p.in.Demands, p.policies, len(p.engines))
	return append(p.moves(), p.adapterRoomMoves()...)
}

// moves returns a move for each model with fewer replicas than its target, where one is possible.
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
		if p.capacity[m.Name] < p.minCapacity(m.Name) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b table.ModelSpec) int { return p.compareUrgency(a.Name, b.Name) })
	return list
}

// compareUrgency orders models by the urgency of a further replica, the most urgent first.
func (p *plan) compareUrgency(a, b string) int {
	classA, urgencyA := p.urgency(a)
	classB, urgencyB := p.urgency(b)
	return cmp.Or(cmp.Compare(classA, classB), cmp.Compare(urgencyB, urgencyA))
}

// Classes of models by the urgency of a further replica, the most urgent first.
const (
	// lostOrMissing are the models whose replicas in use were lost, and the requested ones without a replica, since their
	// requests cannot be served at all.
	lostOrMissing = iota
	unrequested
	growing
)

// urgency returns the class of a model and its urgency within the class.
func (p *plan) urgency(model string) (class int, urgency float64) {
	lost := p.in.Lost[model]
	if p.replicas[model] == 0 {
		urgency = max(p.missingUrgency(model), lost)
		if urgency > 0 {
			return lostOrMissing, urgency
		}
		return unrequested, 0
	}
	if lost > 0 {
		return lostOrMissing, lost
	}
	return growing, p.replicaUrgency(model)
}

// missingUrgency returns the urgency of the first replica of a model. A waiting request counts as one token
// per second, so that a model with its first request comes before a model without any.
func (p *plan) missingUrgency(model string) float64 {
	d := p.in.Demands[model]
	return d.TokensPerSecond + float64(d.Waiting)
}

func (p *plan) replicaUrgency(model string) float64 {
	return p.in.Demands[model].TokensPerSecond / (p.capacity[model] + replicaOffset)
}

// Penalties of a move, in seconds of loading.
const (
	// sameHallPenalty is the cost of each replica in the same data hall. It spreads the replicas of a model
	// over data halls, so that the loss of one does not take all of them.
	sameHallPenalty = 1.5
	// evictionPenalty is the cost of evicting a replica that serves all of the demand that it and the new
	// replica serve together.
	evictionPenalty = 1.0
)

// cheapestMove returns the cheapest move that loads a model. The cost is the sum of the load time, the eviction
// cost, the penalty for replicas in the engine's data hall, the cost of a slow engine and that of interrupted streams, less
// streamGain.
func (p *plan) cheapestMove(m table.ModelSpec, storeAllowed bool) (Move, bool) {
	var best Move
	found := false
	bestCost := 0.0
	inHall := p.replicasByHall(m.Name)
	slownessCost := p.slownessCost(m.Name)
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
		interrupted := p.neededByStreams(e, evictions)
		cost := LoadTime(m, source).Seconds() + p.evictionCost(m, evictions) + streamEvictionCost*float64(len(interrupted)) +
			sameHallPenalty*float64(inHall[e.Hall]) + slownessCost*(e.timeFactor()-1) - p.streamGain(e, m.Name)
		if !found || cost < bestCost {
			best, bestCost, found = Move{Engine: e.ID, Model: m.Name, Evictions: evictions, Interrupted: interrupted, Source: source}, cost, true
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

// LoadTime returns the time that a model takes to load from a source.
func LoadTime(m table.ModelSpec, s Source) time.Duration {
	switch s {
	case FromMemory:
		return m.MemoryLoadTime
	case FromDisk:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}

// SourceOf returns the source from which a machine loads a model, given the models whose weights it has cached
// in memory and on disk.
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

// apply updates the working state as if the move had been completed. Its engine is no longer idle.
func (p *plan) apply(m Move) {
	capacity, version := 1.0, ""
	for _, e := range p.engines {
		if e.ID == m.Engine {
			e.Idle = false
			capacity, version = engineCapacity(e), e.Version
		}
	}
	if m.Model != "" {
		p.replicas[m.Model]++
		p.capacity[m.Model] += capacity
	}
	for _, evicted := range m.Evictions {
		p.replicas[evicted]--
		p.replicasAt[versionedModel{evicted, version}]--
		p.capacity[evicted] -= capacity
	}
}
