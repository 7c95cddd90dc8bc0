package proofs

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
)

// keyed sends calls with idempotency keys from several goroutines and retries each through
// different entries until it is answered or keyTries is reached. stop returns the number
// answered.
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

// keyTries is the maximum number of attempts with one key.
const keyTries = 30

func (tr *trial) oneKey(w int, key string, done <-chan struct{}) bool {
	for try := range keyTries {
		r := lab.Request{Addr: tr.liveEntry(w + try).Addr, Path: lab.SmallPath, Body: []byte(key), Key: key}
		a := tr.send(r, 0)
		if a.Outcome == wire.OutcomeAnswered && a.Err == nil {
			// A repetition after the response must not take effect again.
			tr.send(r, 0)
			return true
		}
		pause(done, 30*time.Millisecond)
	}
	return false
}

// checkEffects checks that each key took effect at most once, that it took effect exactly once
// if any attempt was answered, and that all attempts answered got the same body.
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

// TestAtMostOnce checks promise 5: a request that is not idempotent runs at most once.
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

// claimsWork reports whether the entries other than the frozen one answer calls with new keys.
// It sends several keys, so that they fall into several shards.
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
