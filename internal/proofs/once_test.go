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

// startKeyedLoad sends calls with idempotency keys from several goroutines. It retries each call
// through different entries until it is answered or maxKeyAttempts is reached. stop returns the
// number of keys answered.
func (tr *trial) startKeyedLoad(workers int) (stop func() (answered int)) {
	var answered atomic.Int64
	stopWorkers := startWorkers(workers, func(w, i int, done <-chan struct{}) {
		if tr.sendKeyed(w, fmt.Sprintf("key-%d-%d", w, i), done) {
			answered.Add(1)
		}
	})
	return func() int {
		stopWorkers()
		return int(answered.Load())
	}
}

// maxKeyAttempts is the maximum number of attempts with one key.
const maxKeyAttempts = 30

func (tr *trial) sendKeyed(worker int, key string, done <-chan struct{}) bool {
	for attempt := range maxKeyAttempts {
		r := lab.Request{Addr: tr.runningEntry(worker + attempt).Addr, Path: lab.SmallPath, Body: []byte(key), Key: key}
		a := tr.send(r, 0)
		if a.Outcome == wire.OutcomeAnswered && a.Err == nil {
			// A retry after the response must not take effect again.
			tr.send(r, 0)
			return true
		}
		sleep(done, 30*time.Millisecond)
	}
	return false
}

// checkEffects checks that each key took effect at most once, that it took effect exactly once
// if any attempt was answered, and that all attempts answered got the same body.
func (tr *trial) checkEffects() {
	effects := tr.effectCounts()
	bodies := make(map[string]string)
	for _, s := range tr.sentRequests() {
		if s.Key == "" || s.Outcome != wire.OutcomeAnswered || s.Err != nil {
			continue
		}
		if effects[s.Key] != 1 {
			tr.recordViolation("key %s was answered and took effect %d times", s.Key, effects[s.Key])
		}
		if old, ok := bodies[s.Key]; ok && old != s.Response.Body {
			tr.recordViolation("key %s was answered in two ways", s.Key)
		}
		bodies[s.Key] = s.Response.Body
	}
	for key, n := range effects {
		if key != "" && n > 1 {
			tr.recordViolation("key %s took effect %d times", key, n)
		}
	}
}

// TestAtMostOnce checks promise 5: a request that must not be retried runs at most once.
func TestAtMostOnce(t *testing.T) {
	tr := startTrial(t, 5, "at most once", func(o *lab.Options) { o.Services, o.Entries = 2, 3 })
	var proxies []*faultProxy
	for _, b := range tr.Backends {
		if b.Service {
			p, _ := tr.proxyAgent(b)
			proxies = append(proxies, p)
		}
	}
	stop := tr.startKeyedLoad(12)
	waitForRequests := func() {
		n := len(tr.sentRequests())
		tr.waitUntil("requests have met the fault", func() bool { return len(tr.sentRequests()) > n+60 })
	}
	pickEntry := func() *lab.Node { return tr.Entries[tr.rng.IntN(len(tr.Entries))] }
	pickService := func() *lab.Backend {
		for {
			if b := tr.Backends[tr.rng.IntN(len(tr.Backends))]; b.Service {
				return b
			}
		}
	}
	tr.runFaultSteps([]faultStep{
		{"entry killed", func() { tr.restart(pickEntry()); waitForRequests() }},
		{"agent killed", func() { tr.restart(pickService().Agent); waitForRequests() }},
		{"entry frozen past its leases", func() {
			e := pickEntry()
			e.Freeze()
			tr.waitUntil("others have taken over", func() bool { return tr.othersAnswerKeys(e) })
			e.Thaw()
			waitForRequests()
		}},
		{"answers reset", func() {
			p := proxies[tr.rng.IntN(len(proxies))]
			p.addToxic(tr, "reset_peer", fromServer, `"timeout":3`)
			waitForRequests()
			p.removeToxics()
		}},
		{"key-value answers lost", func() {
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{LoseResponses: 10}))
			waitForRequests()
		}},
		{"key-value service out", func() { tr.withKVOutage(waitForRequests) }},
		{"key-value service out and entry killed", func() {
			tr.withKVOutage(func() { tr.restart(pickEntry()); waitForRequests() })
			waitForRequests()
		}},
		{"key-value service slow", func() {
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{DelayMs: 300}))
			waitForRequests()
			tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{}))
		}},
	})
	answered := stop()
	tr.checkEffects()
	tr.checkNotRun()
	assert.Assert(t, answered > 20, "only %d keys were answered", answered)
	tr.row.worst = fmt.Sprintf("%d keys answered", answered)
}

// othersAnswerKeys reports whether the entries other than the frozen one answer calls with new
// keys. It sends several keys, so that they fall into several shards.
func (tr *trial) othersAnswerKeys(frozen *lab.Node) bool {
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
