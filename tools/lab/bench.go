package main

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"rockcleat/internal/config"
	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/placement"
	"rockcleat/table"
)

// A benchmark runs the two users' sizes under seeded loads, for the policy in
// force and for baselines.
type benchmark struct {
	seeds    int
	seconds  int
	scale    float64
	users    string
	loads    string
	policies string
	out      string
}

func benchCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bench", flag.ExitOnError)
	var b benchmark
	fs.IntVar(&b.seeds, "seeds", 3, "number of seeds")
	fs.IntVar(&b.seconds, "seconds", 24, "length of one run in seconds of this machine")
	fs.Float64Var(&b.scale, "scale", 4, "how many times faster than real the engines, loads and targets are")
	fs.StringVar(&b.users, "users", "guild", "users, separated by commas: guild, tengeri")
	fs.StringVar(&b.loads, "loads", "steady,puzzle,news,hall", "loads, separated by commas")
	fs.StringVar(&b.policies, "policies", "demand,static,lru,first-come", "policies, separated by commas")
	fs.StringVar(&b.out, "out", "bench.csv", "file for the results; a plot goes beside it")
	return &ffcli.Command{
		Name: "bench", ShortUsage: "lab bench [flags]", ShortHelp: "Measure attainment and moves.", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error { return b.run(ctx) },
	}
}

// A user is one of the two users' sizes, as the brief gives them.
type user struct {
	name                      string
	workers, models, adapters int
	loads                     float64
	fullSpeed                 int
}

// users are the users' sizes of today.
var users = map[string]user{
	"guild":   {name: "guild", workers: 12, models: 15, adapters: 75, loads: 1.5, fullSpeed: 10},
	"tengeri": {name: "tengeri", workers: 18, models: 20, adapters: 110, loads: 2, fullSpeed: 20},
}

// Sizes of the engines and models of the benchmark: an accelerator holds three
// models with their adapters, so all models fit with about twice the room over.
const (
	benchMemory  = 80000
	benchModel   = 20000
	benchCache   = 4000
	benchAdapter = 200
	benchSlots   = 8
	benchStep    = 39 * time.Millisecond
	benchPrefill = 8000
	benchTokens  = 40
	benchPrompt  = 800
	benchSpeed   = 10000.0
	zipfExponent = 0.9
)

// Targets of the first token, real time.
var benchTargets = map[table.Tier]time.Duration{
	table.TierPremium: 340 * time.Millisecond, table.TierStandard: time.Second, table.TierEconomy: 5 * time.Second,
}

// A runResult is what one run measured.
type runResult struct {
	user, load, policy string
	seed               int
	sent               int
	met                map[table.Tier][2]int // met and sent
	refused            int
	lost               int
	first              []time.Duration
	loads, unloads     int
	useless            int
	accelerators       int
}

func (r runResult) attainment() float64 {
	met := 0
	for _, m := range r.met {
		met += m[0]
	}
	return float64(met) / float64(max(r.sent, 1))
}

func (r runResult) tier(t table.Tier) float64 {
	return float64(r.met[t][0]) / float64(max(r.met[t][1], 1))
}

func (r runResult) quantile(q float64) time.Duration {
	if len(r.first) == 0 {
		return 0
	}
	return r.first[min(int(q*float64(len(r.first))), len(r.first)-1)]
}

func (b *benchmark) run(ctx context.Context) error {
	dir, err := lab.TempDir()
	if err != nil {
		return err
	}
	bin := filepath.Join(dir, "bin")
	if err := lab.Build(ctx, ".", bin); err != nil {
		return err
	}
	var all []runResult
	fmt.Printf("time is scaled by %.3g; targets to the first token 0.34 s, 1 s, 5 s of real time\n", b.scale)
	for _, u := range strings.Split(b.users, ",") {
		for _, load := range strings.Split(b.loads, ",") {
			for _, policy := range strings.Split(b.policies, ",") {
				for seed := range b.seeds {
					r, err := b.runOnce(ctx, bin, filepath.Join(dir, fmt.Sprint(u, load, policy, seed)), users[u], load, policy, seed+1)
					if err != nil {
						return eris.Wrapf(err, "bench: %s %s %s seed %d", u, load, policy, seed+1)
					}
					all = append(all, r)
				}
				printResult(all[len(all)-b.seeds:])
			}
		}
	}
	if err := writeResults(b.out, all); err != nil {
		return err
	}
	return writePlot(strings.TrimSuffix(b.out, ".csv")+".svg", all)
}

