// Package clocktest provides implementations of clock.Service and clock.Source for tests.
package clocktest

import (
	"sync"
	"time"

	"rockcleat/clock"
)

// A Clock is a clock.Service whose time changes only when Advance is called. It is safe for
// concurrent use.
type Clock struct {
	mu    sync.Mutex
	now   time.Time
	calls map[*call]struct{}
}

// A call is a function scheduled at a time, and again after each interval if that is not 0.
type call struct {
	clock    *Clock
	next     time.Time
	interval time.Duration
	f        func(time.Time)
}

// New returns a Clock that starts at the given time.
func New(start time.Time) *Clock {
	return &Clock{now: start, calls: make(map[*call]struct{})}
}

// Now returns the clock's time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Timers returns the number of calls that are scheduled.
func (c *Clock) Timers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// Subscribe implements clock.Service. Advance calls f.
func (c *Clock) Subscribe(interval time.Duration, f func(now time.Time)) (stop func()) {
	s := &call{clock: c, interval: interval, f: f}
	s.Reset(interval)
	return func() { s.Stop() }
}

// AfterFunc implements clock.Service. Advance calls f.
func (c *Clock) AfterFunc(d time.Duration, f func()) clock.Timer {
	s := &call{clock: c, f: func(time.Time) { f() }}
	s.Reset(d)
	return s
}

// Stop implements clock.Timer.
func (s *call) Stop() bool {
	s.clock.mu.Lock()
	defer s.clock.mu.Unlock()
	_, pending := s.clock.calls[s]
	delete(s.clock.calls, s)
	return pending
}

// Reset implements clock.Timer.
func (s *call) Reset(d time.Duration) bool {
	s.clock.mu.Lock()
	defer s.clock.mu.Unlock()
	_, pending := s.clock.calls[s]
	s.next = s.clock.now.Add(d)
	s.clock.calls[s] = struct{}{}
	return pending
}

// Advance moves the time forward by d and makes every call that is due, in the caller's goroutine
// and in order of time. A subscription is called once for each tick.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now.Add(d)
	c.mu.Unlock()
	for {
		s, at := c.nextDue(end)
		if s == nil {
			break
		}
		s.f(at)
	}
	c.mu.Lock()
	c.now = end
	c.mu.Unlock()
}

// nextDue returns the earliest call due at end or before, and its time. It sets the clock to that
// time and schedules the next tick of a subscription.
func (c *Clock) nextDue(end time.Time) (*call, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first *call
	for s := range c.calls {
		if s.next.After(end) {
			continue
		}
		if first == nil || s.next.Before(first.next) {
			first = s
		}
	}
	if first == nil {
		return nil, time.Time{}
	}
	at := first.next
	c.now = at
	if first.interval == 0 {
		delete(c.calls, first)
		return first, at
	}
	first.next = at.Add(first.interval)
	return first, at
}
