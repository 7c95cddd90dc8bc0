package proofs

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
)

// TestWhole checks promise 3: a client receives the complete response to its own request.
func TestWhole(t *testing.T) {
	tr := startTrial(t, 3, "the whole answer to its own request", nil)
	models := []string{lab.SmallModel, "hint", "summary", "headline", lab.SmallAdapter}
	var proxies []*faultProxy
	for _, b := range tr.engines() {
		p, _ := tr.proxyAgent(b)
		proxies = append(proxies, p)
	}
	stop := tr.startLoad(8, func(w, i int) (lab.Request, int) {
		return tr.chatRequest(tr.runningEntry(w+i).Addr, models[(w+i)%len(models)], 10+(w*7+i)%60)
	})
	awaitAndRemove := func(p *faultProxy) {
		sentBefore := len(tr.sentRequests())
		tr.waitUntil("requests have met the fault", func() bool { return len(tr.sentRequests()) > sentBefore+20 })
		p.removeToxics()
	}
	pick := func() *faultProxy { return proxies[tr.rng.IntN(len(proxies))] }
	tr.runFaultSteps([]faultStep{
		{"connection reset mid-answer", func() {
			p := pick()
			p.addToxic(tr, "reset_peer", fromServer, fmt.Sprintf(`"timeout":%d`, 20+tr.rng.IntN(200)))
			awaitAndRemove(p)
		}},
		{"answer cut after some bytes", func() {
			p := pick()
			p.addToxic(tr, "limit_data", fromServer, fmt.Sprintf(`"bytes":%d`, 500+tr.rng.IntN(5000)))
			awaitAndRemove(p)
		}},
		{"answers late", func() {
			p := pick()
			p.addToxic(tr, "latency", fromServer, `"latency":150,"jitter":100`)
			awaitAndRemove(p)
		}},
		{"answers in small pieces", func() {
			p := pick()
			p.addToxic(tr, "slicer", fromServer, `"average_size":17,"size_variation":9,"delay":100`)
			awaitAndRemove(p)
		}},
		{"one way cut", func() {
			p := pick()
			p.addToxic(tr, "timeout", fromServer, `"timeout":0`)
			awaitAndRemove(p)
		}},
		{"engine killed under streams", func() {
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			b.Server.Kill()
			tr.must(tr.RestartServer(b))
			tr.must(tr.AwaitRowsReady(tr.ctx))
		}},
		{"agent killed under streams", func() {
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			tr.restart(b.Agent)
			tr.must(tr.AwaitRowsReady(tr.ctx))
		}},
		{"agent frozen", func() {
			b := tr.engines()[tr.rng.IntN(len(tr.engines()))]
			b.Agent.Freeze()
			sentBefore := len(tr.sentRequests())
			tr.waitUntil("requests have met the fault", func() bool { return len(tr.sentRequests()) > sentBefore+20 })
			b.Agent.Thaw()
		}},
	})
	stop()
	complete, incomplete := tr.checkCompletions()
	tr.checkNotRun()
	assert.Assert(t, complete > incomplete, "%d whole, %d not", complete, incomplete)
	tr.row.worst = fmt.Sprintf("%d whole, %d told as not whole", complete, incomplete)
}

// TestStreamContinues checks, as part of promise 3, that a stream whose engine is killed continues
// on another engine after the tokens already sent.
func TestStreamContinues(t *testing.T) {
	tr := startTrial(t, 3, "the whole answer to its own request", nil)
	for range 3 {
		tr.must(tr.AwaitRowsReady(tr.ctx))
		r, tokens := tr.chatRequest(tr.runningEntry(0).Addr, "hint", 400)
		r.ID = uuid.NewString()
		result := make(chan lab.Response, 1)
		go func() { result <- tr.send(r, tokens) }()
		var running *lab.Backend
		tr.waitUntil("the stream runs", func() bool {
			for _, b := range tr.engines() {
				var s standin.SeenResponse
				if lab.Fetch(tr.ctx, b.URL+"/seen", &s) == nil && s.Seen[r.ID] > 0 {
					running = b
					return true
				}
			}
			return false
		})
		running.Server.Kill()
		a := <-result
		assert.Assert(t, a.Complete && a.Tokens == tokens, "%d of %d tokens, status %d: %s", a.Tokens, tokens, a.Status, a.Reason)
		tr.must(tr.RestartServer(running))
	}
	tr.checkCompletions()
	tr.recordFault("engine killed under a stream x3")
}