// benchRows returns a user's table: tiers in turn, so each has a third.
func benchRows(u user) ([]table.Row, map[string]placement.Size) {
	var rows []table.Row
	sizes := make(map[string]placement.Size)
	for i := range u.models {
		r := table.NewRow(fmt.Sprintf("model-%02d", i))
		r.Tier, r.Customer = table.Tiers[i%3], fmt.Sprintf("customer-%d", i%5)
		r.QueueTime = 2 * benchTargets[r.Tier]
		rows = append(rows, r)
		sizes[r.Name] = placement.Size{WeightMiB: benchModel, CacheMiB: benchCache}
	}
	for i := range u.adapters {
		base := rows[i%u.models]
		r := base
		r.Name, r.Kind, r.Base = fmt.Sprintf("%s/a%d", base.Name, i/u.models), table.KindAdapter, base.Name
		rows = append(rows, r)
		sizes[r.Name] = placement.Size{WeightMiB: benchAdapter}
	}
	return rows, sizes
}

func (b *benchmark) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) / b.scale) }

func (b *benchmark) options(bin, dir string, u user, policy string) lab.Options {
	o := lab.Small(bin, dir)
	o.Entries, o.Engines, o.Services = 2, u.workers, 0
	o.Engine = lab.EngineSpec{
		Accelerators: 1, MemoryMiB: benchMemory, Slots: benchSlots, Step: b.scaled(benchStep), Prefill: benchPrefill * b.scale,
	}
	o.Rows, o.Sizes = benchRows(u)
	for i := range o.Rows {
		o.Rows[i].QueueTime = b.scaled(o.Rows[i].QueueTime)
		if policy == "first-come" {
			o.Rows[i].Tier, o.Rows[i].QueueTime = table.TierEconomy, b.scaled(2*benchTargets[table.TierEconomy])
		}
	}
	o.Loads, o.FullSpeed, o.LoadSpeed = u.loads*b.scale, u.fullSpeed, benchSpeed*b.scale
	o.Entry = func(e *config.Entry) {
		e.Planner.ExchangeEvery = config.Duration(b.scaled(2 * time.Second))
		e.Planner.Hold = config.Duration(b.scaled(30 * time.Second))
		e.Planner.MaxLoads, e.Planner.LoadsPerSecond = u.fullSpeed, u.loads*b.scale
		e.Log.Level = "info"
		switch policy {
		case "static":
			e.Planner.Policy, e.Policy = "static", "round-robin"
		case "lru":
			e.Planner.Policy, e.Policy = "lru", "least-outstanding"
		}
	}
	o.Agent = func(a *config.Agent) {
		a.Log.Level = "info"
		a.FirstCome = policy == "static" || policy == "first-come"
	}
	return o
}

func (b *benchmark) runOnce(ctx context.Context, bin, dir string, u user, load, policy string, seed int) (runResult, error) {
	r := runResult{user: u.name, load: load, policy: policy, seed: seed, met: make(map[table.Tier][2]int), accelerators: u.workers}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return r, eris.Wrap(err, "bench: make folder")
	}
	sys, err := lab.Start(ctx, b.options(bin, dir, u, policy))
	if err != nil {
		return r, err
	}
	defer sys.Stop()
	before := b.moves(ctx, sys)
	b.drive(ctx, sys, u, load, seed, &r)
	after := b.moves(ctx, sys)
	r.loads, r.unloads = after.Loads-before.Loads, after.Unloads-before.Unloads
	r.useless = b.useless(ctx, sys)
	slices.Sort(r.first)
	return r, nil
}

func (b *benchmark) moves(ctx context.Context, sys *lab.System) standin.EngineStats {
	var sum standin.EngineStats
	for _, x := range sys.Backends {
		var s standin.EngineStats
		if lab.Fetch(ctx, x.URL+"/stats", &s) == nil {
			sum.Loads += s.Loads
			sum.Unloads += s.Unloads
		}
	}
	return sum
}

