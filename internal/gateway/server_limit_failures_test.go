package gateway_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestServerLimitUnderFailures checks that rate-limited servers do not get more requests than allowed during a failure,
// and that they are fully used again after a recoverable one.
func TestServerLimitUnderFailures(t *testing.T) {
	const (
		interval = 25 * time.Millisecond
		before   = 4 * time.Second
		after    = 9 * time.Second
		// last is the final part of after, in which the system must have recovered.
		last = 4 * time.Second
	)
	tests := map[string]struct {
		// fails causes the failure and returns the number of remaining gateways, which are the last ones in fronts.
		fails func(env *testEnv) int
		// recovers says that the servers must be fully used at the end.
		recovers bool
	}{
		"the leader stops": {fails: func(env *testEnv) int {
			stopNow(env)
			return 2
		}, recovers: true},
		"the store is away": {fails: func(env *testEnv) int {
			env.store.Fail(func(string) error { return errors.New("store unreachable") })
			return 3
		}},
		"the store comes back from a copy": {fails: func(env *testEnv) int {
			env.store.Restore(env.store.Backup())
			return 3
		}, recovers: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := []*throttledServer{newThrottledServer(t, "s0", false), newThrottledServer(t, "s1", false)}
			c := newThrottledEnv(t, false, servers)
			for _, s := range servers {
				s.setLimit("2")
			}
			c.run(interval, before)
			left := test.fails(c.env)
			c.fronts = c.fronts[len(c.fronts)-left:]
			c.run(interval, after)
			for _, s := range servers {
				got := s.maxInWindow()
				assert.Assert(t, got <= 17, "%d requests in %s", got, limitWindow)
				taken := s.countSince(time.Now().Add(-last))
				assert.Assert(t, !test.recovers || taken >= 5, "%d requests in the last %s, the server takes 8", taken, last)
			}
			c.checkRefusals(t, propagationTime)
		})
	}
}

// TestServerIsUsedAgain checks that all requests are served again within seconds after the only servers of a service
// stop announcing a rate limit.
func TestServerIsUsedAgain(t *testing.T) {
	for name, limit := range map[string]string{"few": "2", "none": "0"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := []*throttledServer{newThrottledServer(t, "s0", false), newThrottledServer(t, "s1", false)}
			c := newThrottledEnv(t, false, servers)
			for _, s := range servers {
				s.setLimit(limit)
			}
			c.run(25*time.Millisecond, 2*time.Second)
			for _, s := range servers {
				s.setLimit("")
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				c.results = nil
				c.run(25*time.Millisecond, 250*time.Millisecond)
				if refused := c.checkRefusals(t, 0); refused > 0 {
					return poll.Continue("%d of %d are refused", refused, len(c.results))
				}
				return poll.Success()
			}, poll.WithTimeout(6*time.Second))
		})
	}
}
