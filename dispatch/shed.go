package dispatch

import (
	"math"
	"time"
)

// Parameters of load shedding (docs/design/0010).
const (
	// successHalfLife is the half-life of recorded results.
	successHalfLife = 10 * time.Second
	// shedMargin is how far the success rate of a priority must exceed that of a higher priority
	// before it is shed.
	shedMargin = 0.1
	// minResultWeight is the decayed number of results that a priority needs for its success rate
	// to be compared.
	minResultWeight = 4
)

// A shedder decides, for one service under load, whether requests of a priority are refused instead
// of waiting because requests of higher priority have a lower success rate.
//
// The wait queue alone cannot ensure this: requests with tight objectives become late early, while
// requests of lower priority with longer objectives still have time and are served when the load
// drops.
//
// The zero value has no results.
type shedder struct {
	byPriority map[int]*successRate
}

// A successRate is the exponentially decayed average of the results of one priority.
type successRate struct {
	// weight is the decayed number of results and sum their decayed sum, both as of updatedAt.
	weight, sum float64
	updatedAt   time.Time
}

// value returns the average result, 0 to 1, and the decayed number of results. Without results the
// average is 1.
func (r *successRate) value(now time.Time) (rate, weight float64) {
	if r.weight == 0 {
		return 1, 0
	}
	return r.sum / r.weight, r.weight * decayFactor(now.Sub(r.updatedAt))
}

func decayFactor(d time.Duration) float64 { return math.Exp2(-float64(d) / float64(successHalfLife)) }

// observe records a result, from 0 (not served) to 1 (served in time).
func (s *shedder) observe(priority int, result float64, now time.Time) {
	if s.byPriority == nil {
		s.byPriority = make(map[int]*successRate)
	}
	rate := s.byPriority[priority]
	if rate == nil {
		rate = &successRate{}
		s.byPriority[priority] = rate
	}
	factor := decayFactor(now.Sub(rate.updatedAt))
	rate.weight = rate.weight*factor + 1
	rate.sum = rate.sum*factor + result
	rate.updatedAt = now
}

// shouldShed reports whether requests of a priority are to be shed.
func (s *shedder) shouldShed(priority int, now time.Time) bool {
	rate, ok := s.byPriority[priority]
	if !ok {
		return false
	}
	ownRate, _ := rate.value(now)
	for p, other := range s.byPriority {
		if p >= priority {
			continue
		}
		higherRate, weight := other.value(now)
		if weight >= minResultWeight && ownRate > higherRate+shedMargin {
			return true
		}
	}
	return false
}

// RecordResult records how well a request was served, from 0 (not served) to 1 (served in time).
// Results that do not depend on load must not be recorded.
func (d *Dispatcher) RecordResult(r *Request, result float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shedders[r.Service]
	if s == nil {
		s = &shedder{}
		d.shedders[r.Service] = s
	}
	s.observe(r.Priority, result, d.opts.Clock.Now())
}

// shouldShed reports whether a request that would have to wait is refused in favour of waiting
// requests with higher priority. A request that may have run is never shed. d.mu must be held.
func (d *Dispatcher) shouldShed(r *Request) bool {
	s := d.shedders[r.Service]
	return s != nil && !r.MayHaveRun && d.higherPriorityWaits(r) && s.shouldShed(r.Priority, d.opts.Clock.Now())
}

// higherPriorityWaits reports whether a request with higher priority waits for capacity of the same
// service. A request whose model no server holds does not count, since it waits for the model to be
// loaded.
func (d *Dispatcher) higherPriorityWaits(r *Request) bool {
	for _, w := range d.queue.list {
		if w.req.Priority >= r.Priority {
			return false
		}
		if w.req.Service == r.Service && d.holderCount(w.req) > 0 {
			return true
		}
	}
	return false
}
