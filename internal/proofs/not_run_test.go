package proofs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/lab"
	"rockcleat/internal/wire"
)

// TestNotRun checks promise 4: a request refused as not run did not run. It also reports the
// slowest refusal for the queue time.
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
