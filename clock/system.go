package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Detection of suspensions.
const (
	// checkInterval is the maximum age of a reading of the boot clock when Now is called.
	checkInterval = 250 * time.Millisecond
	// maxClockStep is the change of the wall clock relative to the monotonic clock beyond which the
	// boot clock is read immediately: the machine was suspended, or the wall clock was set.
	maxClockStep = 5 * time.Millisecond
	// minSuspension is the shortest suspension that is counted. A shorter one cannot be
	// distinguished from the time between two clock readings.
	minSuspension = 5 * time.Millisecond
)

// A System is a Service on the machine's clocks whose time continues while the machine is
// suspended.
//
// The monotonic clock of the kernel, which package time uses, timers included, stops during a
// suspension. The age of a lease or of cached data would then be too low by the length of the
// suspension, and a deadline would come too late. To the rest of the program, a suspension looks
// like a pause of the process: at the first call of Now after it, the time has advanced and overdue
// timers fire. Deadlines that package net or a context keeps itself do not count suspensions; see
// SystemDeadline.
type System struct {
	source Source
	start  time.Time
	// bootStart is the reading of the boot clock at start.
	bootStart time.Duration
	// suspended is the time suspended since start, and drift is the advance of the wall clock over
	// the monotonic clock since start, as of the last reading of the boot clock. checkedAt is the
	// monotonic time of that reading since start. All are in nanoseconds.
	suspended, drift, checkedAt atomic.Int64

	mu     sync.Mutex
	timers map[*systemTimer]struct{}
}

// A Source reads the clocks of a machine.
type Source interface {
	// Now returns the wall clock with a monotonic reading.
	Now() time.Time
	// Boot returns the time since the machine was started, including suspensions.
	Boot() (time.Duration, error)
}

// systemSource is the Source of the machine's own clocks.
type systemSource struct{}

// Now implements Source.
func (systemSource) Now() time.Time { return time.Now() }

// Boot implements Source.
func (systemSource) Boot() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}

// NewSystem returns a System on the machine's clocks that counts suspensions from now on.
func NewSystem() *System { return NewSystemFrom(systemSource{}) }

// NewSystemFrom returns a System on the clocks of s.
func NewSystemFrom(s Source) *System {
	c := &System{source: s, timers: make(map[*systemTimer]struct{})}
	boot, err := s.Boot()
	if err != nil {
		// Without a boot clock no suspension is counted.
		boot = 0
	}
	c.start, c.bootStart = s.Now(), boot
	return c
}

// Now returns a time with a monotonic reading that counts suspensions. Its time of day is the start
// time plus the time passed since, so that setting the machine's clock does not change it.
func (s *System) Now() time.Time {
	now := s.source.Now()
	monotonic := now.Sub(s.start)
	if s.isCheckDue(now, monotonic) {
		s.checkBootClock()
	}
	return s.start.Add(monotonic + time.Duration(s.suspended.Load()))
}

// isCheckDue reports whether the boot clock should be read.
func (s *System) isCheckDue(now time.Time, monotonic time.Duration) bool {
	driftChange := s.driftOf(now, monotonic) - time.Duration(s.drift.Load())
	return driftChange.Abs() > maxClockStep || monotonic-time.Duration(s.checkedAt.Load()) > checkInterval
}

// driftOf returns the advance of the wall clock over the monotonic clock since start.
func (s *System) driftOf(now time.Time, monotonic time.Duration) time.Duration {
	return time.Duration(now.UnixNano()-s.start.UnixNano()) - monotonic
}

// checkBootClock reads the boot clock and updates the time suspended. It reads the monotonic clock
// last: a pause between the two readings makes a suspension look shorter, never longer, and the
// next reading corrects that.
func (s *System) checkBootClock() {
	boot, err := s.source.Boot()
	now := s.source.Now()
	monotonic := now.Sub(s.start)
	s.drift.Store(int64(s.driftOf(now, monotonic)))
	s.checkedAt.Store(int64(monotonic))
	if err != nil {
		return
	}
	suspended := boot - s.bootStart - monotonic
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspended-time.Duration(s.suspended.Load()) < minSuspension {
		return
	}
	s.suspended.Store(int64(suspended))
	wake := s.start.Add(monotonic + suspended)
	for t := range s.timers {
		t.rearm(wake)
	}
}

// Subscribe implements Service. Ticks missed during a suspension are not made up for.
func (s *System) Subscribe(interval time.Duration, f func(now time.Time)) (stop func()) {
	return EachInterval(interval, func() { f(s.Now()) })
}

// AfterFunc implements Service.
func (s *System) AfterFunc(d time.Duration, f func()) Timer {
	t := &systemTimer{clock: s, f: f, at: s.Now().Add(d)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timers[t] = struct{}{}
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

// A systemTimer is a Timer of a System. It is guarded by the mu of its System.
type systemTimer struct {
	clock *System
	f     func()
	at    time.Time
	timer *time.Timer
}

// fire removes the timer from its System and calls f.
func (t *systemTimer) fire() {
	t.clock.mu.Lock()
	delete(t.clock.timers, t)
	t.clock.mu.Unlock()
	t.f()
}

// Stop implements Timer.
func (t *systemTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	delete(t.clock.timers, t)
	return t.timer.Stop()
}

// Reset implements Timer.
func (t *systemTimer) Reset(d time.Duration) bool {
	at := t.clock.Now().Add(d)
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.at = at
	t.clock.timers[t] = struct{}{}
	return t.timer.Reset(d)
}

// rearm reschedules a pending call after a suspension. The System's mu must be held.
func (t *systemTimer) rearm(now time.Time) {
	if t.timer.Stop() {
		t.timer.Reset(max(t.at.Sub(now), 0))
	}
}
