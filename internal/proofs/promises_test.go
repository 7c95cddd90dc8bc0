package proofs

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"rockcleat/internal/engine"
	"rockcleat/internal/inventory"
	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// knows reports whether a status lists a server under the address.
func knows(st wire.StatusAnswer, id, addr string) bool {
	for _, s := range st.Servers {
		if s.ID == id && s.Addr == addr {
			return true
		}
	}
	return false
}

// edit changes one row's weight and returns the version that holds the edit.
func (tr *trial) edit(name string, change func(*table.Row)) uint64 {
	tr.t.Helper()
	var version uint64
	tr.until("an edit of "+name+" is saved", func() bool {
		var t wire.TableAnswer
		e := tr.liveEntry(0)
		if err := lab.Client().Get(tr.ctx, e.Control, wire.PathTable, &t); err != nil {
			return false
		}
		i := slices.IndexFunc(t.Rows, func(r table.Row) bool { return r.Name == name })
		r, seen := table.NewRow(name), uint64(0)
		if i >= 0 {
			r, seen = t.Rows[i], t.Rows[i].Version
		}
		c := table.Change{Name: name, Seen: seen}
		if change != nil {
			change(&r)
			c.Row = &r
		}
		v, err := tr.SaveEdit(tr.ctx, e, table.Edit{ID: uuid.NewString(), Changes: []table.Change{c}})
		version = v
		return err == nil
	})
	return version
}

// planner returns the entry that plans a cell, nil if none does now.
func (tr *trial) planner() *lab.Node {
	for _, e := range tr.Entries {
		if e.Exited() {
			continue
		}
		if st, err := tr.Status(tr.ctx, e, false); err == nil && len(st.Cells) > 0 {
			return e
		}
	}
	return nil
}

func (tr *trial) awaitPlanner() *lab.Node {
	var p *lab.Node
	tr.until("a planner plans", func() bool {
		p = tr.planner()
		return p != nil
	})
	return p
}

// restart kills a daemon and starts it anew.
func (tr *trial) restart(n *lab.Node) {
	n.Kill()
	tr.must(tr.StartNode(tr.ctx, n))
}

// kvOutage takes the key-value service out, does f and lets it come back.
func (tr *trial) kvOutage(f func()) {
	tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{Outage: true}))
	f()
	tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{}))
}

// rivals are two models of which only one fits beside the others: putting one
// into the table in place of the other makes an unload and, into the memory that
// it frees, a load.
var rivals = []string{"summary", "digest"}

// swap puts the rival that is not in the table in place of the one that is.
func (tr *trial) swap() {
	out := rivals[tr.swaps%2]
	in := rivals[(tr.swaps+1)%2]
	tr.swaps++
	tr.edit(out, nil)
	tr.edit(in, func(r *table.Row) { r.Organisation = "guild" })
}

// churn swaps the rivals and waits until the change is carried out.
func (tr *trial) churn() {
	tr.swap()
	tr.awaitSwapped()
}

func (tr *trial) awaitSwapped() {
	in, out := rivals[tr.swaps%2], rivals[(tr.swaps+1)%2]
	tr.until(in+" is there and "+out+" is gone", func() bool {
		n := tr.copies()
		return n[in] > 0 && n[out] == 0
	})
}

// copies returns the ready copies of each name as the engines themselves say.
func (tr *trial) copies() map[string]int {
	n := make(map[string]int)
	for _, b := range tr.engines() {
		var st engine.Status
		if b.Server.Exited() || lab.Fetch(tr.ctx, b.URL+engine.PathStatus, &st) != nil {
			continue
		}
		for _, r := range st.Residents {
			if r.State == "ready" {
				n[r.Name]++
			}
		}
	}
	return n
}

