package dispatch

import (
	"math"
	"time"
)

// Bounds of how much better less urgent requests may fare than more urgent ones.
const (
	// balanceHalfLife is how fast what became of requests is forgotten.
	successHalfLife = 10 * time.Second
	// balanceMargin is the part of their credit by which less urgent requests may fare
	// better before they give way.
	shedMargin = 0.1
	// balanceLeast is the number of requests, as far as they are not forgotten, from which
	// on an urgency counts.
	minShedWeight = 4
)

// A balance follows the attainment of each priority of one service under load.
//
// Waiting alone puts urgent requests at a disadvantage: they are late soon, while the
// others still have time and are served in the next lull. So the others give way as well.
//
// Its zero value knows of no requests.
type shedder struct {
	byPriority map[int]*successRate
}

// An attainment sums up what requests of one priority have earned, fading with time.
type successRate struct {
	owed, earned float64
	when         time.Time
}

// share returns the part of what was owed that was earned, and how much was owed.
func (a *successRate) value(now time.Time) (share, owed float64) {
	if a.owed == 0 {
		return 1, 0
	}
	return a.earned / a.owed, a.owed * decay(now.Sub(a.when))
}

func decay(d time.Duration) float64 { return math.Exp2(-float64(d) / float64(successHalfLife)) }

// note counts a request that earned a part of its credit, 0 to 1.
func (b *shedder) observe(priority int, earned float64, now time.Time) {
	if b.byPriority == nil {
		b.byPriority = make(map[int]*successRate)
	}
	a := b.byPriority[priority]
	if a == nil {
		a = &successRate{}
		b.byPriority[priority] = a
	}
	left := decay(now.Sub(a.when))
	a.owed = a.owed*left + 1
	a.earned = a.earned*left + earned
	a.when = now
}

// yields reports whether requests of a priority fare so much better than more urgent ones
// that they give way.
func (b *shedder) sheds(priority int, now time.Time) bool {
	own, ok := b.byPriority[priority]
	if !ok {
		return false
	}
	share, _ := own.value(now)
	for p, a := range b.byPriority {
		if p >= priority {
			continue
		}
		urgent, owed := a.value(now)
		if owed >= minShedWeight && share > urgent+shedMargin {
			return true
		}
	}
	return false
}

// Attained tells which part of its credit a request has earned, 0 to 1, as far as that was
// a matter of load.
func (d *Dispatcher) RecordResult(r *Request, earned float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.shedders[r.Service]
	if b == nil {
		b = &shedder{}
		d.shedders[r.Service] = b
	}
	b.observe(r.Priority, earned, d.opts.Clock.Now())
}

// yields reports whether a request that would have to wait gives way to more urgent ones
// that wait for a place already.
func (d *Dispatcher) sheds(r *Request) bool {
	b := d.shedders[r.Service]
	return b != nil && !r.MayHaveRun && d.moreUrgentWait(r) && b.sheds(r.Priority, d.opts.Clock.Now())
}

// moreUrgentWait reports whether a more urgent request of the same service waits for a
// place; one that waits for a model that no server holds needs no place of others.
func (d *Dispatcher) moreUrgentWait(r *Request) bool {
	for _, w := range d.waiting {
		if w.req.Priority >= r.Priority {
			return false
		}
		if w.req.Service == r.Service && d.held(w.req) {
			return true
		}
	}
	return false
}
