package retry

import "sync"

// Defaults of a Budget.
const (
	// defaultRatio is the number of retries for each first try.
	defaultRatio = 0.2
	// defaultBurst is the number of retries at once after a quiet time.
	defaultBurst = 10
)

// A Budget bounds retries; it is safe for concurrent use and its zero value
// allows one retry for five first tries and a burst of ten.
type Budget struct {
	// Ratio is the number of retries allowed for each first try, without a unit.
	Ratio float64
	// Burst is the number of retries allowed at once.
	Burst float64

	mu     sync.Mutex
	tokens float64
	begun  bool
}

// First counts a first try.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) begin() {
	if b.begun {
		return
	}
	b.begun = true
	if b.Ratio <= 0 {
		b.Ratio = defaultRatio
	}
	if b.Burst <= 0 {
		b.Burst = defaultBurst
	}
	b.tokens = b.Burst
}
