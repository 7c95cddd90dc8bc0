package proofs

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"rockcleat/internal/config"
	"rockcleat/internal/lab"
	"rockcleat/internal/wire"
)

var (
	seedFlag   = flag.Uint64("proofs.seed", 1, "seed that chooses the faults")
	reportFlag = flag.Bool("proofs.report", false, "print a row for each promise")
)

// trialTimeout is the timeout of one trial.
const trialTimeout = 3 * time.Minute

// binDir is the folder in which TestMain builds the programs.
var binDir string

// A reportRow is the line of one promise in the report.
type reportRow struct {
	promise    int
	name       string
	faults     []string
	requests   int
	violations []string
	// worst describes the worst observed value, such as the longest delay.
	worst  string
	passed bool
}

var (
	reportMu   sync.Mutex
	reportRows = make(map[int]*reportRow)
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := lab.TempDir()
	if err == nil {
		binDir = filepath.Join(dir, "bin")
		err = lab.Build(context.Background(), filepath.Join("..", ".."), binDir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	if *reportFlag {
		printReport()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const promiseCount = 9

func printReport() {
	fmt.Printf("seed %d\n", *seedFlag)
	passed := 0
	for i := 1; i <= promiseCount; i++ {
		r, ok := reportRows[i]
		if !ok {
			fmt.Printf("%d  not run\n", i)
			continue
		}
		verdict := "FAILED"
		if r.passed {
			verdict = "proved"
			passed++
		}
		fmt.Printf("%d  %-34s %s  requests %-5d violations %d  worst %s  faults: %s\n",
			r.promise, r.name, verdict, r.requests, len(r.violations), r.worst, strings.Join(r.faults, ", "))
	}
	fmt.Printf("promises proved: %d/%d\n", passed, promiseCount)
}

// A sentRequest is one request with its response and the number of tokens requested.
type sentRequest struct {
	lab.Request
	lab.Response
	start      time.Time
	wantTokens int
}

// A trial is the running system of one test, with the requests sent and the violations found.
type trial struct {
	*lab.System
	t      *testing.T
	ctx    context.Context
	rng    *rand.Rand
	caller *lab.Caller
	row    *reportRow
	// swaps is the number of calls of swap.
	swaps int

	// mu guards sent and the violations of row.
	mu   sync.Mutex
	sent []sentRequest
}

// shortenTimeouts shortens the timeouts and intervals of the daemons to keep the tests short.
func shortenTimeouts(o *lab.Options) {
	entry, agent := o.Entry, o.Agent
	o.Entry = func(e *config.Entry) {
		e.Planner.ExchangeInterval = config.Duration(500 * time.Millisecond)
		e.Planner.LeaseTTL = config.Duration(2 * time.Second)
		e.Planner.Hold = config.Duration(time.Second)
		e.Claims.LeaseTTL = config.Duration(2 * time.Second)
		e.Claims.WritesPerSecond = 200
		e.SyncInterval = config.Duration(200 * time.Millisecond)
		e.VMsInterval = config.Duration(200 * time.Millisecond)
		e.Limits.HeartbeatTimeout = config.Duration(2 * time.Second)
		e.LeaveTime = config.Duration(1500 * time.Millisecond)
		if entry != nil {
			entry(e)
		}
	}
	o.Agent = func(a *config.Agent) {
		a.Limits.HeartbeatTimeout = config.Duration(2 * time.Second)
		a.LeaveTime = config.Duration(1500 * time.Millisecond)
		a.Backend.OrderLifetime = config.Duration(1500 * time.Millisecond)
		if agent != nil {
			agent(a)
		}
	}
}

// startTrial starts a small system for a test of a promise. The system stops when the test ends.
func startTrial(t *testing.T, promise int, name string, configure func(*lab.Options)) *trial {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	dir, err := lab.TempDir()
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs of the failed test are kept in", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	o := lab.SmallOptions(binDir, dir)
	o.VMLag = 200 * time.Millisecond
	o.Engine.Step = 5 * time.Millisecond
	o.KVReadsPerSecond, o.KVWritesPerSecond = 0, 0
	if configure != nil {
		configure(&o)
	}
	shortenTimeouts(&o)
	s, err := lab.Start(ctx, o)
	assert.NilError(t, err)
	tr := &trial{
		System: s, t: t, ctx: ctx, caller: lab.NewCaller(),
		rng: rand.New(rand.NewPCG(*seedFlag, uint64(promise))),
	}
	tr.row = &reportRow{promise: promise, name: name, worst: "-"}
	t.Cleanup(func() {
		tr.addToReport()
		s.Stop()
		cancel()
	})
	return tr
}

// addToReport reports the violations as errors and merges the trial into the report row of its
// promise, which may have several trials.
func (tr *trial) addToReport() {
	for _, v := range tr.row.violations {
		tr.t.Error(v)
	}
	tr.row.requests = len(tr.sentRequests())
	tr.row.passed = !tr.t.Failed()
	tr.t.Logf("seed %d, faults: %s; worst %s", *seedFlag, strings.Join(tr.row.faults, ", "), tr.row.worst)
	reportMu.Lock()
	defer reportMu.Unlock()
	merged, ok := reportRows[tr.row.promise]
	if !ok {
		reportRows[tr.row.promise] = tr.row
		return
	}
	merged.requests += tr.row.requests
	merged.violations = append(merged.violations, tr.row.violations...)
	merged.passed = merged.passed && tr.row.passed
	merged.worst += "; " + tr.row.worst
	for _, f := range tr.row.faults {
		if !slices.Contains(merged.faults, f) {
			merged.faults = append(merged.faults, f)
		}
	}
}

func (tr *trial) recordFault(format string, args ...any) {
	tr.row.faults = append(tr.row.faults, fmt.Sprintf(format, args...))
}

func (tr *trial) recordViolation(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.row.violations = append(tr.row.violations, fmt.Sprintf(format, args...))
}

func (tr *trial) must(err error) {
	tr.t.Helper()
	assert.NilError(tr.t, err)
}

func (tr *trial) waitUntil(what string, ok func() bool) {
	tr.t.Helper()
	tr.must(lab.WaitUntil(tr.ctx, what, ok))
}

// send sends a request, records its response and returns it.
func (tr *trial) send(r lab.Request, tokens int) lab.Response {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	start := time.Now()
	a := tr.caller.Send(tr.ctx, r)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.sent = append(tr.sent, sentRequest{Request: r, Response: a, start: start, wantTokens: tokens})
	return a
}

func (tr *trial) sentRequests() []sentRequest {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]sentRequest(nil), tr.sent...)
}

// startLoad sends the requests that makeRequest returns from several goroutines until stop is
// called. The int that makeRequest returns is the number of tokens requested.
func (tr *trial) startLoad(workers int, makeRequest func(worker, i int) (lab.Request, int)) (stop func()) {
	return startWorkers(workers, func(w, i int, done <-chan struct{}) {
		r, tokens := makeRequest(w, i)
		if a := tr.send(r, tokens); a.Outcome != wire.OutcomeAnswered {
			sleep(done, 20*time.Millisecond)
		}
	})
}

// startWorkers calls f repeatedly from several goroutines until stop is called, which waits for
// them. done is closed when stop is called.
func startWorkers(workers int, f func(worker, i int, done <-chan struct{})) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
					f(w, i, done)
				}
			}
		}()
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(done) })
		wg.Wait()
	}
}

