package admitqueue

import (
	"math"
	"time"
)

// rateHalfLife is the time after which an event has half of its weight in a Rate.
const rateHalfLife = time.Second

// A Rate is the recent rate of events. The zero value has none.
type Rate struct {
	weight float64
	last   time.Time
}

// Observe counts an event.
func (r *Rate) Observe(now time.Time) {
	r.weight = r.weightAt(now) + 1
	r.last = now
}

// PerSecond returns the rate in events per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	return r.weightAt(now) * math.Ln2 / rateHalfLife.Seconds()
}

// Last returns the time of the last event; zero if there was none.
func (r *Rate) Last() time.Time { return r.last }

func (r *Rate) weightAt(now time.Time) float64 {
	return r.weight * math.Exp2(-float64(now.Sub(r.last))/float64(rateHalfLife))
}
