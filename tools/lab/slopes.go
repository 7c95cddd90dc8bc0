package main

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"rockcleat/internal/config"
	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/placement"
	"rockcleat/table"
)

// Times of one measurement.
const (
	settleTime  = 8 * time.Second
	windowTime  = 12 * time.Second
	clockTicks  = 100.0 // jiffies a second, as Linux reports them
	startLimit  = time.Minute
	requestRate = 50 // requests a second where requests are the variable
)

// Intervals at the letter's size, longer than the defaults, which suit today's.
const (
	sizeExchange = 10 * time.Second
	sizeSync     = 1500 * time.Millisecond
)

// A setup is one system whose control is measured.
type setup struct {
	name                    string
	entries, agents, models int
	cell                    int
	editEvery               time.Duration
	requests                bool
}

// cost is what a process spends, a second.
type cost struct {
	cpu    float64 // part of a core, in percent
	memory float64 // resident memory at the end, in MB
	bytes  float64 // control traffic in bytes/s
}

// sample is one measurement of a setup.
type sample struct {
	setup
	planner, entry, agent cost
	reads, writes         float64
	spread                time.Duration
}

// Base and stretched sizes of each variable.
const (
	baseEntries, moreEntries = 4, 16
	baseAgents, moreAgents   = 6, 24
	baseModels, moreModels   = 20, 120
	wholeCell                = 24
	smallCell                = 6
)

func setups() []setup {
	base := setup{name: "base", entries: baseEntries, agents: baseAgents, models: baseModels, cell: wholeCell}
	with := func(name string, change func(*setup)) setup {
		s := base
		s.name = name
		change(&s)
		return s
	}
	return []setup{
		base,
		with("entries", func(s *setup) { s.entries = moreEntries }),
		with("agents in the cell", func(s *setup) { s.agents = moreAgents }),
		with("agents in cells", func(s *setup) { s.agents, s.cell = moreAgents, smallCell }),
		with("models", func(s *setup) { s.models = moreModels }),
		with("edits", func(s *setup) { s.editEvery = time.Second }),
		with("requests", func(s *setup) { s.requests = true }),
	}
}

func slopes(ctx context.Context, bin, dir string) error {
	samples := make(map[string]sample)
	fmt.Println("setup                role     cpu %    memory MB  control B/s   KV reads/s  KV writes/s")
	for _, s := range setups() {
		d := filepath.Join(dir, strings.ReplaceAll(s.name, " ", "-"))
		if err := os.MkdirAll(d, 0o700); err != nil {
			return eris.Wrap(err, "slopes: make folder")
		}
		m, err := measure(ctx, bin, d, s)
		if err != nil {
			return eris.Wrapf(err, "slopes: %s", s.name)
		}
		samples[s.name] = m
		printSample(m)
	}
	printSlopes(samples)
	return printHop(ctx, bin, dir)
}

func printSample(m sample) {
	for _, r := range []struct {
		name string
		c    cost
	}{{"planner", m.planner}, {"entry", m.entry}, {"agent", m.agent}} {
		fmt.Printf("%-20s %-8s %-8.3f %-10.1f %-13.0f %-11.2f %.2f\n", m.name, r.name, r.c.cpu, r.c.memory, r.c.bytes, m.reads, m.writes)
	}
	if m.spread > 0 {
		fmt.Printf("%-20s an edit in force everywhere after %s at most\n", m.name, m.spread.Round(time.Millisecond))
	}
}

// options returns the lab of a setup, with the intervals of production.
func (s setup) options(bin, dir string) lab.Options {
	o := lab.Small(bin, dir)
	o.Entries, o.Engines = s.entries, s.agents
	o.Engine = lab.EngineSpec{Accelerators: 8, MemoryMiB: 80000, Slots: 8, Step: 5 * time.Millisecond, Prefill: 100000}
	o.Rows, o.Sizes = nil, make(map[string]placement.Size)
	o.Services = 0
	o.Loads, o.FullSpeed, o.LoadSpeed = 200, 100, 1e6
	for i := range s.models {
		r := table.NewRow(fmt.Sprintf("model-%03d", i))
		r.Customer = fmt.Sprintf("customer-%d", i%10)
		o.Rows = append(o.Rows, r)
		o.Sizes[r.Name] = placement.Size{WeightMiB: 8000, CacheMiB: 2000}
	}
	o.Entry = func(e *config.Entry) {
		var fresh config.Entry
		config.Defaults(&fresh)
		e.Planner, e.Claims, e.Log = fresh.Planner, fresh.Claims, fresh.Log
		e.Planner.CellSize = s.cell
		e.Planner.ExchangeEvery, e.SyncEvery = config.Duration(sizeExchange), config.Duration(sizeSync)
		e.Planner.MaxLoads, e.Planner.LoadsPerSecond = 100, 200
	}
	o.Agent = func(a *config.Agent) { a.Log.Level = "info" }
	return o
}