// Promise 1: accelerator memory is never overcommitted.
func TestMemory(t *testing.T) {
	for name, unchecked := range map[string]bool{"orders checked": false, "orders not checked": true} {
		t.Run(name, func(t *testing.T) {
			tr := start(t, 1, "memory never overcommitted", func(o *lab.Options) {
				o.Engine.NoFence = unchecked
				o.Engine.Accelerators = 1
				o.Engine.MemoryMiB = 24000
				o.LoadSpeed = 40000
				o.Sizes["digest"] = o.Sizes["summary"]
			})
			b := func() *lab.Backend { return tr.engines()[tr.rng.IntN(len(tr.engines()))] }
			tr.runSteps([]step{
				{"models swapped", tr.churn},
				{"models swapped and agents killed", func() {
					tr.swap()
					tr.restart(b().Agent)
					tr.restart(b().Agent)
					tr.awaitSwapped()
				}},
				{"orders late and agents killed", func() {
					for _, x := range tr.engines() {
						tr.must(lab.Fault(tr.ctx, x.URL, standin.Faults{LateOrdersMs: 400}))
					}
					tr.swap()
					tr.restart(b().Agent)
					tr.swap()
					tr.restart(b().Agent)
					tr.awaitSwapped()
					for _, x := range tr.engines() {
						tr.must(lab.Fault(tr.ctx, x.URL, standin.Faults{}))
					}
				}},
				{"load fails half-way", func() {
					for _, x := range tr.engines() {
						tr.must(lab.Fault(tr.ctx, x.URL, standin.Faults{FailLoads: 1}))
					}
					tr.churn()
				}},
				{"planner killed", func() {
					p := tr.awaitPlanner()
					tr.swap()
					tr.restart(p)
					tr.awaitSwapped()
				}},
				{"second agent while the first is frozen", func() { tr.twoAgents(b()) }},
				{"key-value answers lost", func() {
					tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{LoseAnswers: 3}))
					tr.churn()
				}},
			})
			loads := 0
			for _, x := range tr.engines() {
				var s standin.EngineStats
				tr.must(lab.Fetch(tr.ctx, x.URL+"/stats", &s))
				loads += s.Loads
				for range s.Overcommits {
					tr.violation("%s was ordered to overcommit its memory", x.Agent.ID)
				}
			}
			assert.Assert(t, loads > tr.swaps, "%d swaps met %d loads", tr.swaps, loads)
			tr.row.worst = fmt.Sprintf("%d loads", loads)
		})
	}
}

// twoAgents freezes an agent, lets another take over its server, and thaws the first.
func (tr *trial) twoAgents(b *lab.Backend) {
	first := b.Agent
	first.Freeze()
	second, err := tr.SecondAgent(tr.ctx, b)
	tr.must(err)
	tr.must(tr.SetVM(tr.ctx, second, inventory.RoleBackend, inventory.VMLive))
	tr.until("the second agent is known", func() bool {
		st, err := tr.Status(tr.ctx, tr.awaitPlanner(), false)
		return err == nil && knows(st, second.ID, second.Addr)
	})
	first.Thaw()
	tr.churn()
	second.Kill()
	tr.restart(first)
	tr.must(tr.SetVM(tr.ctx, first, inventory.RoleBackend, inventory.VMLive))
	tr.until("the first agent is known again", func() bool {
		st, err := tr.Status(tr.ctx, tr.awaitPlanner(), false)
		return err == nil && knows(st, first.ID, first.Addr)
	})
}

