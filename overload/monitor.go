package overload

import (
	"math"
	"sync/atomic"
	"time"
)

// TickInterval is the intended time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

const (
	// quotaPeriod is the longest time for which a process with a processor quota may be without processor time. It is
	// the default period of the CFS bandwidth control of Linux.
	quotaPeriod = 100 * time.Millisecond
	// smoothingTime is the time constant of the smoothed delay. No tick counts for a longer time, so that one long
	// delay does not replace the history.
	smoothingTime = 500 * time.Millisecond
	// minDelayFraction is the fraction of the maximum delay from which requests are refused: 50 ms of 250 ms.
	minDelayFraction = 0.2
	// countedFraction limits the delay of a tick that is counted, as a fraction of the maximum delay. Above 1, the smoothed
	// delay reaches the maximum; the lower the limit, the sooner refusals end.
	countedFraction = 1.2
)

// A Monitor computes the share of requests to refuse from the delay of ticks. Tick must not be called concurrently
// with itself; all other methods are safe for concurrent use.
type Monitor struct {
	maxDelay time.Duration
	// delay is the smoothed delay in nanoseconds.
	delay atomic.Int64
	// lastDelay is the delay of the last tick, lastTick the time at which its work ran; zero before the first one.
	lastDelay time.Duration
	lastTick  time.Time
}

// New returns a Monitor that refuses all requests from a smoothed delay of maxDelay on, and a share of them from a
// fifth of it on. If maxDelay is 0, it refuses none.
func New(maxDelay time.Duration) *Monitor { return &Monitor{maxDelay: maxDelay} }

// Tick records that work that was due at one time ran at another.
func (m *Monitor) Tick(due, now time.Time) {
	delay, last := max(now.Sub(due), 0), m.lastDelay
	elapsed := TickInterval
	if !m.lastTick.IsZero() {
		elapsed = now.Sub(m.lastTick)
	}
	m.lastDelay, m.lastTick = delay, now
	m.smooth(m.countedDelay(min(delay, last)), elapsed)
}

// countedDelay returns the part of a delay that indicates load: nothing if a quota alone may cause it.
func (m *Monitor) countedDelay(d time.Duration) time.Duration {
	if d <= quotaPeriod {
		return 0
	}
	return min(d, time.Duration(countedFraction*float64(m.maxDelay)))
}

// smooth updates the smoothed delay with a delay observed for the given time.
func (m *Monitor) smooth(d, elapsed time.Duration) {
	elapsed = min(max(elapsed, 0), smoothingTime)
	weight := -math.Expm1(-elapsed.Seconds() / smoothingTime.Seconds())
	smoothed := m.Delay()
	m.delay.Store(int64(smoothed + time.Duration(weight*float64(d-smoothed))))
}

// Delay returns the smoothed delay, at most 1.2 times the maximum delay.
func (m *Monitor) Delay() time.Duration { return time.Duration(m.delay.Load()) }

// Share returns the share of new requests to refuse, from 0 to 1.
func (m *Monitor) Share() float64 {
	if m.maxDelay <= 0 {
		return 0
	}
	fraction := float64(m.Delay()) / float64(m.maxDelay)
	return min(max((fraction-minDelayFraction)/(1-minDelayFraction), 0), 1)
}

// Refuse reports whether to refuse a request, given a random number in [0, 1).
func (m *Monitor) Refuse(r float64) bool { return r < m.Share() }
