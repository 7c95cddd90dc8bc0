package clocktest

import (
	"sync"
	"time"
)

// A Machine is a clock.Source on the machine's own clocks with simulated suspensions. It is safe
// for concurrent use.
type Machine struct {
	start time.Time

	mu        sync.Mutex
	suspended time.Duration
}

// NewMachine returns a Machine without suspensions.
func NewMachine() *Machine { return &Machine{start: time.Now()} }

// Suspend simulates a suspension of length d that ends now, by advancing the boot clock.
func (m *Machine) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += d
}

// Now implements clock.Source.
func (m *Machine) Now() time.Time { return time.Now() }

// Boot implements clock.Source.
func (m *Machine) Boot() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.start) + m.suspended, nil
}
