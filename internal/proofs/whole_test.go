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

// TestStreamGoesOn checks, as part of promise 3, that a stream whose engine is killed continues on
// another engine after the tokens already sent.
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
