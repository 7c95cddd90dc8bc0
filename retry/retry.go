package retry

import "sync"

// Defaults of a Budget.
const (
	// defaultRatio is the number of retries per first attempt.
	defaultRatio = 0.2
	// defaultBurst is the capacity of the bucket in retries.
	defaultBurst = 10
)

// A Budget limits retries by a token bucket. It is safe for concurrent use. The zero value allows
// one retry per five first attempts and a burst of ten retries.
type Budget struct {
	// Ratio is the number of retries allowed per first attempt. If it is not positive, the first
	// use sets it to 0.2.
	Ratio float64
	// Burst is the number of retries allowed at once. If it is not positive, the first use sets it
	// to 10.
	Burst float64

	mu          sync.Mutex
	tokens      float64
	initialized bool
}

// First records a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Allow takes one retry from the budget and reports whether the budget had one.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) initialize() {
	if b.initialized {
		return
	}
	b.initialized = true
	if b.Ratio <= 0 {
		b.Ratio = defaultRatio
	}
	if b.Burst <= 0 {
		b.Burst = defaultBurst
	}
	b.tokens = b.Burst
}
