package clocktest

import (
	"sync"
	"time"
)

// A Source is a clock.Source on the machine's own clocks with simulated suspensions. It is safe
// for concurrent use.
type Source struct {
	start time.Time

	mu        sync.Mutex
	suspended time.Duration
}

// NewSource returns a Source without suspensions.
func NewSource() *Source { return &Source{start: time.Now()} }

// Suspend simulates a suspension of length d that ends now, by advancing the boot clock.
func (m *Source) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += d
}

// Now implements clock.Source.
func (m *Source) Now() time.Time { return time.Now() }

// SinceBoot implements clock.Source.
func (m *Source) SinceBoot() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.start) + m.suspended, nil
}
