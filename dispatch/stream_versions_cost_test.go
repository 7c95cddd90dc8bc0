package dispatch_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// fleetInRelease returns the 730 servers of the planned size, which hold 510 models and run a number of versions with names
// of twenty letters.
func fleetInRelease(versions int) []backend.Server {
	list := make([]backend.Server, 730)
	for i := range list {
		list[i] = engineAt(fmt.Sprint("e", i), fmt.Sprintf("release-2026-12-04-%d", i%versions))
		list[i].Residents = nil
		for j := range 3 {
			list[i].Residents = append(list[i].Residents, backend.Resident{Model: fmt.Sprint("m", (3*i+j)%510)})
		}
	}
	return list
}

// demandBytes returns the bytes a second of the changed demands in the reports of one of 340 gateways, which gets 12.6 requests
// a second that take five seconds each, a part of them resumable.
func demandBytes(t *testing.T, versions int, resumable float64) float64 {
	const (
		perSecond = 12.6
		seconds   = 60
	)
	c := clocktest.New(time.Unix(1000, 0))
	d := dispatcher(c, fleetInRelease(versions)...)
	r := rand.New(rand.NewPCG(7, 0))
	reported := make(map[string]dispatch.Demand)
	sent, bytes := 0, 0
	for second := range seconds {
		for ; float64(sent) < perSecond*float64(second+1); sent++ {
			req := request(c)
			req.Model, req.Resumable = fmt.Sprint("m", r.IntN(510)), r.Float64() < resumable
			res, err := d.Acquire(t.Context(), req)
			assert.NilError(t, err)
			c.AfterFunc(5*time.Second, func() { res.Done(dispatch.Succeeded) })
		}
		c.Advance(time.Second)
		demands, changed := d.Demands(), make(map[string]dispatch.Demand)
		for name, x := range demands {
			if reported[name] != x {
				changed[name] = x
			}
		}
		reported = demands
		data, err := json.Marshal(changed)
		assert.NilError(t, err)
		bytes += len(data)
	}
	return float64(bytes) / seconds
}

// TestReportBytesOfStreams guards against reports that grow by more than a tenth of the 5 KB/s that a gateway's control traffic
// may use, and against bytes while servers run one version.
func TestReportBytesOfStreams(t *testing.T) {
	const maxBytesPerSecond = 512
	for _, resumable := range []float64{0.059, 0.37} {
		without, none := demandBytes(t, 1, 0), demandBytes(t, 1, resumable)
		assert.Equal(t, none, without)
		for _, versions := range []int{2, 3} {
			added := demandBytes(t, versions, resumable) - without
			t.Logf("%.1f %% resumable, %d versions: %.0f B/s more than %.0f", 100*resumable, versions, added, without)
			assert.Assert(t, added <= maxBytesPerSecond, "%v B/s", added)
		}
	}
}

// BenchmarkDemandsInRelease measures the demand of a gateway with one stream of each model.
func BenchmarkDemandsInRelease(b *testing.B) {
	for _, versions := range []int{1, 2, 3} {
		b.Run(fmt.Sprint(versions, " versions"), func(b *testing.B) {
			c := clocktest.New(time.Unix(1000, 0))
			d := dispatcher(c, fleetInRelease(versions)...)
			for i := range 510 {
				r := request(c)
				r.Model, r.Resumable = fmt.Sprint("m", i), true
				_, err := d.Acquire(b.Context(), r)
				assert.NilError(b, err)
			}
			for b.Loop() {
				d.Demands()
			}
		})
	}
}
