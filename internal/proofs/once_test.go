package proofs

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"rockcleat/internal/inventory"
	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// keyed sends calls that may not be repeated, each again and again through
// changing entries until it is answered or given up, as eager callers do.
func (tr *trial) keyed(workers int) (stop func() (answered int)) {
	var answered atomic.Int64
	end := repeat(workers, func(w, i int, done <-chan struct{}) {
		if tr.oneKey(w, fmt.Sprintf("key-%d-%d", w, i), done) {
			answered.Add(1)
		}
	})
	return func() int {
		end()
		return int(answered.Load())
	}
}

// keyTries bounds how often a caller sends one key.
const keyTries = 30

func (tr *trial) oneKey(w int, key string, done <-chan struct{}) bool {
	for try := range keyTries {
		r := lab.Request{Addr: tr.liveEntry(w + try).Addr, Path: lab.SmallPath, Body: []byte(key), Key: key}
		a := tr.send(r, 0)
		if a.Outcome == wire.OutcomeAnswered && a.Err == nil {
			// Once more, although it was answered.
			tr.send(r, 0)
			return true
		}
		pause(done, 30*time.Millisecond)
	}
	return false
}

// checkEffects checks that each key took effect at most once, and exactly once
// if any of its callers got an answer.
func (tr *trial) checkEffects() {
	effects := tr.effects()
	bodies := make(map[string]string)
	for _, s := range tr.all() {
		if s.Key == "" || s.Outcome != wire.OutcomeAnswered || s.Err != nil {
			continue
		}
		if effects[s.Key] != 1 {
			tr.violation("key %s was answered and took effect %d times", s.Key, effects[s.Key])
		}
		if old, ok := bodies[s.Key]; ok && old != s.Answer.Body {
			tr.violation("key %s was answered in two ways", s.Key)
		}
		bodies[s.Key] = s.Answer.Body
	}
	for key, n := range effects {
		if key != "" && n > 1 {
			tr.violation("key %s took effect %d times", key, n)
		}
	}
}

// Promise 5: a request that may not be repeated runs at most once.
func TestAtMostOnce(t *testing.T) {
	tr := start(t, 5, "at most once", func(o *lab.Options) { o.Services, o.Entries = 2, 3 })
	var proxies []*faultProxy
	for _, b := range tr.Backends {
		if b.Service {
			p, _ := tr.proxied(b)
			proxies = append(proxies, p)
		}
	}
	stop := tr.keyed(12)
	wait := func() {
		n := len(tr.all())
		tr.until("requests have met the fault", func() bool { return len(tr.all()) > n+60 })
	}
	entry := func() *lab.Node { return tr.Entries[tr.rng.IntN(len(tr.Entries))] }
	service := func() *lab.Backend {
		for {
			if b := tr.Backends[tr.rng.IntN(len(tr.Backends))]; b.Service {
				return b
			}
		}
	}
	tr.runSteps([]step{
		{"entry killed", func() { tr.restart(entry()); wait() }},
		{"agent killed", func() { tr.restart(service().Agent); wait() }},
		{"entry frozen past its leases", func() {
			e := entry()
			e.Freeze()
			tr.until("others have taken over", func() bool { return tr.claimsWork(e) })
			e.Thaw()
			wait()
		}},
		{"answers reset", func() {
			p := proxies[tr.rng.IntN(len(proxies))]
			p.add(tr, "reset_peer", fromCallee, `"timeout":3`)
			wait()
			p.heal()
		}},
		{"key-value answers lost", func() {
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{LoseAnswers: 10}))
			wait()
		}},
		{"key-value service out", func() { tr.kvOutage(wait) }},
		{"key-value service out and entry killed", func() {
			tr.kvOutage(func() { tr.restart(entry()); wait() })
			wait()
		}},
		{"key-value service slow", func() {
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{DelayMs: 300}))
			wait()
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{}))
		}},
	})
	answered := stop()
	tr.checkEffects()
	tr.checkNotRun()
	assert.Assert(t, answered > 20, "only %d keys were answered", answered)
	tr.row.worst = fmt.Sprintf("%d keys answered", answered)
}

