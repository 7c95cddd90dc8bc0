package clock

import (
	"context"
	"sync"
	"time"
)

// A Service tells the time and calls functions at later times.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe calls f every interval until the returned stop function is called. Calls of one
	// subscription never overlap; a tick during a call is delayed or dropped.
	Subscribe(interval time.Duration, f func(now time.Time)) (stop func())
	// AfterFunc calls f once after d, unless the timer is stopped first.
	AfterFunc(d time.Duration, f func()) Timer
}

// A Timer is a call scheduled by AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was pending.
	Stop() bool
	// Reset schedules the call for d from now and reports whether it was pending.
	Reset(d time.Duration) bool
}

// Sleep waits for d or until ctx ends. It returns at once if d is not positive.
func Sleep(ctx context.Context, s Service, d time.Duration) { Await(ctx, s, nil, d) }

// Await waits until c can be received from, for at most d and until ctx ends. It returns at once if
// d is not positive.
func Await(ctx context.Context, s Service, c <-chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	expired := make(chan struct{})
	timer := s.AfterFunc(d, func() { close(expired) })
	defer timer.Stop()
	select {
	case <-expired:
	case <-c:
	case <-ctx.Done():
	}
}

// WithDeadline returns a context that ends at time t of s, with context.DeadlineExceeded as its
// cause, or when the returned function is called with a cause.
func WithDeadline(ctx context.Context, s Service, t time.Time) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := s.AfterFunc(t.Sub(s.Now()), func() { cancel(context.DeadlineExceeded) })
	return ctx, func(cause error) {
		timer.Stop()
		cancel(cause)
	}
}

// SystemDeadline returns the time d from now on the monotonic clock of the kernel, for deadlines
// that package net and contexts keep themselves. It does not count the time during which the
// machine is suspended, when no data is transferred either.
func SystemDeadline(d time.Duration) time.Time { return time.Now().Add(d) }

// EachInterval calls f on each tick of the monotonic clock, in one goroutine. The returned function
// stops it and waits for a call in progress.
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
