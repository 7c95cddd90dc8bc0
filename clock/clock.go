package clock

import (
	"context"
	"sync"
	"time"
)

// A Service tells the time and makes calls at their times.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe calls f every interval until the returned stop function is called.
	// Calls of one subscription never overlap; a tick that would is dropped.
	Subscribe(interval time.Duration, f func(now time.Time)) (stop func())
	// AfterFunc calls f once, after d, unless the timer is stopped before.
	AfterFunc(d time.Duration, f func()) Timer
}

// A Timer is one call that AfterFunc has scheduled.
type Timer interface {
	// Stop cancels the call and reports whether it was still to come.
	Stop() bool
	// Reset schedules the call anew, after d from now, and reports whether it was still to come.
	Reset(d time.Duration) bool
}

// Sleep waits for d, or until ctx ends; it returns at once if d is not above 0.
func Sleep(ctx context.Context, s Service, d time.Duration) { Await(ctx, s, nil, d) }

// Await waits until a channel can be received from or is closed, for at most d and
// until ctx ends; it returns at once if d is not above 0.
func Await(ctx context.Context, s Service, c <-chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	over := make(chan struct{})
	timer := s.AfterFunc(d, func() { close(over) })
	defer timer.Stop()
	select {
	case <-over:
	case <-c:
	case <-ctx.Done():
	}
}

// WithDeadline returns a context that ends at a time of a Service, with context.DeadlineExceeded as its
// cause, or when cancel is called.
func WithDeadline(ctx context.Context, s Service, t time.Time) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := s.AfterFunc(t.Sub(s.Now()), func() { cancel(context.DeadlineExceeded) })
	return ctx, func(cause error) {
		timer.Stop()
		cancel(cause)
	}
}

// SystemDeadline returns the time that is d from now, as package net and contexts measure: for deadlines
// that they keep themselves. They do not count the time in which the machine is suspended, in which
// nothing can be read or written either.
func SystemDeadline(d time.Duration) time.Time { return time.Now().Add(d) }

// EachInterval calls f on each tick of the steady clock in one goroutine until stop returns.
func EachInterval(interval time.Duration, f func()) (stop func()) {
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
				f()
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
