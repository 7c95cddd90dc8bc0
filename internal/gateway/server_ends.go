package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// Finding out whether a server has ended.
const (
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

// probe finds out whether a server lives. Requests that broke off before it took a connection broke off for
// other reasons than its end; those that broke off later need another probe.
func (d *endDetector) probe(b *brokenServer) {
	before := 0
	p := wire.Probe{Clock: d.clock, Connect: d.dial, BeforeAttempt: func() { before = d.suspectCount(b) }}
	for {
		result := p.Run(d.ctx, b.server.Addr)
		if result == wire.ServerEnded {
			d.ended(b)
			return
		}
		if !d.goesOn(b, before, result) {
			return
		}
	}
}

// suspectCount returns the number of suspects of a server.
func (d *endDetector) suspectCount(b *brokenServer) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(b.suspects)
}

// goesOn applies the result of an attempt to connect, made after a number of suspects, and reports whether
// others need a further one.
func (d *endDetector) goesOn(b *brokenServer, before int, result wire.ProbeResult) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if result == wire.ServerLives && !b.ended {
		b.suspects = b.suspects[before:]
	}
	b.probing = result == wire.ServerLives && len(b.suspects) > 0
	return b.probing
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