func measure(ctx context.Context, bin, dir string, s setup) (sample, error) {
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	sys, err := lab.Start(startCtx, s.options(bin, dir))
	if err != nil {
		return sample{}, err
	}
	defer sys.Stop()
	m := sample{setup: s}
	ed, err := newEditor(ctx, sys)
	if err != nil {
		return m, err
	}
	wait(ctx, settleTime)
	stop := s.work(ctx, sys, ed)
	before, err := takeReadings(ctx, sys)
	if err != nil {
		return m, err
	}
	wait(ctx, windowTime)
	after, err := takeReadings(ctx, sys)
	stop()
	if err != nil {
		return m, err
	}
	m.planner = meanCost(before, after, func(r reading) bool { return r.role == "planner" })
	m.entry = meanCost(before, after, func(r reading) bool { return r.role == "entry" })
	m.agent = meanCost(before, after, func(r reading) bool { return r.role == "agent" })
	seconds := after.at.Sub(before.at).Seconds()
	m.reads = float64(after.kv.Reads-before.kv.Reads) / seconds
	m.writes = float64(after.kv.Writes-before.kv.Writes) / seconds
	if s.editEvery > 0 {
		m.spread, err = ed.timeSpread(ctx)
	}
	return m, err
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// work makes the edits or requests that a setup measures until stop is called.
func (s setup) work(ctx context.Context, sys *lab.System, ed *editor) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	run := func(every time.Duration, f func(i int)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(every)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					f(i)
				}
			}
		}()
	}
	if s.editEvery > 0 {
		run(s.editEvery, func(i int) {
			if _, err := ed.save(ctx, i); err != nil && ctx.Err() == nil {
				fmt.Println("slopes: edit not saved:", err)
			}
		})
	}
	if s.requests {
		caller := lab.NewCaller()
		run(time.Second/requestRate, func(i int) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				body := lab.ChatBody(fmt.Sprintf("model-%03d", i%s.models), uuid.NewString(), 16, true)
				caller.Send(ctx, lab.Request{Addr: sys.Entries[i%s.entries].Addr, Body: body})
			}()
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// An editor saves edits and remembers the rows' versions, so that it reads
// nothing while the costs are measured.
type editor struct {
	sys  *lab.System
	rows []table.Row
}

func newEditor(ctx context.Context, sys *lab.System) (*editor, error) {
	var t wire.TableAnswer
	err := lab.Client().Call(ctx, http.MethodGet, sys.Entries[0].Control, wire.PathTable, nil, &t)
	return &editor{sys: sys, rows: t.Rows}, err
}

// save saves the i-th edit and returns the version that holds it.
func (e *editor) save(ctx context.Context, i int) (uint64, error) {
	r := &e.rows[i%len(e.rows)]
	r.Weight = r.Weight%1000 + 1
	next := *r
	v, err := e.sys.Save(ctx, []table.Change{{Name: r.Name, Seen: r.Version, Row: &next}})
	if err == nil {
		r.Version = v
	}
	return v, err
}

// spreadEdits is the number of edits whose spread is timed.
const spreadEdits = 10

// timeSpread returns the longest time from an edit's saving until it is in force
// on every VM.
func (e *editor) timeSpread(ctx context.Context) (time.Duration, error) {
	var worst time.Duration
	for i := range spreadEdits {
		v, err := e.save(ctx, i)
		if err != nil {
			return 0, err
		}
		began := time.Now()
		if err := e.sys.AwaitVersion(ctx, v); err != nil {
			return 0, err
		}
		worst = max(worst, time.Since(began))
	}
	return worst, nil
}

// A reading is what one process has spent so far.
type reading struct {
	role   string
	cpu    float64
	memory float64
	bytes  int64
}

// readings are those of all processes at one time.
type readings struct {
	at  time.Time
	all map[string]reading
	kv  standin.KVStats
}

func takeReadings(ctx context.Context, sys *lab.System) (readings, error) {
	r := readings{all: make(map[string]reading)}
	for _, e := range sys.Entries {
		var st wire.StatusAnswer
		err := lab.Client().Call(ctx, http.MethodGet, e.Control, wire.PathStatus+"?brief=1", nil, &st)
		if err != nil {
			return r, err
		}
		role := "entry"
		if len(st.Cells) > 0 {
			role = "planner"
		}
		if err := r.add(e.ID, role, e.PID(), st.ControlBytes); err != nil {
			return r, err
		}
	}
	for _, b := range sys.Backends {
		var v wire.VersionAnswer
		if err := lab.Client().Call(ctx, http.MethodGet, b.Agent.Control, wire.PathStatus, nil, &v); err != nil {
			return r, err
		}
		if err := r.add(b.Agent.ID, "agent", b.Agent.PID(), v.ControlBytes); err != nil {
			return r, err
		}
	}
	r.at = time.Now()
	return r, lab.Fetch(ctx, sys.KVURL+"/stats", &r.kv)
}

// add reads a process's CPU time and memory from /proc.
func (r *readings) add(id, role string, pid int, bytes int64) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return eris.Wrap(err, "slopes: read stat")
	}
	// Fields after the command's closing bracket; utime and stime are the 14th and
	// 15th of all, rss in pages the 24th.
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	utime, _ := strconv.ParseFloat(f[11], 64)
	stime, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	r.all[id] = reading{
		role: role, cpu: (utime + stime) / clockTicks,
		memory: pages * float64(os.Getpagesize()) / 1e6, bytes: bytes,
	}
	return nil
}

