package proofs

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/config"
	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
)

// poisonPrompt is the prompt of a request that crashes engines.
const poisonPrompt = "ends whoever runs it"

// The request is refused after it has crashed three servers. maxPoisonCrashes is higher because an entry
// may send a copy to further servers before it learns of the last crash.
const (
	poisonCopies     = 10
	maxPoisonCrashes = 5
)

// TestPoison checks promise 9: a request that crashed three servers is refused, and no other is.
func TestPoison(t *testing.T) {
	tr := startTrial(t, 9, "requests that end servers are refused", nil)
	tr.must(tr.AwaitRowsReady(tr.ctx))
	crashes := 0
	for i := range poisonCopies {
		tr.setExitOn()
		a := tr.caller.Send(tr.ctx, lab.Request{
			Addr: tr.runningEntry(i).Addr, ID: fmt.Sprint("copy-", i), Body: lab.ChatBody(lab.SmallModel, poisonPrompt, 5, true),
		})
		assert.Assert(t, a.Outcome != wire.OutcomeAnswered)
		crashes += tr.restartExitedEngines()
		if crashes >= 3 {
			tr.waitUntil("both entries refuse the request", func() bool { return tr.quarantinedEverywhere() })
		}
	}
	assert.Assert(t, crashes >= 3 && crashes <= maxPoisonCrashes, "%d engines ended under %d copies", crashes, poisonCopies)
	last := tr.caller.Send(tr.ctx, lab.Request{Addr: tr.runningEntry(0).Addr, ID: "last", Body: lab.ChatBody(lab.SmallModel, poisonPrompt, 5, true)})
	assert.Equal(t, last.Outcome, wire.OutcomeNotRun)
	for i := range len(tr.Entries) {
		r, tokens := tr.chatRequest(tr.runningEntry(i).Addr, lab.SmallModel, 5)
		assert.Equal(t, tr.send(r, tokens).Outcome, wire.OutcomeAnswered, "another request of the same model")
	}
	tr.checkCompletions()
	tr.recordFault("engine ended by a request x%d", crashes)
	tr.row.worst = fmt.Sprintf("%d engines ended", crashes)
}

// setExitOn makes every engine crash when it runs the poison request.
func (tr *trial) setExitOn() {
	for _, b := range tr.engines() {
		tr.must(lab.Fault(tr.ctx, b.URL, standin.Faults{ExitOn: poisonPrompt}))
	}
}

func (tr *trial) clearEngineFaults() {
	for _, b := range tr.engines() {
		tr.must(lab.Fault(tr.ctx, b.URL, standin.Faults{}))
	}
}

// restartExitedEngines restarts the engines that have exited, waits until every row has a ready
// server and returns the number restarted. A restarted engine has no faults.
func (tr *trial) restartExitedEngines() (exited int) {
	for _, b := range tr.engines() {
		if b.Server.Exited() {
			exited++
			tr.must(tr.RestartServer(b))
		}
	}
	tr.must(tr.AwaitRowsReady(tr.ctx))
	return exited
}

// quarantinedEverywhere reports whether the first request in the quarantine list of each entry is
// quarantined.
func (tr *trial) quarantinedEverywhere() bool {
	for _, e := range tr.Entries {
		var list wire.QuarantineList
		if err := lab.NewControlClient().Get(tr.ctx, e.Control, wire.PathQuarantine, &list); err != nil {
			return false
		}
		if len(list.Items) == 0 || list.Items[0].RemainingMs == 0 {
			return false
		}
	}
	return true
}

// TestSuccessClearsRequest checks, as part of promise 9, that after a request has run successfully
// no entry counts the servers that it crashed before. Otherwise a request that was running on three
// servers when they crashed for other reasons would be refused.
func TestSuccessClearsRequest(t *testing.T) {
	tr := startTrial(t, 9, "requests that end servers are refused", func(o *lab.Options) {
		// The request is not quarantined even if it crashes every engine.
		o.Entry = func(e *config.Entry) { e.Quarantine.Threshold = 8 }
	})
	tr.must(tr.AwaitRowsReady(tr.ctx))
	body := lab.ChatBody(lab.SmallModel, poisonPrompt, 5, true)
	tr.setExitOn()
	first := tr.caller.Send(tr.ctx, lab.Request{Addr: tr.runningEntry(0).Addr, ID: "first", Body: body})
	assert.Assert(t, first.Outcome != wire.OutcomeAnswered)
	crashes := tr.restartExitedEngines()
	assert.Assert(t, crashes > 0)
	tr.waitUntil("both entries know of the ends", func() bool { return tr.listedEverywhere(true) })
	tr.clearEngineFaults()
	second := tr.caller.Send(tr.ctx, lab.Request{Addr: tr.runningEntry(0).Addr, ID: "sound", Body: body})
	assert.Equal(t, second.Outcome, wire.OutcomeAnswered)
	tr.waitUntil("no entry suspects the request", func() bool { return tr.listedEverywhere(false) })
	tr.recordFault("engine ended by a request x%d", crashes)
}

// listedRequests returns the number of requests in the quarantine list of an entry, which includes
// those below the limit. ok is false if the entry does not respond.
func (tr *trial) listedRequests(e *lab.Node) (n int, ok bool) {
	var list wire.QuarantineList
	err := lab.NewControlClient().Get(tr.ctx, e.Control, wire.PathQuarantine, &list)
	return len(list.Items), err == nil
}

// listedEverywhere reports whether the quarantine list of every entry is non-empty if want is
// set, and empty if it is not.
func (tr *trial) listedEverywhere(want bool) bool {
	for _, e := range tr.Entries {
		if n, ok := tr.listedRequests(e); !ok || (n > 0) != want {
			return false
		}
	}
	return true
}
