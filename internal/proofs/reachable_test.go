package proofs

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"rockcleat/internal/inventory"
	"rockcleat/internal/lab"
)

// TestReachable checks promise 2: every model and adapter stays reachable, except temporarily after
// the loss of a server.
func TestReachable(t *testing.T) {
	tr := startTrial(t, 2, "every model reachable", func(o *lab.Options) { o.Engine.MemoryMiB = 36000 })
	var mu sync.Mutex
	allowed := false
	setAllowed := func(v bool) { mu.Lock(); allowed = v; mu.Unlock() }
	names := slices.Sorted(func(yield func(string) bool) {
		for n := range tr.readyReplicas() {
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
			n := tr.readyReplicas()
			for _, name := range names {
				if n[name] == 0 && !allowed {
					tr.recordViolation("%s had nowhere to run though no server was lost", name)
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
	tr.runFaultSteps([]faultStep{
		{"tenfold demand of one model", func() {
			name := names[tr.rng.IntN(len(names))]
			stop := tr.startLoad(24, func(_, i int) (lab.Request, int) { return tr.chatRequest(tr.runningEntry(i).Addr, name, 40) })
			tr.waitUntil("a second copy of "+name+" is there", func() bool { return tr.readyReplicas()[name] > 1 })
			stop()
		}},
		{"planner killed", func() { tr.restart(tr.awaitPlanner()) }},
		{"server and agent killed", func() {
			tr.must(tr.AwaitRowsReady(tr.ctx))
			setAllowed(true)
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			start := time.Now()
			b.Server.Kill()
			b.Agent.Kill()
			tr.waitUntil("every model has a place again", func() bool {
				n := tr.readyReplicas()
				return !slices.ContainsFunc(names, func(name string) bool { return n[name] == 0 })
			})
			worst = max(worst, time.Since(start))
			setAllowed(false)
			tr.must(tr.RestartServer(b))
			tr.must(tr.StartNode(tr.ctx, b.Agent))
			tr.must(tr.AwaitRowsReady(tr.ctx))
		}},
		{"server leaves", func() {
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			tr.must(tr.SetVM(tr.ctx, b.Agent, inventory.RoleBackend, inventory.VMLeaving))
			tr.waitUntil("every model has a place off the leaver", func() bool { return tr.readyWithout(b, names) })
			tr.restart(b.Agent)
			tr.must(tr.SetVM(tr.ctx, b.Agent, inventory.RoleBackend, inventory.VMLive))
			tr.must(tr.AwaitRowsReady(tr.ctx))
		}},
	})
	close(done)
	wg.Wait()
	tr.checkCompletions()
	tr.row.worst = fmt.Sprintf("%.1fs without a place after a lost server", worst.Seconds())
}

// readyWithout reports whether every name is ready on a server other than b.
func (tr *trial) readyWithout(b *lab.Backend, names []string) bool {
	st, err := tr.Status(tr.ctx, tr.runningEntry(0), false)
	if err != nil {
		return false
	}
	for _, name := range names {
		has := false
		for _, s := range st.Servers {
			has = has || s.ID != b.Agent.ID && s.HasReady(name)
		}
		if !has {
			return false
		}
	}
	return true
}