// Promise 2: every model and adapter stays reachable.
func TestReachable(t *testing.T) {
	tr := start(t, 2, "every model reachable", func(o *lab.Options) { o.Engine.MemoryMiB = 36000 })
	var mu sync.Mutex
	allowed := false
	allow := func(v bool) { mu.Lock(); allowed = v; mu.Unlock() }
	names := slices.Sorted(func(yield func(string) bool) {
		for n := range tr.copies() {
			if !yield(n) {
				return
			}
		}
	})
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			mu.Lock()
			n := tr.copies()
			for _, name := range names {
				if n[name] == 0 && !allowed {
					tr.violation("%s had nowhere to run though no server was lost", name)
				}
			}
			mu.Unlock()
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	var worst time.Duration
	tr.runSteps([]step{
		{"tenfold demand of one model", func() {
			name := names[tr.rng.IntN(len(names))]
			stop := tr.load(24, func(_, i int) (lab.Request, int) { return tr.chat(tr.liveEntry(i).Addr, name, 40) })
			tr.until("a second copy of "+name+" is there", func() bool { return tr.copies()[name] > 1 })
			stop()
		}},
		{"planner killed", func() { tr.restart(tr.awaitPlanner()) }},
		{"server and agent killed", func() {
			tr.must(tr.AwaitPlaced(tr.ctx))
			allow(true)
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			began := time.Now()
			b.Server.Kill()
			b.Agent.Kill()
			tr.until("every model has a place again", func() bool {
				n := tr.copies()
				return !slices.ContainsFunc(names, func(name string) bool { return n[name] == 0 })
			})
			worst = max(worst, time.Since(began))
			allow(false)
			tr.must(tr.RestartServer(b))
			tr.must(tr.StartNode(tr.ctx, b.Agent))
			tr.must(tr.AwaitPlaced(tr.ctx))
		}},
		{"server leaves", func() {
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			tr.must(tr.SetVM(tr.ctx, b.Agent, inventory.RoleBackend, inventory.VMLeaving))
			tr.until("every model has a place off the leaver", func() bool { return tr.placedWithout(b, names) })
			tr.restart(b.Agent)
			tr.must(tr.SetVM(tr.ctx, b.Agent, inventory.RoleBackend, inventory.VMLive))
			tr.must(tr.AwaitPlaced(tr.ctx))
		}},
	})
	close(done)
	wg.Wait()
	tr.checkChats()
	tr.row.worst = fmt.Sprintf("%.1fs without a place after a lost server", worst.Seconds())
}

// placedWithout reports whether every name is ready on a server other than b's.
func (tr *trial) placedWithout(b *lab.Backend, names []string) bool {
	st, err := tr.Status(tr.ctx, tr.liveEntry(0), false)
	if err != nil {
		return false
	}
	for _, name := range names {
		has := false
		for _, s := range st.Servers {
			has = has || s.ID != b.Agent.ID && s.Has(name)
		}
		if !has {
			return false
		}
	}
	return true
}

// Promise 3: a caller receives the whole answer to its own request.
func TestWhole(t *testing.T) {
	tr := start(t, 3, "the whole answer to its own request", nil)
	models := []string{lab.SmallModel, "hint", "summary", "headline", lab.SmallAdapter}
	var proxies []*faultProxy
	for _, b := range tr.engines() {
		p, _ := tr.proxied(b)
		proxies = append(proxies, p)
	}
	stop := tr.load(8, func(w, i int) (lab.Request, int) {
		return tr.chat(tr.liveEntry(w+i).Addr, models[(w+i)%len(models)], 10+(w*7+i)%60)
	})
	for_ := func(p *faultProxy) {
		n := len(tr.all())
		tr.until("requests have met the fault", func() bool { return len(tr.all()) > n+20 })
		p.heal()
	}
	pick := func() *faultProxy { return proxies[tr.rng.IntN(len(proxies))] }
	tr.runSteps([]step{
		{"connection reset mid-answer", func() {
			p := pick()
			p.add(tr, "reset_peer", fromCallee, fmt.Sprintf(`"timeout":%d`, 20+tr.rng.IntN(200)))
			for_(p)
		}},
		{"answer cut after some bytes", func() {
			p := pick()
			p.add(tr, "limit_data", fromCallee, fmt.Sprintf(`"bytes":%d`, 500+tr.rng.IntN(5000)))
			for_(p)
		}},
		{"answers late", func() {
			p := pick()
			p.add(tr, "latency", fromCallee, `"latency":150,"jitter":100`)
			for_(p)
		}},
		{"answers in small pieces", func() {
			p := pick()
			p.add(tr, "slicer", fromCallee, `"average_size":17,"size_variation":9,"delay":100`)
			for_(p)
		}},
		{"one way cut", func() {
			p := pick()
			p.add(tr, "timeout", fromCallee, `"timeout":0`)
			for_(p)
		}},
		{"engine killed under streams", func() {
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			b.Server.Kill()
			tr.must(tr.RestartServer(b))
			tr.must(tr.AwaitPlaced(tr.ctx))
		}},
		{"agent killed under streams", func() {
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			tr.restart(b.Agent)
			tr.must(tr.AwaitPlaced(tr.ctx))
		}},
		{"agent frozen", func() {
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			b.Agent.Freeze()
			n := len(tr.all())
			tr.until("requests have met the fault", func() bool { return len(tr.all()) > n+20 })
			b.Agent.Thaw()
		}},
	})
	stop()
	whole, cut := tr.checkChats()
	tr.checkNotRun()
	assert.Assert(t, whole > cut, "%d whole, %d not", whole, cut)
	tr.row.worst = fmt.Sprintf("%d whole, %d told as not whole", whole, cut)
}

