package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/kv"
)

// storeCalls are all kinds of calls to the store.
var storeCalls = []string{"get", "list", "watch", "put", "delete", "grant", "keep", "revoke"}

// TestNoStoreCallWithoutRest holds what a store saw that had forgotten its history up to its newest revision: some
// 10,000 list calls a second from one gateway, until something was written. A watch from the revision of the last list
// was answered as forgotten, the list that followed had the same revision, and so the store was listed again at once.
// The proof was in the calls by kind: 16,000 lists beside 14 watches in a second and a half.
//
// It lets a gateway's store answer one kind of call, or all, with the same error for some
// time, from the gateway's start on and again once it leads: no loop calls without a rest, whatever it is answered.
// The users' store takes 2,000 reading calls a second from all gateways; of 24, in equal parts, each may make 83.
func TestNoStoreCallWithoutRest(t *testing.T) {
	const (
		during     = 600 * time.Millisecond
		mostPerSec = 83
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
				w := newWorldWithoutConfig(t, newWorker(t, "a", answer(200, "ok")))
				w.store.Fail(fail)
				w.putConfig()
				w.checkCallRate(during, mostPerSec)
				w.store.Fail(nil)
				w.waitLines("leadership gained", 1)
				w.store.Fail(fail)
				w.checkCallRate(during, mostPerSec)
			})
		}
	}
}

// checkCallRate checks that the store gets no more than some calls a second for a time.
func (w *world) checkCallRate(during time.Duration, most int) {
	w.t.Helper()
	before := w.storeCalls()
	<-time.After(during)
	perSecond := float64(w.storeCalls()-before) / during.Seconds()
	kinds := make(map[string]int)
	for _, c := range storeCalls {
		kinds[c] = w.store.Calls(c)
	}
	assert.Assert(w.t, perSecond <= float64(most), "%.0f calls a second: %v", perSecond, kinds)
}