// claimsWork reports whether a call with a fresh key is answered by an entry
// other than the frozen one, for several keys, so for several shards.
func (tr *trial) claimsWork(frozen *lab.Node) bool {
	for i := range 6 {
		e := tr.Entries[i%len(tr.Entries)]
		if e == frozen {
			continue
		}
		key := uuid.NewString()
		if tr.send(lab.Request{Addr: e.Addr, Path: lab.SmallPath, Body: []byte(key), Key: key}, 0).Outcome != wire.OutcomeAnswered {
			return false
		}
	}
	return true
}

// Promise 6: a backend server that is leaving receives no new work.
func TestLeaving(t *testing.T) {
	tr := start(t, 6, "no new work for a leaver", nil)
	stop := tr.load(8, func(w, i int) (lab.Request, int) {
		return tr.chat(tr.liveEntry(w+i).Addr, []string{"hint", "headline", lab.SmallModel}[(w+i)%3], 8)
	})
	var worst time.Duration
	// quiet waits until the engine has started nothing for a while under load and
	// returns how long after the leaving began it last started something.
	quiet := func(b *lab.Backend, began time.Time) {
		var s standin.EngineStats
		tr.until("the leaver gets no new work", func() bool {
			n := len(tr.all())
			before := s.LastStartMs
			tr.until("more requests are answered", func() bool { return len(tr.all()) > n+30 })
			return lab.Fetch(tr.ctx, b.URL+"/stats", &s) == nil && s.LastStartMs == before
		})
		worst = max(worst, time.UnixMilli(s.LastStartMs).Sub(began))
	}
	back := func(b *lab.Backend) {
		tr.restart(b.Agent)
		tr.must(tr.SetVM(tr.ctx, b.Agent, inventory.RoleBackend, inventory.VMLive))
		tr.must(tr.AwaitPlaced(tr.ctx))
	}
	pick := func() *lab.Backend { return tr.engines()[tr.rng.IntN(len(tr.engines()))] }
	list := func(b *lab.Backend) { tr.must(tr.SetVM(tr.ctx, b.Agent, inventory.RoleBackend, inventory.VMLeaving)) }
	tr.runSteps([]step{
		{"the list says leaving", func() {
			b, began := pick(), time.Now()
			list(b)
			quiet(b, began)
			back(b)
		}},
		{"planner killed as the list says leaving", func() {
			b, p, began := pick(), tr.awaitPlanner(), time.Now()
			p.Kill()
			list(b)
			quiet(b, began)
			tr.must(tr.StartNode(tr.ctx, p))
			back(b)
		}},
		{"leaver frozen, then thawed", func() {
			b := pick()
			b.Agent.Freeze()
			began := time.Now()
			list(b)
			tr.until("the others carry the load", func() bool {
				n := len(tr.all())
				tr.until("more requests are answered", func() bool { return len(tr.all()) > n+60 })
				return time.Since(began) > 3*time.Second
			})
			thawed := time.Now()
			b.Agent.Thaw()
			tr.until("the leaver knows that it leaves", func() bool {
				code := tr.caller.Send(tr.ctx, lab.Request{Method: http.MethodGet, Addr: b.Agent.Control, Path: wire.PathReady})
				return code.Status == http.StatusServiceUnavailable
			})
			quiet(b, began)
			var s standin.EngineStats
			tr.must(lab.Fetch(tr.ctx, b.URL+"/stats", &s))
			if s.LastStartMs >= thawed.UnixMilli() {
				tr.violation("%s started work after it was thawed while leaving", b.Agent.ID)
			}
			back(b)
		}},
		{"agent told to stop", func() {
			b, began := pick(), time.Now()
			b.Agent.Terminate()
			_, err := b.Agent.Wait(tr.ctx)
			tr.must(err)
			quiet(b, began)
			tr.must(tr.StartNode(tr.ctx, b.Agent))
			tr.must(tr.AwaitPlaced(tr.ctx))
		}},
	})
	stop()
	tr.checkChats()
	if worst > 5*time.Second {
		tr.violation("a leaver started work %v after it began to leave", worst)
	}
	tr.row.worst = fmt.Sprintf("last start %.1fs after leaving began", worst.Seconds())
}

