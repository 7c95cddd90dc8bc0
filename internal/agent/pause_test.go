package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/fairqueue"
	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// TestPausedAgent checks that after a pause an agent refuses new requests until it receives a
// planner's message sent after the pause.
func TestPausedAgent(t *testing.T) {
	f := newFixture(t)
	h := listenFor(t, f)
	f.clock.Advance(100 * time.Millisecond)
	f.mu.Lock()
	f.planner.lastTick = f.clock.Now().Add(-time.Minute)
	f.handlePause(f.clock.Now())
	f.mu.Unlock()
	refuses := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.clock.Now().Before(f.planner.refuseUntil)
	}
	assert.Assert(t, refuses())
	_, a := post(t, h, secret, wire.Exchange{Cell: "c", Token: 1})
	assert.Assert(t, refuses(), "a message from before the pause counts as news")
	post(t, h, secret, wire.Exchange{Cell: "c", Token: 1, Pauses: a.Pauses})
	assert.Assert(t, !refuses())
}

// TestLeavingAfterPause checks that an agent that is listed as leaving after a pause goes on refusing
// new requests.
func TestLeavingAfterPause(t *testing.T) {
	f := newFixture(t)
	h := listenFor(t, f)
	f.pause()
	assert.Assert(t, f.pausedSince(0))
	_, a := post(t, h, secret, wire.Exchange{Cell: "c", Token: 1})
	post(t, h, secret, wire.Exchange{Cell: "c", Token: 1, Pauses: a.Pauses, Leaving: true, List: 1})
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, f.clock.Now().Before(f.planner.refuseUntil))
}

// pause makes the agent's last tick older than the minimum pause.
func (f *fixture) pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.lastTick = f.clock.Now().Add(-2 * minPause)
}

// waitsForSlot calls waitForSlot in the background and returns its results.
func (f *fixture) waitsForSlot() <-chan slotResult {
	results := make(chan slotResult, 1)
	go func() {
		t, grant, refusal := f.waitForSlot(httptest.NewRequest(http.MethodPost, "/", nil), table.Row{Name: "a", MaxSlotShare: 100, MaxQueueTime: time.Hour})
		results <- slotResult{t, grant, refusal}
	}()
	return results
}

type slotResult struct {
	ticket  *fairqueue.Ticket
	grant   slotGrant
	refusal *fairqueue.Refusal
}

// newOneSlotFixture returns an agent whose server has one slot, for the model "a".
func newOneSlotFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.engine.status.Slots = 1
	f.engine.status.Residents = []fleet.Resident{{Name: "a", State: fleet.StateReady, MemoryMiB: 60}}
	f.takeOver()
	f.stepQueue(f.clock.Now())
	return f
}

// TestNoGrantAfterPause checks that the slot of a request that ends after a pause is not granted to a
// request that waited during the pause.
func TestNoGrantAfterPause(t *testing.T) {
	f := newOneSlotFixture(t)
	running := <-f.waitsForSlot()
	second := f.waitsForSlot()
	awaitWaiting(t, f, 1)
	f.pause()
	f.finish(running.ticket, 1)
	waited := <-second
	assert.Assert(t, waited.refusal != nil, "a request that waited during a pause was granted a slot")
	assert.Equal(t, waited.refusal.Reason, reasonPaused)
}

// TestNoTickAfterPause checks that a tick that began before a pause grants no slot after it.
func TestNoTickAfterPause(t *testing.T) {
	f := newOneSlotFixture(t)
	began := f.clock.Now()
	slot, ok := f.server.slots.Take("a")
	assert.Assert(t, ok)
	waiting := f.waitsForSlot()
	awaitWaiting(t, f, 1)
	f.server.slots.Release(slot)
	f.clock.Advance(2 * minPause)
	f.stepQueue(began)
	result := <-waiting
	assert.Assert(t, result.refusal != nil, "a tick from before a pause granted a slot")
	assert.Equal(t, result.refusal.Reason, reasonPaused)
}

// TestNotSentAfterPause checks that a request that was granted a slot before a pause is refused and
// not sent to the server after it.
func TestNotSentAfterPause(t *testing.T) {
	f := newOneSlotFixture(t)
	result := <-f.waitsForSlot()
	assert.Assert(t, !f.pausedSince(result.grant.pauses))
	f.pause()
	assert.Assert(t, f.pausedSince(result.grant.pauses))
}

// awaitWaiting waits until n requests are waiting for a slot.
func awaitWaiting(t *testing.T, f *fixture, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.workload.queue.Waiting() == n {
			return poll.Success()
		}
		return poll.Continue("%d requests are waiting, want %d", f.workload.queue.Waiting(), n)
	})
}
