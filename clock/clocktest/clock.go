// Package clocktest provides a clock.Service for tests, whose time moves only when a
// test says so.
package clocktest

import (
	"sync"
	"time"
)

// A Clock is a clock.Service whose time moves only when Advance is called.
type Clock struct {
	mu   sync.Mutex
	now  time.Time
	subs map[*subscription]struct{}
}

type subscription struct {
	interval time.Duration
	next     time.Time
	f        func(time.Time)
}

// New returns a Clock that starts at the given time.
func New(start time.Time) *Clock {
	return &Clock{now: start, subs: make(map[*subscription]struct{})}
}

// Now returns the service's time.
func (m *Clock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe registers f to be called by Advance.
func (m *Clock) Subscribe(interval time.Duration, f func(now time.Time)) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &subscription{interval: interval, next: m.now.Add(interval), f: f}
	m.subs[s] = struct{}{}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subs, s)
	}
}

// Advance moves the time by d and calls, in the caller's goroutine, every
// subscriber whose tick has come, once for each tick passed.
func (m *Clock) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for {
		s, at := m.dueBefore(end)
		if s == nil {
			break
		}
		s.f(at)
	}
	m.mu.Lock()
	m.now = end
	m.mu.Unlock()
}

// dueBefore returns the subscription with the earliest tick up to end and moves
// the clock to that tick.
func (m *Clock) dueBefore(end time.Time) (*subscription, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first *subscription
	for s := range m.subs {
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
	first.next = at.Add(first.interval)
	m.now = at
	return first, at
}
