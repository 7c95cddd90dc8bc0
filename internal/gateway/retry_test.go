package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/internal/config"
	"rockcleat/internal/placer"
	"rockcleat/table"
)

// TestFleetKeepsOneBudget checks that a fleet never exceeds the shared retry budget, even if each gateway uses its full
// share, a third of them restart without a leader, and one restarts repeatedly.
func TestFleetKeepsOneBudget(t *testing.T) {
	const gateways, restarted = 103, 34
	settings := config.Retry{Window: config.Duration(10 * time.Second), Ratio: 0.2, Fixed: 246}
	c := clocktest.New(time.Unix(1000, 0))
	list := make([]placer.Gateway, gateways)
	for i := range list {
		list[i] = placer.Gateway{Gateway: dispatch.Gateway{ID: fmt.Sprint("g", i)}, Addr: fmt.Sprint("a", i)}
	}
	start := func(i int, first bool) *retryBudgets {
		d := newDirectory(list[i].Addr, 6, nil, false)
		if first {
			d.set(list)
		}
		return newRetryBudgets(settings, first, c, d)
	}
	fleet := make([]*retryBudgets, gateways)
	for i := range fleet {
		fleet[i] = start(i, true)
	}
	in := &inbound{service: table.Service{Name: "llm"}}
	retryAll := func() (n int) {
		for _, b := range fleet {
			for b.take(in) {
				n++
			}
		}
		return n
	}
	retries := retryAll()
	assert.Assert(t, retries >= gateways, "each has a part")
	for i := range restarted {
		fleet[i] = start(i, false)
	}
	retries += retryAll()
	for range 5 {
		c.Advance(time.Second)
		fleet[0] = start(0, false)
		retries += retryAll()
	}
	assert.Assert(t, float64(retries) <= settings.Fixed, "%d in a window", retries)
	c.Advance(settings.Window.Std() + time.Second)
	assert.Equal(t, retryAll(), gateways-restarted, "those that know of no others have no part")
	for _, b := range fleet[:restarted] {
		b.gateways.set(list)
	}
	assert.Equal(t, retryAll(), restarted, "then they have theirs again")
}

// TestShareDoesNotGrowAtOnce checks that a gateway's share does not grow immediately when the list of gateways
// shrinks: gateways cut off from the leader still use theirs.
func TestShareDoesNotGrowAtOnce(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	d := newDirectory("a0", 6, nil, false)
	list := make([]placer.Gateway, 10)
	for i := range list {
		list[i] = placer.Gateway{Gateway: dispatch.Gateway{ID: fmt.Sprint("g", i)}, Addr: fmt.Sprint("a", i)}
	}
	d.set(list)
	window := 10 * time.Second
	b := newRetryBudgets(config.Retry{Window: config.Duration(window)}, true, c, d)
	assert.Equal(t, b.share(c.Now()), 0.1)
	d.set(list[:2])
	c.Advance(window)
	assert.Equal(t, b.share(c.Now()), 0.1)
	c.Advance(countWindows * window)
	assert.Equal(t, b.share(c.Now()), 0.5)
}