func meanCost(before, after readings, of func(reading) bool) cost {
	var sum cost
	n := 0.0
	seconds := after.at.Sub(before.at).Seconds()
	for id, a := range after.all {
		b, ok := before.all[id]
		if !ok || !of(a) {
			continue
		}
		n++
		sum.cpu += 100 * (a.cpu - b.cpu) / seconds
		sum.bytes += float64(a.bytes-b.bytes) / seconds
		sum.memory += a.memory
	}
	n = max(n, 1)
	return cost{cpu: sum.cpu / n, memory: sum.memory / n, bytes: sum.bytes / n}
}

// The letter's size.
const (
	letterEntries  = 340
	letterAgents   = 730
	letterModels   = 510
	letterRequests = 4300.0
	letterEdits    = 2500.0 / 86400
)

// Budgets for control, of a node and of the platform's service.
const (
	budgetCPU    = 3.7
	budgetMemory = 64
	budgetBytes  = 5000
	budgetReads  = 2000
	budgetWrites = 100
)

// A line is one figure with its slopes at the letter's size.
type line struct {
	role, unit string
	budget     float64
	get        func(sample) float64
}

func lines() []line {
	var all []line
	for role, get := range map[string]func(sample) cost{
		"planner": func(s sample) cost { return s.planner },
		"entry":   func(s sample) cost { return s.entry },
		"agent":   func(s sample) cost { return s.agent },
	} {
		all = append(all,
			line{role, "cpu %", budgetCPU, func(s sample) float64 { return get(s).cpu }},
			line{role, "memory MB", budgetMemory, func(s sample) float64 { return get(s).memory }},
			line{role, "control B/s", budgetBytes, func(s sample) float64 { return get(s).bytes }})
	}
	all = append(all,
		line{"KV", "reads/s", budgetReads, func(s sample) float64 { return s.reads }},
		line{"KV", "writes/s", budgetWrites, func(s sample) float64 { return s.writes }})
	slices.SortStableFunc(all, func(a, b line) int { return strings.Compare(a.role, b.role) })
	return all
}

// printSlopes prints each slope and what it comes to at the letter's size. An
// agent of the own cell costs a planner the slope "in the cell"; agents of other
// cells cost every entry the slope "in cells".
func printSlopes(m map[string]sample) {
	base := m["base"]
	fmt.Println("\nslopes, and the figure at the letter's size")
	fmt.Println("role     unit         base      /entry     /agent own /agent else /model     /edit/s    at size    budget")
	for _, l := range lines() {
		b := l.get(base)
		entry := (l.get(m["entries"]) - b) / (moreEntries - baseEntries)
		own := (l.get(m["agents in the cell"]) - b) / (moreAgents - baseAgents)
		elsewhere := (l.get(m["agents in cells"]) - b) / (moreAgents - baseAgents)
		model := (l.get(m["models"]) - b) / (moreModels - baseModels)
		edit := l.get(m["edits"]) - b
		size := atSize(l, b, entry, own, elsewhere, model, edit)
		verdict := "met"
		if size > l.budget {
			verdict = "NOT MET"
		}
		fmt.Printf("%-8s %-12s %-9.3f %-10.4f %-10.4f %-10.4f %-10.4f %-10.3f %-10.2f %-7.1f %s\n",
			l.role, l.unit, b, entry, own, elsewhere, model, edit, size, l.budget, verdict)
	}
	requestCosts(base, m["requests"])
}

// atSize adds up the slopes; one that is below zero is noise and counts as none.
func atSize(l line, base, entry, own, elsewhere, model, edit float64) float64 {
	pos := func(x float64) float64 { return math.Max(x, 0) }
	size := base + pos(entry)*(letterEntries-baseEntries) + pos(model)*(letterModels-baseModels) + pos(edit)*letterEdits
	switch l.role {
	case "planner":
		return size + pos(own)*(wholeCell-baseAgents) + pos(elsewhere)*(letterAgents-wholeCell)
	case "KV":
		// A cell more costs what the agents in small cells showed, for a cell of 6.
		cells := math.Ceil(float64(letterAgents) / wholeCell)
		perCell := pos(elsewhere) * smallCell
		return size + perCell*(cells-1)
	case "entry":
		return size + pos(elsewhere)*(letterAgents-baseAgents)
	}
	return size
}

func requestCosts(base, with sample) {
	entry := (with.planner.cpu + with.entry.cpu*(baseEntries-1) - base.planner.cpu - base.entry.cpu*(baseEntries-1)) / requestRate
	agent := (with.agent.cpu - base.agent.cpu) * baseAgents / requestRate
	fmt.Printf("a streamed request of 16 tokens: %.3f ms of CPU in its entry, %.3f ms in its agent; "+
		"at %.1f requests/s an entry: %.2f %%, at %.1f an agent: %.2f %%\n",
		10*entry, 10*agent, letterRequests/letterEntries, entry*letterRequests/letterEntries,
		letterRequests/letterAgents, agent*letterRequests/letterAgents)
}