// Promise 7: a planned stop cuts off no request in progress.
func TestPlannedStop(t *testing.T) {
	tr := start(t, 7, "a planned stop cuts off nothing", func(o *lab.Options) { o.Entries = 3 })
	// Callers go only where the balancer would send them: to entries that say they are ready.
	ready := func(i int) *lab.Node {
		for k := range tr.Entries {
			e := tr.Entries[(i+k)%len(tr.Entries)]
			if e.Exited() {
				continue
			}
			if a := tr.caller.Send(tr.ctx, lab.Request{Method: http.MethodGet, Addr: e.Addr, Path: wire.PathReady}); a.Status == http.StatusOK {
				return e
			}
		}
		return tr.Entries[0]
	}
	stop := tr.load(8, func(w, i int) (lab.Request, int) {
		return tr.chat(ready(w+i).Addr, []string{"hint", "headline", "summary", lab.SmallModel}[(w+i)%4], 100+20*w)
	})
	plain := tr.load(2, func(w, i int) (lab.Request, int) {
		key := uuid.NewString()
		return lab.Request{Addr: ready(w + i).Addr, Path: lab.SmallPath, Body: []byte(key), Key: key}, 0
	})
	var worst time.Duration
	roll := func(n *lab.Node, role inventory.Role) {
		began := time.Now()
		tr.must(tr.SetVM(tr.ctx, n, role, inventory.VMLeaving))
		n.Terminate()
		code, err := n.Wait(tr.ctx)
		tr.must(err)
		if code != 0 {
			tr.violation("%s ended its planned stop with code %d", n.ID, code)
		}
		worst = max(worst, time.Since(began))
		tr.must(tr.StartNode(tr.ctx, n))
		tr.must(tr.SetVM(tr.ctx, n, role, inventory.VMLive))
		tr.must(tr.AwaitPlaced(tr.ctx))
	}
	tr.runSteps([]step{
		{"entry stopped", func() { roll(tr.Entries[tr.rng.IntN(3)], inventory.RoleEntry) }},
		{"planning entry stopped", func() { roll(tr.awaitPlanner(), inventory.RoleEntry) }},
		{"agent stopped", func() { roll(tr.engines()[tr.rng.IntN(3)].Agent, inventory.RoleBackend) }},
		{"agent stopped while the key-value service is out", func() {
			tr.kvOutage(func() {
				b := tr.engines()[tr.rng.IntN(3)]
				b.Agent.Terminate()
				_, err := b.Agent.Wait(tr.ctx)
				tr.must(err)
				tr.must(tr.StartNode(tr.ctx, b.Agent))
			})
			tr.must(tr.AwaitPlaced(tr.ctx))
		}},
	})
	stop()
	plain()
	whole, _ := tr.checkChats()
	tr.checkEffects()
	refused := 0
	reasons := make(map[string]int)
	for _, s := range tr.all() {
		switch {
		case s.Outcome == wire.OutcomeNotRun:
			refused++
			reasons[s.Reason]++
		case s.Outcome != wire.OutcomeAnswered || !s.Whole:
			tr.violation("request %s was cut: status %d, outcome %q, %d of %d tokens, %v", s.ID, s.Status, s.Outcome, s.Tokens, s.tokens, s.Err)
		}
	}
	tr.t.Logf("refused: %v", reasons)
	tr.row.worst = fmt.Sprintf("%d whole streams, %d refused, longest stop %.1fs", whole, refused, worst.Seconds())
}

