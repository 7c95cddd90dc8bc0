package intake

import (
	"sync"
	"time"
)

// A Decision says what becomes of a new connection.
type Decision int

const (
	// Take: the connection is served.
	Take Decision = iota
	// Refuse: the first request is read and refused, with a time to come back.
	Refuse
	// Close: the connection is closed with nothing read, so that the caller connects to another process.
	Close
)

const (
	// closeFraction is the fraction of the maximum delay from which connections are closed while other processes have room:
	// there a caller is served sooner. It is more than a period of a processor quota, so that a process which hands on all
	// that it has taken in one period takes more in the next.
	closeFraction = 0.5
	// flood is the multiple of the maximum delay from which connections are closed even if no other process has room, since
	// refusals take processor time too. A caller does not wait longer than that for its request to be read.
	flood = 4
	// minRate is the rate at which every process is expected to hand on requests, per second. It sets the number of
	// requests that may be pending before the rate is known.
	minRate = 128
	// rateWindow is the time over which the rate of requests that are handed on is measured. It is several times the period
	// of a processor quota.
	rateWindow = 300 * time.Millisecond
	// decisionWindow is the time over which the share of connections that are too many is measured.
	decisionWindow = time.Second
)

// Conditions are what a decision about a new connection depends on, besides the pending requests.
type Conditions struct {
	Now time.Time
	// DelayShare is the share of connections to turn away because the process's own work is late, Random a random number
	// in [0, 1).
	DelayShare, Random float64
	// Open is the number of open connections, MaxOpen the highest possible one; 0 if there is no limit.
	Open, MaxOpen int
	// OthersBusy reports whether a caller that is turned away probably meets another busy process, or that there is no
	// other one.
	OthersBusy bool
}

// A Limiter counts pending requests and decides about new connections. It is safe for concurrent use.
type Limiter struct {
	maxDelay time.Duration

	mu sync.Mutex
	// pending is the number of pending requests, peak its maximum since the last call of TakePeak.
	pending, peak int
	handedOn      windowCounter
	spare         spareRate
	// decisions counts the new connections, excess those that were too many while other processes have room.
	decisions, excess windowCounter
}

// New returns a Limiter that lets requests be pending for about maxDelay at most. If maxDelay is 0, it takes all
// connections.
func New(maxDelay time.Duration) *Limiter {
	return &Limiter{
		maxDelay: maxDelay, handedOn: windowCounter{window: rateWindow},
		decisions: windowCounter{window: decisionWindow}, excess: windowCounter{window: decisionWindow},
	}
}

// Decide decides about a new connection. For a connection that is not closed, the caller must call Begin.
func (l *Limiter) Decide(c Conditions) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(c.Now)
	l.decisions.add(c.Now)
	decision, isExcess := l.decide(c)
	if isExcess {
		l.excess.add(c.Now)
	}
	return decision
}

// ClosesNext reports whether the next connection would be closed, so that it need not be set up first.
func (l *Limiter) ClosesNext(c Conditions) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision, _ := l.decide(c)
	return decision == Close
}

// RecordClosed records a connection that was closed after ClosesNext.
func (l *Limiter) RecordClosed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decisions.add(now)
	l.excess.add(now)
}

// decide returns the decision about a new connection, and whether it is more than the process should take while others
// have room. l.mu must be held.
func (l *Limiter) decide(c Conditions) (decision Decision, isExcess bool) {
	if c.MaxOpen > 0 && c.Open >= c.MaxOpen {
		return Close, true
	}
	if l.maxDelay <= 0 || l.pending == 0 {
		return Take, false
	}
	isLate := c.Random < c.DelayShare
	if !isLate && l.pending < l.limit(closeFraction, c.Now) {
		return Take, false
	}
	switch {
	case !c.OthersBusy, l.pending >= l.limit(flood, c.Now):
		return Close, true
	case isLate, l.pending >= l.limit(1, c.Now):
		return Refuse, true
	}
	return Take, true
}

// limit returns the number of requests that can be handed on in a fraction of the maximum delay.
func (l *Limiter) limit(fraction float64, now time.Time) int {
	return l.inDelay(fraction, l.rate(now))
}

// rate returns the number of requests per second that the process is taken to bear.
func (l *Limiter) rate(now time.Time) float64 {
	return max(l.knownRate(now), l.spare.perSecond(now))
}

// inDelay returns the number of requests that are handed on at a rate in a fraction of the maximum delay.
func (l *Limiter) inDelay(fraction, rate float64) int {
	return int(rate * fraction * l.maxDelay.Seconds())
}

// knownRate returns the rate of the last moments, or what every process is expected to bear.
func (l *Limiter) knownRate(now time.Time) float64 {
	return max(l.handedOn.perSecond(now), minRate)
}

// observe records whether the process is pressed. l.mu must be held.
func (l *Limiter) observe(now time.Time) {
	known := l.knownRate(now)
	l.spare.observe(l.pending >= l.inDelay(pressedFraction, known), known, l.maxDelay, now)
}

// RecordUse records the processor time that the process has used since the last call. It is called about once a second.
func (l *Limiter) RecordUse(u Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spare.record(u)
}

// ExcessShare returns the share of the new connections in the last decisionWindow that were more than the process should
// take while others have room, from 0 to 1. It does not depend on whether others have.
func (l *Limiter) ExcessShare(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.excess.count(now)) / float64(max(l.decisions.count(now), 1))
}

// Begin records that a request has become pending.
func (l *Limiter) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending++
	l.peak = max(l.peak, l.pending)
}

// End records that a request is no longer pending, without having been handed on.
func (l *Limiter) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
	if l.pending < l.inDelay(pressedFraction, minRate) {
		l.spare.pressedSince = time.Time{}
	}
}

// HandedOn records that a pending request has been handed on.
func (l *Limiter) HandedOn(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
	l.handedOn.add(now)
	l.spare.handedOn++
	l.observe(now)
}

// TakePeak returns the highest number of pending requests since its last call.
func (l *Limiter) TakePeak() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	peak := l.peak
	l.peak = l.pending
	return peak
}

// BearableRate returns the number of requests per second that the process is taken to bear: what it hands on, what any process
// is expected to, or what its free processor suffices for.
func (l *Limiter) BearableRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate(now)
}

// HandedOnRate returns the number of requests that are handed on per second, over the last rateWindow.
func (l *Limiter) HandedOnRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handedOn.perSecond(now)
}
