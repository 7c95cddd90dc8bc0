package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/quarantine"
)

// Finding out whether a server has ended. Chosen, not measured.
const (
	// endDialTimeout bounds an attempt to connect.
	endDialTimeout = 300 * time.Millisecond
	// endDialPause is the pause before the second attempt: a process that ends closes what it has open
	// one after the other.
	endDialPause = 100 * time.Millisecond
	// endDials is the number of attempts.
	endDials = 2
	// endWait is for how long after a break a server that goes off the list counts as ended: three
	// heartbeats of 1.2 s and the time in which the change is noticed.
	endWait = 6 * time.Second
	// maxSuspects bounds the requests that one server's end is charged to.
	maxSuspects = 256
	// loggedDigests bounds those that a log line names.
	loggedDigests = 16
)

// A brokenServer is a run of a server at which requests broke off.
type brokenServer struct {
	server *backend.Server
	// at is when the last request broke off.
	at time.Time
	// probing says that a probe is under way.
	probing, ended bool
	// suspects are the requests that broke off there and may have been at its end.
	suspects []quarantine.Key
}

// An endDetector finds out whether a server has ended under the requests that broke off there, and charges
// its end to all of them: any may be the cause. It is safe for concurrent use.
//
// A broken connection alone is no end: links are cut, answers break off, gateways are paused. A server has
// ended if nobody listens at its address any more, or if the platform takes that run off its list soon
// after, and in both cases if it had not said that it leaves.
type endDetector struct {
	// ctx ends with the gateway, and the probes with it.
	ctx     context.Context
	clock   clock.Service
	table   *quarantine.Table
	servers *backend.Registry
	// dial connects to an address and closes the connection.
	dial func(ctx context.Context, addr string) error
	// isPaused reports whether this process itself was paused just now.
	isPaused func(now time.Time) bool
	// onEnd is called after each end that was charged.
	onEnd   func()
	log     *zap.Logger
	metrics Metrics

	mu     sync.Mutex
	broken map[string]*brokenServer
}

// requestBroke notes that the connection broke on which a request was at a server.
func (d *endDetector) requestBroke(s *backend.Server, k quarantine.Key) {
	now := d.clock.Now()
	listed, ok := d.servers.Snapshot().Server(s.ID)
	if !ok || listed.Leaving || d.isPaused(now) {
		return
	}
	if d.suspect(s, k, now) {
		return
	}
	d.table.Ended(s.ID, k)
	d.onEnd()
}

// suspect adds a request to the suspects of a server, unless that is known to have ended, and begins a
// probe if none is under way.
func (d *endDetector) suspect(s *backend.Server, k quarantine.Key, now time.Time) (added bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.broken[s.ID]
	if b == nil {
		b = &brokenServer{server: s}
		d.broken[s.ID] = b
	}
	if b.ended {
		return false
	}
	b.at = now
	if len(b.suspects) < maxSuspects {
		b.suspects = append(b.suspects, k)
	}
	if !b.probing {
		b.probing = true
		go d.probe(b)
	}
	return true
}

// A probeResult is what a probe has found out.
type probeResult int

// The results of a probe.
const (
	// serverUnknown: no answer in time. The platform's list says more.
	serverUnknown probeResult = iota
	// serverLives: it takes connections.
	serverLives
	// serverEnded: nobody listens at its address.
	serverEnded
)

// probe finds out whether a server lives. Requests that broke off before it took a connection broke off for
// other reasons than its end; those that broke off later need another probe.
func (d *endDetector) probe(b *brokenServer) {
	for {
		before, result := d.dialTwice(b)
		if result == serverEnded {
			d.ended(b)
			return
		}
		if !d.goesOn(b, before, result) {
			return
		}
	}
}

// goesOn applies the result of an attempt to connect, made after a number of suspects, and reports whether
// others need a further one.
func (d *endDetector) goesOn(b *brokenServer, before int, result probeResult) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if result == serverLives && !b.ended {
		b.suspects = b.suspects[before:]
	}
	b.probing = result == serverLives && len(b.suspects) > 0
	return b.probing
}

// dialTwice tries to connect to a server until it is refused, and returns the result of the last attempt
// with the number of suspects before it.
func (d *endDetector) dialTwice(b *brokenServer) (before int, result probeResult) {
	for i := range endDials {
		if i > 0 {
			clock.Sleep(d.ctx, d.clock, endDialPause)
		}
		d.mu.Lock()
		before = len(b.suspects)
		d.mu.Unlock()
		result = d.dialOnce(b.server.Addr)
		if result == serverEnded {
			break
		}
	}
	return before, result
}

func (d *endDetector) dialOnce(addr string) probeResult {
	ctx, cancel := context.WithTimeout(d.ctx, endDialTimeout)
	defer cancel()
	err := d.dial(ctx, addr)
	switch {
	case err == nil:
		return serverLives
	case errors.Is(err, syscall.ECONNREFUSED):
		return serverEnded
	}
	return serverUnknown
}

// ended charges the end of a server to the requests that broke off there.
func (d *endDetector) ended(b *brokenServer) {
	suspects, first := d.takeSuspects(b)
	if !first {
		return
	}
	d.metrics.ServerEnded(b.server.Service)
	d.log.Info(msgServerEnded, zap.String(fieldServer, b.server.ID), zap.String(fieldAddr, b.server.Addr),
		zap.Int(fieldRequests, len(suspects)), zap.Stringers(fieldDigests, suspects[:min(len(suspects), loggedDigests)]))
	d.table.Ended(b.server.ID, suspects...)
	d.onEnd()
}

// takeSuspects notes the end of a server and returns the suspects; first says that it was not known.
func (d *endDetector) takeSuspects(b *brokenServer) (suspects []quarantine.Key, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.ended {
		return nil, false
	}
	b.ended = true
	suspects, b.suspects = b.suspects, nil
	return suspects, true
}

// check charges the ends of servers that have gone off the list since a request broke off there, and
// forgets old breaks. It is called every expireInterval.
func (d *endDetector) check(now time.Time) {
	snapshot := d.servers.Snapshot()
	var gone []*brokenServer
	d.mu.Lock()
	for id, b := range d.broken {
		s, listed := snapshot.Server(id)
		switch {
		case now.Sub(b.at) > endWait, listed && s.Leaving && !b.ended:
			delete(d.broken, id)
		case !listed && len(b.suspects) > 0:
			gone = append(gone, b)
		}
	}
	d.mu.Unlock()
	for _, b := range gone {
		d.ended(b)
	}
}

// isBreak reports whether an error of a send means that its connection broke, as opposed to a time that
// is over, an answer that is none, or a send that was given up.
func isBreak(err error) bool {
	var timeout net.Error
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return false
	case errors.Is(err, errStalled), errors.Is(err, errEventTooLong), errors.Is(err, errQuarantined):
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		return false
	}
	return true
}