// Promise 3, of one stream: it goes on elsewhere from the tokens already given.
func TestStreamGoesOn(t *testing.T) {
	tr := start(t, 3, "the whole answer to its own request", nil)
	for range 3 {
		tr.must(tr.AwaitPlaced(tr.ctx))
		r, tokens := tr.chat(tr.liveEntry(0).Addr, "hint", 400)
		r.ID = uuid.NewString()
		result := make(chan lab.Answer, 1)
		go func() { result <- tr.send(r, tokens) }()
		var on *lab.Backend
		tr.until("the stream runs", func() bool {
			for _, b := range tr.engines() {
				var s standin.SeenAnswer
				if lab.Fetch(tr.ctx, b.URL+"/seen", &s) == nil && s.Seen[r.ID] > 0 {
					on = b
					return true
				}
			}
			return false
		})
		on.Server.Kill()
		a := <-result
		assert.Assert(t, a.Whole && a.Tokens == tokens, "%d of %d tokens, status %d: %s", a.Tokens, tokens, a.Status, a.Reason)
		tr.must(tr.RestartServer(on))
	}
	tr.checkChats()
	tr.fault("engine killed under a stream x3")
}

// Promise 4: what is refused as not run did not run, and is refused at once.
func TestNotRun(t *testing.T) {
	tr := start(t, 4, "refused means not run", func(o *lab.Options) {
		o.Engine.Slots = 2
		o.ServiceDelay = 20 * time.Millisecond
		o.Services = 2
		for i := range o.Rows {
			o.Rows[i].QueueTime = 100 * time.Millisecond
		}
	})
	var proxies []*faultProxy
	for _, b := range tr.Backends {
		p, _ := tr.proxied(b)
		proxies = append(proxies, p)
	}
	stop := tr.load(40, func(w, i int) (lab.Request, int) {
		if w%4 == 0 {
			return lab.Request{Addr: tr.liveEntry(w).Addr, Path: lab.SmallPath, Body: []byte("x")}, 0
		}
		return tr.chat(tr.liveEntry(w).Addr, []string{"hint", "headline", "summary"}[i%3], 20)
	})
	wait := func() {
		n := len(tr.all())
		tr.until("requests have met the fault", func() bool { return len(tr.all()) > n+100 })
	}
	pick := func() *faultProxy { return proxies[tr.rng.IntN(len(proxies))] }
	tr.runSteps([]step{
		{"overload", wait},
		{"connections refused", func() { p := pick(); p.Stop(); wait(); tr.must(p.Start()) }},
		{"connection reset", func() { p := pick(); p.add(tr, "reset_peer", fromCallee, `"timeout":10`); wait(); p.heal() }},
		{"requests late", func() { p := pick(); p.add(tr, "latency", fromCaller, `"latency":300`); wait(); p.heal() }},
		{"agent killed", func() { tr.restart(tr.Backends[tr.rng.IntN(len(tr.Backends))].Agent); wait() }},
		{"agent leaves", func() {
			b := tr.Backends[tr.rng.IntN(len(tr.Backends))]
			b.Agent.Terminate()
			_, err := b.Agent.Wait(tr.ctx)
			tr.must(err)
			tr.must(tr.StartNode(tr.ctx, b.Agent))
			wait()
		}},
		{"entry killed", func() { tr.restart(tr.liveEntry(tr.rng.IntN(2))); wait() }},
	})
	stop()
	refused := tr.checkNotRun()
	tr.checkChats()
	assert.Assert(t, refused > 50, "only %d requests were refused", refused)
	var slowest time.Duration
	for _, s := range tr.all() {
		if s.Outcome == wire.OutcomeNotRun && s.Reason == "queue_time" {
			slowest = max(slowest, s.Total)
		}
	}
	tr.row.worst = fmt.Sprintf("%d refused, slowest after %dms", refused, slowest.Milliseconds())
}
