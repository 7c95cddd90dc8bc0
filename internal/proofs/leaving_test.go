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
	tr := startTrial(t, 6, "no new work for a leaver", nil)
	stop := tr.startLoad(8, func(w, i int) (lab.Request, int) {
		return tr.chatRequest(tr.runningEntry(w+i).Addr, []string{"hint", "headline", lab.SmallModel}[(w+i)%3], 8)
	})
	var worst time.Duration
	// waitIdle waits until the engine starts no request while more than 30 requests end. It raises
	// worst to the delay from start to the engine's last request start, if that is longer.
	waitIdle := func(b *lab.Backend, start time.Time) {
		var s standin.EngineStats
		tr.waitUntil("the leaver gets no new work", func() bool {
			n := len(tr.sentRequests())
			before := s.LastStartMs
			tr.waitUntil("more requests are answered", func() bool { return len(tr.sentRequests()) > n+30 })
			return lab.Fetch(tr.ctx, b.URL+"/stats", &s) == nil && s.LastStartMs == before
		})
		worst = max(worst, time.UnixMilli(s.LastStartMs).Sub(start))
	}
	restore := func(b *lab.Backend) {
		tr.restart(b.Agent)
		tr.must(tr.SetVM(tr.ctx, b.Agent, inventory.RoleBackend, inventory.VMLive))
		tr.must(tr.AwaitRowsReady(tr.ctx))
	}
	pick := func() *lab.Backend { return tr.engines()[tr.rng.IntN(len(tr.engines()))] }
	listLeaving := func(b *lab.Backend) { tr.must(tr.SetVM(tr.ctx, b.Agent, inventory.RoleBackend, inventory.VMLeaving)) }
	tr.runFaultSteps([]faultStep{
		{"the list says leaving", func() {
			b, start := pick(), time.Now()
			listLeaving(b)
			waitIdle(b, start)
			restore(b)
		}},
		{"planner killed as the list says leaving", func() {
			b, p, start := pick(), tr.awaitPlanner(), time.Now()
			p.Kill()
			listLeaving(b)
			waitIdle(b, start)
			tr.must(tr.StartNode(tr.ctx, p))
			restore(b)
		}},
		{"leaver frozen, then thawed", func() {
			b := pick()
			b.Agent.Freeze()
			start := time.Now()
			listLeaving(b)
			tr.waitUntil("the others carry the load", func() bool {
				n := len(tr.sentRequests())
				tr.waitUntil("more requests are answered", func() bool { return len(tr.sentRequests()) > n+60 })
				return time.Since(start) > 3*time.Second
			})
			thawed := time.Now()
			b.Agent.Thaw()
			tr.waitUntil("the leaver knows that it leaves", func() bool {
				response := tr.caller.Send(tr.ctx, lab.Request{Method: http.MethodGet, Addr: b.Agent.Control, Path: wire.PathReady})
				return response.Status == http.StatusServiceUnavailable
			})
			waitIdle(b, start)
			var s standin.EngineStats
			tr.must(lab.Fetch(tr.ctx, b.URL+"/stats", &s))
			if s.LastStartMs >= thawed.UnixMilli() {
				tr.recordViolation("%s started work after it was thawed while leaving", b.Agent.ID)
			}
			restore(b)
		}},
		{"agent told to stop", func() {
			b, start := pick(), time.Now()
			b.Agent.Terminate()
			_, err := b.Agent.Wait(tr.ctx)
			tr.must(err)
			waitIdle(b, start)
			tr.must(tr.StartNode(tr.ctx, b.Agent))
			tr.must(tr.AwaitRowsReady(tr.ctx))
		}},
	})
	stop()
	tr.checkCompletions()
	if worst > 5*time.Second {
		tr.recordViolation("a leaver started work %v after it began to leave", worst)
	}
	tr.row.worst = fmt.Sprintf("last start %.1fs after leaving began", worst.Seconds())
}

// TestPlannedStop checks promise 7: a planned stop interrupts no request in progress.
func TestPlannedStop(t *testing.T) {
	tr := startTrial(t, 7, "a planned stop cuts off nothing", func(o *lab.Options) { o.Entries = 3 })
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
	stop := tr.startLoad(8, func(w, i int) (lab.Request, int) {
		return tr.chatRequest(ready(w+i).Addr, []string{"hint", "headline", "summary", lab.SmallModel}[(w+i)%4], 100+20*w)
	})
	stopService := tr.startLoad(2, func(w, i int) (lab.Request, int) {
		key := uuid.NewString()
		return lab.Request{Addr: ready(w + i).Addr, Path: lab.SmallPath, Body: []byte(key), Key: key}, 0
	})
	var worst time.Duration
	restartGracefully := func(n *lab.Node, role inventory.Role) {
		start := time.Now()
		tr.must(tr.SetVM(tr.ctx, n, role, inventory.VMLeaving))
		n.Terminate()
		code, err := n.Wait(tr.ctx)
		tr.must(err)
		if code != 0 {
			tr.recordViolation("%s ended its planned stop with code %d", n.ID, code)
		}
		worst = max(worst, time.Since(start))
		tr.must(tr.StartNode(tr.ctx, n))
		tr.must(tr.SetVM(tr.ctx, n, role, inventory.VMLive))
		tr.must(tr.AwaitRowsReady(tr.ctx))
	}
	tr.runFaultSteps([]faultStep{
		{"entry stopped", func() { restartGracefully(tr.Entries[tr.rng.IntN(3)], inventory.RoleEntry) }},
		{"planning entry stopped", func() { restartGracefully(tr.awaitPlanner(), inventory.RoleEntry) }},
		{"agent stopped", func() { restartGracefully(tr.engines()[tr.rng.IntN(3)].Agent, inventory.RoleBackend) }},
		{"agent stopped while the key-value service is out", func() {
			tr.withKVOutage(func() {
				b := tr.engines()[tr.rng.IntN(3)]
				b.Agent.Terminate()
				_, err := b.Agent.Wait(tr.ctx)
				tr.must(err)
				tr.must(tr.StartNode(tr.ctx, b.Agent))
			})
			tr.must(tr.AwaitRowsReady(tr.ctx))
		}},
	})
	stop()
	stopService()
	complete, _ := tr.checkCompletions()
	tr.checkEffects()
	refused := 0
	reasons := make(map[string]int)
	for _, s := range tr.sentRequests() {
		switch {
		case s.Outcome == wire.OutcomeNotRun:
			refused++
			reasons[s.Reason]++
		case s.Outcome != wire.OutcomeAnswered || !s.Complete:
			tr.recordViolation("request %s was cut: status %d, outcome %q, %d of %d tokens, %v", s.ID, s.Status, s.Outcome, s.Tokens, s.wantTokens, s.Err)
		}
	}
	tr.t.Logf("refused requests by reason: %v", reasons)
	tr.row.worst = fmt.Sprintf("%d whole streams, %d refused, longest stop %.1fs", complete, refused, worst.Seconds())
}
