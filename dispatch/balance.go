package dispatch

import (
	"math"
	"time"
)

// Bounds of how much better less urgent requests may fare than more urgent ones.
const (
	// balanceHalfLife is how fast what became of requests is forgotten.
	balanceHalfLife = 10 * time.Second
	// balanceMargin is the part of their credit by which less urgent requests may fare
	// better before they give way.
	balanceMargin = 0.1
	// balanceLeast is the number of requests, as far as they are not forgotten, from which
	// on an urgency counts.
	balanceLeast = 4
)

// A balance follows how requests of each priority of one service fare under load.
//
// Waiting alone puts urgent requests at a disadvantage: they are late soon, while the
// others still have time and are served in the next lull. So the others give way as well.
//
// Its zero value knows of no requests.
type balance struct {
	fared map[int]*fared
}

// fared sums up what requests of one priority have earned, fading with time.
type fared struct {
	owed, earned float64
	when         time.Time
}

// share returns the part of what was owed that was earned, and how much was owed.
func (f *fared) share(now time.Time) (share, owed float64) {
	if f.owed == 0 {
		return 1, 0
	}
	return f.earned / f.owed, f.owed * fade(now.Sub(f.when))
}

func fade(d time.Duration) float64 { return math.Exp2(-float64(d) / float64(balanceHalfLife)) }

// note counts a request that earned a part of its credit, 0 to 1.
func (b *balance) note(priority int, earned float64, now time.Time) {
	if b.fared == nil {
		b.fared = make(map[int]*fared)
	}
	f := b.fared[priority]
	if f == nil {
		f = &fared{}
		b.fared[priority] = f
	}
	left := fade(now.Sub(f.when))
	f.owed = f.owed*left + 1
	f.earned = f.earned*left + earned
	f.when = now
}

// yields reports whether requests of a priority fare so much better than more urgent ones
// that they give way.
func (b *balance) yields(priority int, now time.Time) bool {
	own, ok := b.fared[priority]
	if !ok {
		return false
	}
	share, _ := own.share(now)
	for p, f := range b.fared {
		if p >= priority {
			continue
		}
		urgent, owed := f.share(now)
		if owed >= balanceLeast && share > urgent+balanceMargin {
			return true
		}
	}
	return false
}

// Fared tells which part of its credit a request has earned, 0 to 1, as far as that was a
// matter of load.
func (d *Dispatcher) Fared(r *Request, earned float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.balances[r.Service]
	if b == nil {
		b = &balance{}
		d.balances[r.Service] = b
	}
	b.note(r.Priority, earned, d.opts.Clock.Now())
}

// yields reports whether a request that would have to wait gives way to more urgent ones
// that wait already.
func (d *Dispatcher) yields(r *Request) bool {
	b := d.balances[r.Service]
	return b != nil && !r.Begun && d.moreUrgentWait(r) && b.yields(r.Priority, d.opts.Clock.Now())
}

func (d *Dispatcher) moreUrgentWait(r *Request) bool {
	for _, w := range d.waiting {
		if w.req.Priority >= r.Priority {
			return false
		}
		if w.req.Service == r.Service {
			return true
		}
	}
	return false
}
