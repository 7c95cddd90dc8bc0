package clocktest

import (
	"sync"
	"time"
)

// A Machine is a clock.Source on the real clocks of a machine that a test suspends. It is safe for
// concurrent use.
type Machine struct {
	start time.Time

	mu        sync.Mutex
	suspended time.Duration
}

// NewMachine returns a Machine that was never suspended.
func NewMachine() *Machine { return &Machine{start: time.Now()} }

// Suspend makes it as if the machine had been suspended for d up to now: the boot clock has gone on.
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
