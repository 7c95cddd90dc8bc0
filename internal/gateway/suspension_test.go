package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/internal/config"
)

// newSuspendedWorld starts a gateway that leads, on a machine that a test suspends.
func newSuspendedWorld(t *testing.T, workers ...*worker) (*world, *clocktest.Machine) {
	machine := clocktest.NewMachine()
	w := prepareWorldOn(t, clock.NewSystemFrom(machine), func(*config.Gateway) {}, workers...)
	w.putConfig()
	w.waitReady(http.StatusOK)
	w.waitLines("leadership gained", 1)
	return w, machine
}

// TestSuspendedGatewayNoLongerLeads suspends the machine of the leader for longer than its lease: it does
// not believe in the lease any more when it wakes, before it has asked the store.
func TestSuspendedGatewayNoLongerLeads(t *testing.T) {
	w, machine := newSuspendedWorld(t)
	machine.Suspend(10 * time.Second)
	w.waitLines("leadership lost", 1)
	w.waitLines("process paused", 1)
}

// TestDeadlineCountsSuspension suspends the machine beyond the deadline of a request that waits for its
// answer: it is ended as soon as the machine wakes.
func TestDeadlineCountsSuspension(t *testing.T) {
	reached := make(chan struct{})
	x := newWorker(t, "a", func(c *call) bool {
		close(reached)
		<-c.gone
		return false
	})
	w, machine := newSuspendedWorld(t, x)
	got := make(chan reply)
	go func() { got <- w.post(pathUnsafe, "x") }()
	<-reached
	machine.Suspend(time.Minute)
	assert.Equal(t, (<-got).status, http.StatusGatewayTimeout)
}
