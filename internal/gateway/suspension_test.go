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

// newSuspendedWorld starts a gateway that leads, on a simulated machine that can be suspended.
func newSuspendedWorld(t *testing.T, workers ...*worker) (*world, *clocktest.Machine) {
	machine := clocktest.NewMachine()
	w := prepareWorldOn(t, clock.NewSystemFrom(machine), func(*config.Gateway) {}, workers...)
	w.putConfig()
	w.waitReady(http.StatusOK)
	w.waitLines("leadership gained", 1)
	return w, machine
}

// TestSuspendedGatewayNoLongerLeads checks that a leader suspended for longer than its lease stops leading when it resumes,
// without having to ask the store.
func TestSuspendedGatewayNoLongerLeads(t *testing.T) {
	w, machine := newSuspendedWorld(t)
	machine.Suspend(10 * time.Second)
	w.waitLines("leadership lost", 1)
	w.waitLines("process paused", 1)
}

// TestDeadlineCountsSuspension checks that a request whose deadline passed during a suspension is ended on resume.
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
