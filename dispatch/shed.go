package dispatch

import (
	"math"
	"time"
)

// Bounds of how much better less urgent requests may be served than more urgent ones
// (docs/design/0010).
const (
	// successHalfLife is how fast the results of requests are forgotten.
	successHalfLife = 10 * time.Second
	// shedMargin is the difference of success rates from which on the less urgent are shed.
	shedMargin = 0.1
	// minShedWeight is the number of requests, less what is forgotten, from which on the
	// success rate of a priority counts.
	minShedWeight = 4
)

// A shedder decides, for one service under load, whether requests of a priority are
// refused instead of waiting, since more urgent ones are served worse.
//
// The order of waiting alone puts urgent requests at a disadvantage: they are late soon,
// while the others still have time and are served in the next lull.
//
// Its zero value knows of no requests.
type shedder struct {
	byPriority map[int]*successRate
}

// A successRate is a decayed average of the results of one priority's requests.
type successRate struct {
	// weight counts requests and sum their results, both decayed up to when.
	weight, sum float64
	when        time.Time
}

// value returns the average result, 0 to 1, and the weight behind it.
func (r *successRate) value(now time.Time) (rate, weight float64) {
	if r.weight == 0 {
		return 1, 0
	}
	return r.sum / r.weight, r.weight * decay(now.Sub(r.when))
}

func decay(d time.Duration) float64 { return math.Exp2(-float64(d) / float64(successHalfLife)) }

// observe counts the result of a request, from 0 (not served) to 1 (served in time).
func (s *shedder) observe(priority int, result float64, now time.Time) {
	if s.byPriority == nil {
		s.byPriority = make(map[int]*successRate)
	}
	rate := s.byPriority[priority]
	if rate == nil {
		rate = &successRate{}
		s.byPriority[priority] = rate
	}
	left := decay(now.Sub(rate.when))
	rate.weight = rate.weight*left + 1
	rate.sum = rate.sum*left + result
	rate.when = now
}

// sheds reports whether requests of a priority are served so much better than more urgent
// ones that they are shed.
func (s *shedder) sheds(priority int, now time.Time) bool {
	rate, ok := s.byPriority[priority]
	if !ok {
		return false
	}
	own, _ := rate.value(now)
	for p, other := range s.byPriority {
		if p >= priority {
			continue
		}
		urgent, weight := other.value(now)
		if weight >= minShedWeight && own > urgent+shedMargin {
			return true
		}
	}
	return false
}

// RecordResult records how well a request was served, from 0 (not at all) to 1 (in time). It
// is called only for results that depend on load.
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

// sheds reports whether a request that would have to wait is refused in favour of more
// urgent ones that wait already. One that may have run is never shed.
func (d *Dispatcher) sheds(r *Request) bool {
	s := d.shedders[r.Service]
	return s != nil && !r.MayHaveRun && d.moreUrgentWaits(r) && s.sheds(r.Priority, d.opts.Clock.Now())
}

// moreUrgentWaits reports whether a more urgent request of the same service waits for
// capacity; one whose model no server holds waits for a load, not for capacity of others.
func (d *Dispatcher) moreUrgentWaits(r *Request) bool {
	for _, w := range d.waiting.list {
		if w.req.Priority >= r.Priority {
			return false
		}
		if w.req.Service == r.Service && d.holderCount(w.req) > 0 {
			return true
		}
	}
	return false
}