// sleep waits for d or until done is closed.
func sleep(done <-chan struct{}, d time.Duration) {
	select {
	case <-done:
	case <-time.After(d):
	}
}

// runningEntry returns the i-th entry, or the next one that is running.
func (tr *trial) runningEntry(i int) *lab.Node {
	n := len(tr.Entries)
	for k := range n {
		if e := tr.Entries[(i+k)%n]; !e.Exited() {
			return e
		}
	}
	return tr.Entries[0]
}

// chatRequest returns a streaming chat request with a unique prompt, and its number of tokens.
func (tr *trial) chatRequest(addr, model string, tokens int) (lab.Request, int) {
	return lab.Request{Addr: addr, Body: lab.ChatBody(model, uuid.NewString(), tokens, true)}, tokens
}

func (tr *trial) engines() []*lab.Backend {
	var out []*lab.Backend
	for _, b := range tr.Backends {
		if !b.Service {
			out = append(out, b)
		}
	}
	return out
}

// shuffled returns a copy of steps in an order determined by the seed.
func shuffled[T any](tr *trial, steps []T) []T {
	out := append([]T(nil), steps...)
	tr.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

type faultStep struct {
	name   string
	inject func()
}

// runFaultSteps runs every step twice in an order determined by the seed, so that steps run after
// different other steps, and at times after themselves.
func (tr *trial) runFaultSteps(steps []faultStep) {
	for _, s := range shuffled(tr, append(append([]faultStep(nil), steps...), steps...)) {
		start := time.Now()
		s.inject()
		tr.t.Logf("injected fault: %s (took %.1fs)", s.name, time.Since(start).Seconds())
	}
	for _, s := range steps {
		tr.recordFault("%s x2", s.name)
	}
}
