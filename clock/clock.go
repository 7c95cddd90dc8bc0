package clock

import (
	"sync"
	"time"
)

// A Service tells the time and calls subscribers at their intervals.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe calls f every interval until the returned stop function is called.
	// Calls of one subscription never overlap; a tick that would is dropped.
	Subscribe(interval time.Duration, f func(now time.Time)) (stop func())
}

// Real is a Service on the machine's clock.
//
// Its zero value is ready to use.
type Real struct{}

// Now returns the machine's time with its monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// Subscribe starts one goroutine that calls f on each tick until stop returns.
func (Real) Subscribe(interval time.Duration, f func(now time.Time)) (stop func()) {
	ticker := time.NewTicker(interval)
	done := make(chan struct{})
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				f(time.Now())
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			ticker.Stop()
			close(done)
		})
		<-exited
	}
}
