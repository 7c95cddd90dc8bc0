package clock

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A sleepyMachine is a Source whose clocks a test advances.
type sleepyMachine struct {
	mu   sync.Mutex
	now  time.Time
	boot time.Duration
	// looks is the number of readings of the boot clock.
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

// run advances all clocks.
func (m *sleepyMachine) run(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.boot += d
}

// suspend advances the boot clock only. The wall clock should advance too, but a time.Time cannot
// be moved without its monotonic reading.
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

// TestSystemAddsUpSuspensions checks that repeated suspensions are each counted exactly once.
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

// TestSystemLooksSeldom bounds the readings of the boot clock without suspensions.
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

// TestSystemNoticesBySetTime changes the wall clock relative to the monotonic one: the boot clock
// must be read immediately, and the System's time must not change.
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

// TestSystemCallsWhatIsOverdue checks that a suspension fires the timers that it made overdue, and
// no others.
func TestSystemCallsWhatIsOverdue(t *testing.T) {
	m := newSleepyMachine()
	c := NewSystemFrom(m)
	due := make(chan struct{})
	c.AfterFunc(time.Minute, func() { close(due) })
	later := c.AfterFunc(time.Hour, func() { t.Error("timer fired before it was due") })
	stopped := c.AfterFunc(time.Minute, func() { t.Error("stopped timer fired") })
	assert.Assert(t, stopped.Stop())
	moved := c.AfterFunc(time.Minute, func() { t.Error("reset timer fired at its former time") })
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

// BenchmarkNow compares System.Now with time.Now and measures a reading of the boot clock.
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
