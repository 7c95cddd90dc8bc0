package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/dispatch"
)

// TestLoadsAddUp checks the totals after random updates of the gateways' loads.
func TestLoadsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoadTotals()
		had := make(map[int]map[string]dispatch.Load)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			g := rapid.IntRange(0, 3).Draw(t, "gateway")
			now := make(map[string]dispatch.Load)
			for range rapid.IntRange(0, 4).Draw(t, "servers") {
				id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server"))
				now[id] = dispatch.Load{Running: rapid.IntRange(1, 9).Draw(t, "running"), UsedTokens: 10}
			}
			l.update(had[g], now)
			had[g] = now
		}
		others, partial := l.excluding(had[0], time.Unix(1000, 0))
		assert.Assert(t, !partial)
		want := make(map[string]dispatch.Load)
		for g, x := range had {
			for id, load := range x {
				if g != 0 {
					sum := want[id]
					sum.Running += load.Running
					sum.UsedTokens += load.UsedTokens
					want[id] = sum
				}
			}
		}
		assert.DeepEqual(t, others, want)
	})
}

// TestOnlyTheBusiestAreSent checks that only the busiest servers are listed if there are more than
// maxReportedServers.
func TestOnlyTheBusiestAreSent(t *testing.T) {
	l := newLoadTotals()
	all := make(map[string]dispatch.Load)
	for i := range 3 * maxReportedServers {
		all[fmt.Sprint("s", i)] = dispatch.Load{Running: i + 1}
	}
	l.update(nil, all)
	others, partial := l.excluding(map[string]dispatch.Load{"s191": {Running: 100}}, time.Unix(1000, 0))
	assert.Assert(t, partial)
	assert.Equal(t, len(others), maxReportedServers)
	assert.Equal(t, others["s191"].Running, 92)
	assert.Equal(t, others["s190"].Running, 191)
	_, sent := others["s0"]
	assert.Assert(t, !sent)
}
