package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"rockcleat/internal/inventory"
	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
)

// TestLeaving checks promise 6: a backend server that is leaving receives no new work.
func TestLeaving(t *testing.T) {
	tr := start(t, 6, "no new work for a leaver", nil)
	stop := tr.load(8, func(w, i int) (lab.Request, int) {
		return tr.chat(tr.liveEntry(w+i).Addr, []string{"hint", "headline", lab.SmallModel}[(w+i)%3], 8)
	})
	var worst time.Duration
	// quiet waits until the engine has started none of more than 30 consecutive requests. It adds
	// the delay between began and the engine's last start to worst.
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

// TestPlannedStop checks promise 7: a planned stop interrupts no request in progress.
func TestPlannedStop(t *testing.T) {
	tr := start(t, 7, "a planned stop cuts off nothing", func(o *lab.Options) { o.Entries = 3 })
	// ready returns an entry that reports itself ready, as a load balancer would.
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
	tr.t.Logf("refused requests by reason: %v", reasons)
	tr.row.worst = fmt.Sprintf("%d whole streams, %d refused, longest stop %.1fs", whole, refused, worst.Seconds())
}
