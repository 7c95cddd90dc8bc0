package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Parameters of pauses: the times for which servers accept no requests from this gateway.
const (
	// pauseSpreadPerGateway is the time between the returns of two gateways after a pause: a server
	// refuses requests of all gateways at about the same time, and they must not return together.
	pauseSpreadPerGateway = 5 * time.Millisecond
	// trialInterval is the minimum time between requests to a server after a pause, until it has
	// accepted one.
	trialInterval = 250 * time.Millisecond
)

// A PausedError means that all servers that could take the request accept no requests from this gateway,
// and that none can take it before its WaitUntil.
type PausedError struct {
	// RetryAfter is the time until the first of them takes requests again.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *PausedError) Error() string {
	return fmt.Sprintf("dispatch: the servers accept no requests for %s", e.RetryAfter)
}

// A pauseState tells when a server may get requests from this gateway. The zero value means always.
type pauseState struct {
	// endsAt is the end of the pause. It is zero if the server has accepted a request since.
	endsAt time.Time
	// nextTrial is the earliest time of the next request. It is not before endsAt.
	nextTrial time.Time
}

// extend extends the pause to a given time. A shorter pause leaves a longer one as it is.
func (p *pauseState) extend(until time.Time) {
	if until.After(p.endsAt) {
		p.endsAt, p.nextTrial = until, until
	}
}

// recordSend records that a request is about to be sent.
func (p *pauseState) recordSend(now time.Time) {
	if !p.endsAt.IsZero() {
		p.nextTrial = now.Add(trialInterval)
	}
}

// recordAccepted records that the server has accepted a request that was sent at the given time. It reports whether
// that ends the pause: the server has accepted a request sent after it.
func (p *pauseState) recordAccepted(sent time.Time) bool {
	if p.endsAt.IsZero() || sent.Before(p.endsAt) {
		return false
	}
	*p = pauseState{}
	return true
}

// Pause records that a server has refused a request and accepts no requests from this gateway for the given time.
// Waiting requests that no other server can take in time are refused. It returns the time until the end of the pause,
// and reports whether the server was not paused before.
func (d *Dispatcher) Pause(server string, period time.Duration) (remaining time.Duration, began bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	p := &d.loadOf(server).pause
	began = p.endsAt.IsZero()
	p.extend(now.Add(period + d.pauseSpread(server, period)))
	d.notePause(p.nextTrial)
	d.serveWaiting()
	return p.endsAt.Sub(now), began
}

// pauseSpread returns the extension of a pause of a server: each gateway has a part of the spread of its own, within which
// it returns at random. The spread grows with the number of gateways, but does not exceed the pause itself.
func (d *Dispatcher) pauseSpread(server string, period time.Duration) time.Duration {
	gateways := d.owners.gateways
	if len(gateways) == 0 {
		return 0
	}
	part := min(pauseSpreadPerGateway, period/time.Duration(len(gateways)))
	if part <= 0 {
		return 0
	}
	return time.Duration(d.owners.turn(server))*part + rand.N(part)
}

// notePause records that a server is paused until the given time. d.mu must be held.
func (d *Dispatcher) notePause(until time.Time) {
	if until.After(d.pausedUntil) {
		d.pausedUntil = until
	}
}

// hasPauses reports whether any server may be paused now. d.mu must be held.
func (d *Dispatcher) hasPauses(now time.Time) bool { return now.Before(d.pausedUntil) }

// RecordAccepted records that a server has accepted a request that was sent at the given time. It reports whether that
// ends a pause.
func (d *Dispatcher) RecordAccepted(server string, sent time.Time) (ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loads[server]
	if l == nil || !l.pause.recordAccepted(sent) {
		return false
	}
	d.serveWaiting()
	return true
}

// IsPaused reports whether a server accepts no requests from this gateway now.
func (d *Dispatcher) IsPaused(server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loads[server]
	return l != nil && d.opts.Clock.Now().Before(l.pause.endsAt)
}

// PauseRemaining returns the time until the first of the servers that could take the request takes requests again.
// It returns 0 if one of them is not paused, or if there is none.
func (d *Dispatcher) PauseRemaining(r *Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if !d.hasPauses(now) {
		return 0
	}
	if e := d.estimateWait(r, 0, now); e.blocked && e.paused {
		return e.wait
	}
	return 0
}
