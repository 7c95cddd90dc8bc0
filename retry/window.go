package retry

import (
	"sync"
	"time"
)

// windowParts is the number of buckets that a Window's length is divided into. A count expires at
// most one bucket late.
const windowParts = 20

// A Window limits the retries within any span of its length to Ratio times the first attempts in
// that span plus a share of Fixed. It is safe for concurrent use.
//
// The zero value allows no retries.
type Window struct {
	// Length is the duration of the sliding window.
	Length time.Duration
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64
	// Fixed is the number of retries allowed in addition to Ratio, summed over all processes.
	Fixed float64

	mu    sync.Mutex
	parts [windowParts + 1]windowPart
}

// A windowPart counts the attempts in one bucket of time; number is the index of the bucket since
// the Unix epoch.
type windowPart struct {
	number          int64
	firsts, retries int
}

// First records a first attempt.
func (w *Window) First(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part(now).firsts++
}

// Allow reports whether a retry is allowed and records it if so. share is the fraction of Fixed
// that belongs to this process, 0 to 1.
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
