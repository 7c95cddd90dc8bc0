package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets that a Window's length is divided into. A count expires at
// most one bucket late.
const windowBuckets = 20

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

	mu      sync.Mutex
	buckets [windowBuckets + 1]bucket
}

// A bucket counts the attempts in one interval; index is the number of that interval since the Unix
// epoch.
type bucket struct {
	index                  int64
	firstAttempts, retries int
}

// First records a first attempt.
func (w *Window) First(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucketAt(now).firstAttempts++
}

// Allow reports whether a retry is allowed and records it if so. share is the fraction of Fixed
// that belongs to this process, 0 to 1.
func (w *Window) Allow(now time.Time, share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	firstAttempts, retries := w.totals(now)
	if float64(retries+1) > w.Ratio*float64(firstAttempts)+w.Fixed*share {
		return false
	}
	w.bucketAt(now).retries++
	return true
}

func (w *Window) indexAt(now time.Time) int64 {
	return now.UnixNano() / max(int64(w.Length)/windowBuckets, 1)
}

func (w *Window) bucketAt(now time.Time) *bucket {
	i := w.indexAt(now)
	b := &w.buckets[i%int64(len(w.buckets))]
	if b.index != i {
		*b = bucket{index: i}
	}
	return b
}

func (w *Window) totals(now time.Time) (firstAttempts, retries int) {
	current := w.indexAt(now)
	for _, b := range w.buckets {
		if b.index > current-int64(len(w.buckets)) && b.index <= current {
			firstAttempts += b.firstAttempts
			retries += b.retries
		}
	}
	return firstAttempts, retries
}
