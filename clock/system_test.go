package clock

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A sleepyMachine is a source whose clocks a test moves.
type sleepyMachine struct {
	mu   sync.Mutex
	now  time.Time
	boot time.Duration
	// looks counts the readings of the boot clock.
	looks int
	err   error
}

func newSleepyMachine() *sleepyMachine { return &sleepyMachine{now: time.Now(), boot: time.Hour} }

// Now implements Source.
func (m *sleepyMachine) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Boot implements Source.
func (m *sleepyMachine) Boot() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.looks++
	return m.boot, m.err
}

// run lets time pass on all clocks.
func (m *sleepyMachine) run(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.boot += d
}

// suspend lets time pass on all clocks but the steady one: both readings of a time.Time move together,
// so that the test leaves the time of day to set.
func (m *sleepyMachine) suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boot += d
}

func TestSystemCountsSuspensions(t *testing.T) {
	tests := map[string]struct {
		do   func(m *sleepyMachine)
		want time.Duration
	}{
		"none":              {do: func(m *sleepyMachine) { m.run(time.Second) }, want: time.Second},
		"one":               {do: func(m *sleepyMachine) { m.run(time.Second); m.suspend(5 * time.Second) }, want: 6 * time.Second},
		"one, and then on":  {do: func(m *sleepyMachine) { m.suspend(5 * time.Second); m.run(time.Second) }, want: 6 * time.Second},
		"too short to tell": {do: func(m *sleepyMachine) { m.run(time.Second); m.suspend(time.Millisecond) }, want: time.Second},
		"no boot clock": {do: func(m *sleepyMachine) {
			m.err = errors.New("none")
			m.run(time.Second)
			m.suspend(5 * time.Second)
		}, want: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newSleepyMachine()
			c := NewSystemFrom(m)
			start := c.Now()
			test.do(m)
			assert.Equal(t, c.Now().Sub(start), test.want)
		})
	}
}

// TestSystemAddsUpSuspensions suspends a machine again and again: no time is counted twice or lost.
func TestSystemAddsUpSuspensions(t *testing.T) {
	m := newSleepyMachine()
	c := NewSystemFrom(m)
	start := c.Now()
	for range 5 {
		m.run(time.Second)
		m.suspend(3 * time.Second)
		c.Now()
		c.Now()
	}
	m.run(time.Second)
	assert.Equal(t, c.Now().Sub(start), 21*time.Second)
}

// TestSystemLooksSeldom checks how often the boot clock is read while nothing happens.
func TestSystemLooksSeldom(t *testing.T) {
	m := newSleepyMachine()
	c := NewSystemFrom(m)
	m.looks = 0
	for range 1000 {
		m.run(time.Millisecond)
		c.Now()
	}
	assert.Assert(t, m.looks <= 4, "%d readings in a second", m.looks)
}

// TestSystemNoticesBySetTime sets the time of day, as a suspension moves it: the boot clock is looked at
// at once, and the time that the System tells does not move.
func TestSystemNoticesBySetTime(t *testing.T) {
	c := NewSystem()
	start := c.Now()
	now := time.Now()
	steady := now.Sub(c.start)
	assert.Assert(t, !c.isLookDue(now, steady))
	c.drift.Store(int64(time.Hour))
	assert.Assert(t, c.isLookDue(now, steady))
	assert.Assert(t, c.Now().Sub(start) < time.Minute)
	assert.Assert(t, !c.isLookDue(time.Now(), time.Since(c.start)))
}

// TestSystemCallsWhatIsOverdue suspends a machine beyond the time of one call and not of another.
func TestSystemCallsWhatIsOverdue(t *testing.T) {
	m := newSleepyMachine()
	c := NewSystemFrom(m)
	due := make(chan struct{})
	c.AfterFunc(time.Minute, func() { close(due) })
	later := c.AfterFunc(time.Hour, func() { t.Error("not due yet") })
	stopped := c.AfterFunc(time.Minute, func() { t.Error("it was stopped") })
	assert.Assert(t, stopped.Stop())
	moved := c.AfterFunc(time.Minute, func() { t.Error("it was moved") })
	assert.Assert(t, moved.Reset(time.Hour))
	ctx, cancel := WithDeadline(t.Context(), c, c.Now().Add(30*time.Second))
	defer cancel(nil)
	m.run(time.Second)
	m.suspend(2 * time.Minute)
	c.Now()
	<-due
	<-ctx.Done()
	assert.Equal(t, context.Cause(ctx), context.DeadlineExceeded)
	assert.Assert(t, later.Stop())
	assert.Assert(t, moved.Stop())
	assert.Equal(t, len(c.timers), 0)
}

// BenchmarkNow states what the time costs: 64 ns before, of the steady clock alone, 79 ns with
// suspensions counted; the look at the boot clock takes 0.32 µs.
func BenchmarkNow(b *testing.B) {
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
	b.Run("system", func(b *testing.B) {
		c := NewSystem()
		for b.Loop() {
			c.Now()
		}
	})
	b.Run("look", func(b *testing.B) {
		c := NewSystem()
		for b.Loop() {
			c.look()
		}
	})
}
