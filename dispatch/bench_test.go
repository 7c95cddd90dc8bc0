package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// BenchmarkAcquire measures a reservation among 24 engines that hold the model, in a service of 730, while none and while
// half of the engines are paused.
func BenchmarkAcquire(b *testing.B) {
	const engines, holders = 730, 24
	for name, paused := range map[string]int{"none paused": 0, "half paused": engines / 2} {
		b.Run(name, func(b *testing.B) {
			c := clocktest.New(time.Unix(0, 0))
			var servers []backend.Server
			for i := range engines {
				s := engine(fmt.Sprintf("i-%03d", i))
				if i >= holders {
					s.Residents = nil
				}
				servers = append(servers, s)
			}
			d := dispatcher(c, servers...)
			for i := range paused {
				d.Pause(servers[2*i].ID, time.Minute)
			}
			for b.Loop() {
				res, err := d.Acquire(b.Context(), request(c))
				if err != nil {
					b.Fatal(err)
				}
				d.RecordAccepted(res.Server().ID, c.Now())
				res.Done(dispatch.Succeeded)
			}
		})
	}
}
