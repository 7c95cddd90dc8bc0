package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/table"
)

// TestStoreRateIsUsedWithManyEngines plans as many loads from the weight store as a plan may, and starts each as soon as
// the store permits. The share of the permitted rate that starts must not fall with the number of engines, although
// plans are then further apart.
func TestStoreRateIsUsedWithManyEngines(t *testing.T) {
	const (
		// loadsPerEngine is the store's rate for each engine, in loads per second.
		loadsPerEngine = 0.144
		during         = 20 * time.Second
		minShare       = 0.9
	)
	for _, engines := range []int{50, 100, 625, 1250} {
		t.Run(fmt.Sprint(engines, " engines"), func(t *testing.T) {
			now := time.Unix(1000, 0)
			perSecond := loadsPerEngine * float64(engines)
			services := []table.Service{{Engine: &table.EngineSpec{LoadsPerSecond: perSecond}}}
			limiter := storeLoadLimiter{startFull: true}
			limiter.setRate(services, now, now)
			planned, started := 0, 0
			nextPlan := now
			for end := now.Add(during); now.Before(end); now = now.Add(stepInterval) {
				if !now.Before(nextPlan) {
					interval := planInterval(engines)
					planned += max(limiter.availableWithin(interval, now)-planned, 0)
					nextPlan = now.Add(interval)
				}
				for planned > 0 && limiter.allow(now) {
					planned--
					started++
				}
			}
			share := float64(started) / (storeRateShare * perSecond * during.Seconds())
			t.Logf("%d loads, %.2f of the permitted ones", started, share)
			assert.Assert(t, share >= minShare)
		})
	}
}