// Promise 8: an accepted table is in force everywhere and never reverts.
func TestTable(t *testing.T) {
	tr := start(t, 8, "an accepted table never reverts", func(o *lab.Options) { o.Entries = 3 })
	watch := tr.watchVersions()
	var mu sync.Mutex
	accepted := make(map[string]uint64)
	var newest uint64
	// race lets two operators edit the same row and rows of their own at once.
	race := func() {
		var wg sync.WaitGroup
		for o := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				tr.operator(o, func(id string, v uint64) {
					mu.Lock()
					defer mu.Unlock()
					accepted[id] = v
					newest = max(newest, v)
				})
			}()
		}
		wg.Wait()
	}
	var worst time.Duration
	settle := func() {
		began := time.Now()
		tr.must(tr.AwaitVersion(tr.ctx, newest))
		worst = max(worst, time.Since(began))
	}
	tr.runSteps([]step{
		{"two operators at once", func() { race(); settle() }},
		{"key-value answers lost", func() {
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{LoseAnswers: 4}))
			race()
			settle()
		}},
		{"entry killed after the save", func() { race(); tr.restart(tr.Entries[tr.rng.IntN(3)]); settle() }},
		{"key-value service out during the spread, entry and agent killed", func() {
			race()
			tr.kvOutage(func() {
				tr.restart(tr.Entries[tr.rng.IntN(3)])
				tr.restart(tr.Backends[tr.rng.IntN(len(tr.Backends))].Agent)
				settle()
			})
		}},
		{"entry frozen during the spread", func() {
			e := tr.Entries[1]
			e.Freeze()
			race()
			e.Thaw()
			settle()
		}},
		{"planner killed", func() { tr.awaitPlanner().Kill(); tr.restartDead(); race(); settle() }},
	})
	watch()
	tr.checkHistory(accepted)
	tr.row.worst = fmt.Sprintf("%.1fs from an edit to everywhere, %d edits", worst.Seconds(), len(accepted))
}

func (tr *trial) restartDead() {
	for _, e := range tr.Entries {
		if e.Exited() {
			tr.must(tr.StartNode(tr.ctx, e))
		}
	}
}

// operatorPatience is how long an operator waits for one entry.
const operatorPatience = time.Second

// operator saves three edits, each under one id until its outcome is known.
func (tr *trial) operator(o int, saved func(id string, v uint64)) {
	for i := range 3 {
		name := "hint"
		if i > 0 {
			name = []string{"summary", "headline"}[o]
		}
		id := uuid.NewString()
		var e table.Edit
		tries := 0
		tr.until("an edit's outcome is known", func() bool {
			// A silent entry is left for the next one, as the command line does.
			n := tr.liveEntry(o + tries)
			tries++
			if e.ID == "" {
				r, ok := tr.rowNow(n, name)
				if !ok {
					return false
				}
				r.Weight = r.Weight%1000 + 1
				e = table.Edit{ID: id, Changes: []table.Change{{Name: name, Seen: r.Version, Row: &r}}}
			}
			ctx, cancel := context.WithTimeout(tr.ctx, operatorPatience)
			defer cancel()
			v, err := tr.SaveEdit(ctx, n, e)
			if err == nil {
				saved(id, v)
				return true
			}
			if !isConflict(err) {
				tr.t.Logf("edit %s of %s not saved yet: %v", id, name, err)
			}
			return isConflict(err)
		})
	}
}

func (tr *trial) rowNow(n *lab.Node, name string) (table.Row, bool) {
	ctx, cancel := context.WithTimeout(tr.ctx, operatorPatience)
	defer cancel()
	var t wire.TableAnswer
	if err := lab.Client().Get(ctx, n.Control, wire.PathTable, &t); err != nil {
		return table.Row{}, false
	}
	for _, r := range t.Rows {
		if r.Name == name {
			return r, true
		}
	}
	return table.Row{}, false
}
