package retry

import (
	"sync"
	"time"
)

// windowParts is the number of parts that a Window's time is counted in: counts go out of
// the window a twentieth of its length late at most.
const windowParts = 20

// A Window bounds the retries in any span of a length by a ratio of the first tries in it
// and a fixed number; it is safe for concurrent use.
//
// Its zero value allows no retry.
type Window struct {
	// Length is the span that retries are counted over.
	Length time.Duration
	// Ratio is the number of retries allowed for each first try, without a unit.
	Ratio float64
	// Fixed is the number of retries allowed beside those, in all processes together.
	Fixed float64

	mu    sync.Mutex
	parts [windowParts + 1]windowPart
}

// windowPart counts one part of the time; number says which.
type windowPart struct {
	number          int64
	firsts, retries int
}

// First counts a first try.
func (w *Window) First(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part(now).firsts++
}

// Allow counts a retry and reports whether there was room for it; share is the part of
// Fixed that is this process's own, 0 to 1.
func (w *Window) Allow(now time.Time, share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	firsts, retries := w.sum(now)
	if float64(retries+1) > w.Ratio*float64(firsts)+w.Fixed*share {
		return false
	}
	w.part(now).retries++
	return true
}

func (w *Window) number(now time.Time) int64 {
	return now.UnixNano() / max(int64(w.Length)/windowParts, 1)
}

func (w *Window) part(now time.Time) *windowPart {
	n := w.number(now)
	p := &w.parts[n%int64(len(w.parts))]
	if p.number != n {
		*p = windowPart{number: n}
	}
	return p
}

func (w *Window) sum(now time.Time) (firsts, retries int) {
	n := w.number(now)
	for _, p := range w.parts {
		if p.number > n-int64(len(w.parts)) && p.number <= n {
			firsts += p.firsts
			retries += p.retries
		}
	}
	return firsts, retries
}
