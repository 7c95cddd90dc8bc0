package admitqueue

import (
	"math"
	"time"
)

// estimateHalfLife is the number of requests after which a duration has half of its weight.
const estimateHalfLife = 20

// An Estimator estimates the wait for a slot of a server from the durations of its requests. The zero value knows none
// and estimates 0.
type Estimator struct {
	mean  time.Duration
	known bool
}

// Observe adds the time that a request took at the server.
func (e *Estimator) Observe(d time.Duration) {
	if !e.known {
		e.mean, e.known = d, true
		return
	}
	weight := 1 - math.Exp2(-1.0/estimateHalfLife)
	e.mean += time.Duration(float64(d-e.mean) * weight)
}

// Wait estimates how long a request waits for one of the server's slots, all of which are in use, if the given number of
// requests is served before it.
func (e *Estimator) Wait(ahead, slots int) time.Duration {
	return e.mean * time.Duration(ahead+1) / time.Duration(max(slots, 1))
}
