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

// newSuspendableEnv starts a gateway that leads, on a simulated machine that can be suspended.
func newSuspendableEnv(t *testing.T, servers ...*fakeServer) (*testEnv, *clocktest.Source) {
	machine := clocktest.NewSource()
	env := prepareTestEnvWithClock(t, clock.NewSystemFrom(machine), func(*config.Gateway) {}, servers...)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	env.awaitLines("leadership gained", 1)
	return env, machine
}

// TestSuspendedGatewayNoLongerLeads checks that a leader suspended for longer than its lease stops leading when it
// resumes, without a call to the store.
func TestSuspendedGatewayNoLongerLeads(t *testing.T) {
	env, machine := newSuspendableEnv(t)
	machine.Suspend(10 * time.Second)
	env.awaitLines("leadership lost", 1)
	env.awaitLines("process paused", 1)
}

// TestDeadlineCountsSuspension checks that a request whose deadline passed during a suspension is ended on resume.
func TestDeadlineCountsSuspension(t *testing.T) {
	reached := make(chan struct{})
	server := newFakeServer(t, "a", func(c *call) bool {
		close(reached)
		<-c.gone
		return false
	})
	env, machine := newSuspendableEnv(t, server)
	got := make(chan reply)
	go func() { got <- env.post(pathUnsafe, "x") }()
	<-reached
	machine.Suspend(time.Minute)
	assert.Equal(t, (<-got).status, http.StatusGatewayTimeout)
}
