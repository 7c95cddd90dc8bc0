package proofs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/lab"
	"rockcleat/internal/wire"
)

// TestNotRun checks promise 4: a request refused as not run did not run. It reports, but does not
// check, how long the slowest refusal for the queue time took.
func TestNotRun(t *testing.T) {
	tr := startTrial(t, 4, "refused means not run", func(o *lab.Options) {
		o.Engine.Slots = 2
		o.ServiceDelay = 20 * time.Millisecond
		o.Services = 2
		for i := range o.Rows {
			o.Rows[i].MaxQueueTime = 100 * time.Millisecond
		}
	})
	var proxies []*faultProxy
	for _, b := range tr.Backends {
		p, _ := tr.proxyAgent(b)
		proxies = append(proxies, p)
	}
	stop := tr.startLoad(40, func(w, i int) (lab.Request, int) {
		if w%4 == 0 {
			return lab.Request{Addr: tr.runningEntry(w).Addr, Path: lab.SmallPath, Body: []byte("x")}, 0
		}
		return tr.chatRequest(tr.runningEntry(w).Addr, []string{"hint", "headline", "summary"}[i%3], 20)
	})
	waitForRequests := func() {
		n := len(tr.sentRequests())
		tr.waitUntil("requests have met the fault", func() bool { return len(tr.sentRequests()) > n+100 })
	}
	pick := func() *faultProxy { return proxies[tr.rng.IntN(len(proxies))] }
	tr.runFaultSteps([]faultStep{
		{"overload", waitForRequests},
		{"connections refused", func() { p := pick(); p.Stop(); waitForRequests(); tr.must(p.Start()) }},
		{"connection reset", func() {
			p := pick()
			p.addToxic(tr, "reset_peer", fromServer, `"timeout":10`)
			waitForRequests()
			p.removeToxics()
		}},
		{"requests late", func() {
			p := pick()
			p.addToxic(tr, "latency", fromClient, `"latency":300`)
			waitForRequests()
			p.removeToxics()
		}},
		{"agent killed", func() { tr.restart(tr.Backends[tr.rng.IntN(len(tr.Backends))].Agent); waitForRequests() }},
		{"agent leaves", func() {
			b := tr.Backends[tr.rng.IntN(len(tr.Backends))]
			b.Agent.Terminate()
			_, err := b.Agent.Wait(tr.ctx)
			tr.must(err)
			tr.must(tr.StartNode(tr.ctx, b.Agent))
			waitForRequests()
		}},
		{"entry killed", func() { tr.restart(tr.runningEntry(tr.rng.IntN(2))); waitForRequests() }},
	})
	stop()
	refused := tr.checkNotRun()
	tr.checkCompletions()
	assert.Assert(t, refused > 50, "only %d requests were refused", refused)
	var slowest time.Duration
	for _, s := range tr.sentRequests() {
		if s.Outcome == wire.OutcomeNotRun && s.Reason == "queue_time" {
			slowest = max(slowest, s.Total)
		}
	}
	tr.row.worst = fmt.Sprintf("%d refused, slowest after %dms", refused, slowest.Milliseconds())
}
