package intake

import (
	"sync"
	"time"
)

// A Limiter counts pending requests. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// pending is the number of pending requests, peak its maximum since the last call of TakePeak.
	pending, peak int
	handedOn      rateCounter
}

// New returns a Limiter without pending requests.
func New() *Limiter { return &Limiter{} }

// Begin records that a request has become pending.
func (l *Limiter) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending++
	l.peak = max(l.peak, l.pending)
}

// End records that a request is no longer pending, without having been handed on.
func (l *Limiter) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
}

// HandedOn records that a pending request has been handed on.
func (l *Limiter) HandedOn(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
	l.handedOn.add(now)
}

// TakePeak returns the highest number of pending requests since its last call.
func (l *Limiter) TakePeak() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	peak := l.peak
	l.peak = l.pending
	return peak
}

// HandedOnRate returns the number of requests that are handed on per second, over the last rateWindow.
func (l *Limiter) HandedOnRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handedOn.perSecond(now)
}
