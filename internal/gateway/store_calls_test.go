package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/kv"
)

// storeCalls lists all kinds of calls to the store.
var storeCalls = []string{"get", "list", "watch", "put", "delete", "grant", "keep", "revoke"}

// TestStoreCallRate checks that no loop calls the store without a pause, whatever error the store returns, both when
// the gateway starts and when it leads. The limit is one gateway's share of the store's capacity of 2,000 reads per
// second, for 24 gateways.
func TestStoreCallRate(t *testing.T) {
	const (
		during       = 600 * time.Millisecond
		maxPerSecond = 83
	)
	outcomes := map[string]error{
		"not found": kv.ErrNotFound, "conflict": kv.ErrConflict, "lease gone": kv.ErrLeaseGone, "rate limited": kv.ErrRateLimited,
		"unavailable": kv.ErrUnavailable, "unknown": kv.ErrUnknown, "compacted": kv.ErrCompacted,
	}
	for outcome, err := range outcomes {
		for _, call := range append([]string{"all"}, storeCalls...) {
			t.Run(call+" "+outcome, func(t *testing.T) {
				t.Parallel()
				fail := func(c string) error {
					if call == "all" || c == call {
						return err
					}
					return nil
				}
				env := newTestEnvWithoutConfig(t, newFakeServer(t, "a", respond(200, "ok")))
				env.store.Fail(fail)
				env.putConfig()
				env.checkCallRate(during, maxPerSecond)
				env.store.Fail(nil)
				env.awaitLines("leadership gained", 1)
				env.store.Fail(fail)
				env.checkCallRate(during, maxPerSecond)
			})
		}
	}
}

// checkCallRate checks that the store gets at most the given number of calls per second.
func (env *testEnv) checkCallRate(during time.Duration, maxPerSecond int) {
	env.t.Helper()
	before := env.storeCalls()
	<-time.After(during)
	perSecond := float64(env.storeCalls()-before) / during.Seconds()
	kinds := make(map[string]int)
	for _, c := range storeCalls {
		kinds[c] = env.store.Calls(c)
	}
	assert.Assert(env.t, perSecond <= float64(maxPerSecond), "%.0f calls a second: %v", perSecond, kinds)
}
