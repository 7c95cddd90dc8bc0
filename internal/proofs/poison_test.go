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

// poisonMark stands in the prompt of a request under which engines end.
const poisonMark = "ends whoever runs it"

// Bounds of what such a request may do: after the third end it is refused. A copy may be sent to further
// servers while the end of the last one is not known to its entry.
const (
	poisonCopies = 10
	maxPoisonEnd = 5
)

// Promise 9: a request under which three servers ended is refused, and no other is.
func TestPoison(t *testing.T) {
	tr := start(t, 9, "requests that end servers are refused", nil)
	tr.must(tr.AwaitRowsReady(tr.ctx))
	ends := 0
	for i := range poisonCopies {
		tr.mark()
		a := tr.caller.Send(tr.ctx, lab.Request{
			Addr: tr.liveEntry(i).Addr, ID: fmt.Sprint("copy-", i), Body: lab.ChatBody(lab.SmallModel, poisonMark, 5, true),
		})
		assert.Assert(t, a.Outcome != wire.OutcomeAnswered)
		ends += tr.restartEnded()
		if ends >= 3 {
			tr.until("both entries refuse the request", func() bool { return tr.quarantinedEverywhere() })
		}
	}
	assert.Assert(t, ends >= 3 && ends <= maxPoisonEnd, "%d engines ended under %d copies", ends, poisonCopies)
	last := tr.caller.Send(tr.ctx, lab.Request{Addr: tr.liveEntry(0).Addr, ID: "last", Body: lab.ChatBody(lab.SmallModel, poisonMark, 5, true)})
	assert.Equal(t, last.Outcome, wire.OutcomeNotRun)
	for i := range len(tr.Entries) {
		r, tokens := tr.chat(tr.liveEntry(i).Addr, lab.SmallModel, 5)
		assert.Equal(t, tr.send(r, tokens).Outcome, wire.OutcomeAnswered, "another request of the same model")
	}
	tr.checkChats()
	tr.fault("engine ended by a request x%d", ends)
	tr.row.worst = fmt.Sprintf("%d engines ended", ends)
}

// mark makes every engine end under the request.
func (tr *trial) mark() {
	for _, b := range tr.engines() {
		tr.must(lab.Fault(tr.ctx, b.URL, standin.Faults{ExitOn: poisonMark}))
	}
}

// unmark makes the engines sound.
func (tr *trial) unmark() {
	for _, b := range tr.engines() {
		tr.must(lab.Fault(tr.ctx, b.URL, standin.Faults{}))
	}
}

// restartEnded starts the engines anew that have ended, and returns their number.
func (tr *trial) restartEnded() (ended int) {
	for _, b := range tr.engines() {
		if b.Server.Exited() {
			ended++
			tr.must(tr.RestartServer(b))
		}
	}
	tr.must(tr.AwaitRowsReady(tr.ctx))
	return ended
}

// quarantinedEverywhere reports whether each entry has a request in quarantine.
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

// Promise 9: a request that runs well after servers have ended under it counts as sound again at every
// entry. Without that, one that was at three servers which ended for other reasons was refused, however
// often it had run well between.
func TestSoundRequest(t *testing.T) {
	tr := start(t, 9, "requests that end servers are refused", func(o *lab.Options) {
		// All engines may end under the request before it is refused.
		o.Entry = func(e *config.Entry) { e.Quarantine.Threshold = 8 }
	})
	tr.must(tr.AwaitRowsReady(tr.ctx))
	body := lab.ChatBody(lab.SmallModel, poisonMark, 5, true)
	tr.mark()
	first := tr.caller.Send(tr.ctx, lab.Request{Addr: tr.liveEntry(0).Addr, ID: "first", Body: body})
	assert.Assert(t, first.Outcome != wire.OutcomeAnswered)
	// Engines that start anew are sound.
	ended := tr.restartEnded()
	assert.Assert(t, ended > 0)
	tr.until("both entries know of the ends", func() bool { return tr.suspectedEverywhere(true) })
	tr.unmark()
	sound := tr.caller.Send(tr.ctx, lab.Request{Addr: tr.liveEntry(0).Addr, ID: "sound", Body: body})
	assert.Equal(t, sound.Outcome, wire.OutcomeAnswered)
	tr.until("no entry suspects the request", func() bool { return tr.suspectedEverywhere(false) })
	tr.fault("engine ended by a request x%d", ended)
}

// suspects returns the number of requests under which an entry knows of ends; it reports false if the entry
// does not answer.
func (tr *trial) suspects(e *lab.Node) (n int, ok bool) {
	var list wire.QuarantineList
	err := lab.NewControlClient().Get(tr.ctx, e.Control, wire.PathQuarantine, &list)
	return len(list.Items), err == nil
}

// suspectedEverywhere reports whether each entry knows of ends under a request, or with want false that none
// does.
func (tr *trial) suspectedEverywhere(want bool) bool {
	for _, e := range tr.Entries {
		if n, ok := tr.suspects(e); !ok || (n > 0) != want {
			return false
		}
	}
	return true
}