// uselessWithin is how soon after an unload, in real time, a load of the same
// name makes the pair useless.
const uselessWithin = 2 * time.Minute

// useless counts, from the planners' decisions, the loads of a name that follow
// its unload within uselessWithin.
func (b *benchmark) useless(ctx context.Context, sys *lab.System) int {
	n := 0
	for _, e := range sys.Entries {
		var d wire.DecisionsAnswer
		if lab.Client().Call(ctx, "GET", e.Control, wire.PathDecisions, nil, &d) != nil {
			continue
		}
		last := make(map[string]int64)
		for _, x := range d.Decisions {
			switch x.Kind {
			case "unload":
				last[x.Name] = x.Time
			case "load":
				if at, ok := last[x.Name]; ok && x.Time-at < b.scaled(uselessWithin).Milliseconds() {
					n++
				}
			}
		}
	}
	return n
}

// capacity returns the requests a second, of this machine's time, that the
// accelerators carry when every slot is busy.
func (b *benchmark) capacity(u user) float64 {
	perRequest := benchTokens*benchStep.Seconds()*1.5 + float64(benchPrompt)/4/benchPrefill
	return float64(u.workers*benchSlots) / perRequest * b.scale
}

// A loadShape says how much of the capacity is asked for and of which model, at
// a part of the run's length.
type loadShape func(part float64, model int) float64

// shapes are the loads. The burst is on in the middle third of a run.
var shapes = map[string]struct {
	total float64
	shape loadShape
}{
	"steady": {0.5, func(float64, int) float64 { return 1 }},
	// A puzzle goes live: one quiet model's demand is tenfold.
	"puzzle": {0.45, func(part float64, model int) float64 {
		if model == 6 && inBurst(part) {
			return 10
		}
		return 1
	}},
	// Council news breaks: three models' demand is fourfold.
	"news": {0.45, func(part float64, model int) float64 {
		if model >= 4 && model <= 6 && inBurst(part) {
			return 4
		}
		return 1
	}},
	"hall": {0.5, func(float64, int) float64 { return 1 }},
	// Demand is 1.5 times what the accelerators carry.
	"overload": {1.5, func(float64, int) float64 { return 1 }},
}

func inBurst(part float64) bool { return part > 1.0/3 && part < 2.0/3 }

// drive sends seeded arrivals for the run's length and fills the result in.
func (b *benchmark) drive(ctx context.Context, sys *lab.System, u user, load string, seed int, r *runResult) {
	rng := rand.New(rand.NewPCG(uint64(seed), 7))
	rows, _ := benchRows(u)
	s := shapes[load]
	weights := make([]float64, u.models)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -zipfExponent)
		sum += weights[i]
	}
	rate := b.capacity(u) * s.total
	caller := lab.NewCaller()
	var wg sync.WaitGroup
	var mu sync.Mutex
	length := time.Duration(b.seconds) * time.Second
	began := time.Now()
	lost := false
	for i := 0; time.Since(began) < length && ctx.Err() == nil; i++ {
		part := float64(time.Since(began)) / float64(length)
		if load == "hall" && part > 1.0/3 && !lost {
			lost = true
			loseHall(sys)
		}
		model, now := pickModel(rng, weights, s.shape, part)
		row := rows[model]
		if adapters := u.adapters / u.models; rng.IntN(2) == 0 && adapters > 0 {
			row = rows[u.models+model+u.models*rng.IntN(adapters)]
		}
		wait(ctx, time.Duration(rng.ExpFloat64()/(rate*now/sum)*float64(time.Second)))
		wg.Add(1)
		addr := sys.Entries[i%len(sys.Entries)].Addr
		prompt := uuid.NewString() + strings.Repeat("x", benchPrompt)
		go func() {
			defer wg.Done()
			a := caller.Send(ctx, lab.Request{Addr: addr, Body: lab.ChatBody(row.Name, prompt, benchTokens, true)})
			mu.Lock()
			defer mu.Unlock()
			r.take(row.Tier, a, b.scaled(benchTargets[row.Tier]))
		}()
	}
	wg.Wait()
}

