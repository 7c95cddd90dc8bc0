package clocktest

import (
	"time"

	"rockcleat/clock"
)

// Real is a clock.Service on the kernel's monotonic clock, which stops while the machine is
// suspended. Programs use a clock.System. The zero value is ready to use.
type Real struct{}

// Now implements clock.Service.
func (Real) Now() time.Time { return time.Now() }

// Subscribe implements clock.Service.
func (r Real) Subscribe(interval time.Duration, f func(now time.Time)) (stop func()) {
	return clock.EachInterval(interval, func() { f(r.Now()) })
}

// AfterFunc implements clock.Service.
func (Real) AfterFunc(d time.Duration, f func()) clock.Timer { return time.AfterFunc(d, f) }