// pickModel draws a model and returns the sum of the weights now.
func pickModel(rng *rand.Rand, weights []float64, shape loadShape, part float64) (int, float64) {
	sum := 0.0
	for i, w := range weights {
		sum += w * shape(part, i)
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w * shape(part, i); x < 0 {
			return i, sum
		}
	}
	return len(weights) - 1, sum
}

// loseHall kills every backend server of one data hall, with its agent.
func loseHall(sys *lab.System) {
	for _, x := range sys.Backends {
		if x.Agent.Hall == sys.Entries[1].Hall {
			x.Server.Kill()
			x.Agent.Kill()
		}
	}
}

func (r *runResult) take(t table.Tier, a lab.Answer, target time.Duration) {
	r.sent++
	m := r.met[t]
	m[1]++
	switch {
	case a.Outcome == wire.OutcomeAnswered && a.Whole:
		r.first = append(r.first, a.FirstToken)
		if a.FirstToken <= target {
			m[0]++
		}
	case a.Outcome == wire.OutcomeNotRun:
		r.refused++
	default:
		r.lost++
	}
	r.met[t] = m
}

// printResult prints the mean and the spread of one cell of the benchmark.
func printResult(rs []runResult) {
	mean := func(f func(runResult) float64) (m, low, high float64) {
		low, high = math.Inf(1), math.Inf(-1)
		for _, r := range rs {
			v := f(r)
			m += v / float64(len(rs))
			low, high = min(low, v), max(high, v)
		}
		return m, low, high
	}
	ms := func(q float64) float64 {
		v, _, _ := mean(func(r runResult) float64 { return float64(r.quantile(q).Milliseconds()) })
		return v
	}
	att, low, high := mean(runResult.attainment)
	per, _, _ := mean(func(r runResult) float64 { return r.attainment() / float64(r.accelerators) })
	loads, _, _ := mean(func(r runResult) float64 { return float64(r.loads) })
	unloads, _, _ := mean(func(r runResult) float64 { return float64(r.unloads) })
	useless, _, _ := mean(func(r runResult) float64 { return float64(r.useless) })
	refused, _, _ := mean(func(r runResult) float64 { return float64(r.refused) / float64(r.sent) })
	lost, _, _ := mean(func(r runResult) float64 { return float64(r.lost) })
	fmt.Printf("%-8s %-8s %-11s attainment %.3f (%.3f to %.3f), per accelerator %.4f, tiers", rs[0].user, rs[0].load, rs[0].policy, att, low, high, per)
	for _, t := range table.Tiers {
		v, _, _ := mean(func(r runResult) float64 { return r.tier(t) })
		fmt.Printf(" %.3f", v)
	}
	fmt.Printf(", loads %.1f, unloads %.1f, useless %.1f, refused %.3f, lost %.1f, first token p50/p95/p99 %.0f/%.0f/%.0f ms\n",
		loads, unloads, useless, refused, lost, ms(0.5), ms(0.95), ms(0.99))
}

func writeResults(file string, all []runResult) error {
	f, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "bench: write results")
	}
	defer f.Close()
	w := csv.NewWriter(f)
	_ = w.Write(strings.Split("user,load,policy,seed,sent,attainment,premium,standard,economy,refused,lost,loads,unloads,useless,p50_ms,p95_ms,p99_ms", ","))
	for _, r := range all {
		float := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
		ms := func(q float64) string { return strconv.FormatInt(r.quantile(q).Milliseconds(), 10) }
		_ = w.Write([]string{
			r.user, r.load, r.policy, strconv.Itoa(r.seed), strconv.Itoa(r.sent), float(r.attainment()),
			float(r.tier(table.TierPremium)), float(r.tier(table.TierStandard)), float(r.tier(table.TierEconomy)),
			strconv.Itoa(r.refused), strconv.Itoa(r.lost), strconv.Itoa(r.loads), strconv.Itoa(r.unloads),
			strconv.Itoa(r.useless), ms(0.5), ms(0.95), ms(0.99),
		})
	}
	w.Flush()
	return eris.Wrap(w.Error(), "bench: write results")
}
