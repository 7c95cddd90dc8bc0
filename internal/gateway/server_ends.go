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

// Parameters of the detection of terminated servers.
const (
	// endWait is how long after a connection failed the server counts as terminated if it leaves the list. It covers
	// three heartbeats of 1.2 s and the time to notice the change.
	endWait = 6 * time.Second
	// maxSuspects is the maximum number of requests that the termination of one server is attributed to.
	maxSuspects = 256
	// loggedDigests is the maximum number of digests in a log line.
	loggedDigests = 16
)

// A brokenServer is a server instance to which connections failed during requests.
type brokenServer struct {
	server *backend.Server
	// at is when the last connection failed.
	at time.Time
	// probing says that a probe is running, ended that the instance has terminated.
	probing, ended bool
	// suspects are the requests whose connection failed, possibly because the server terminated.
	suspects []quarantine.Key
}

// An endDetector detects that a server has terminated, and attributes the termination to all requests whose connection
// failed at that time, since any of them may be the cause. It is safe for concurrent use.
//
// A failed connection alone does not count, because network links fail, answers are cut short and gateways are paused.
// A server has terminated if nothing listens at its address any more or if the platform removes the instance from its
// list soon afterwards, provided that it had not announced that it is leaving.
type endDetector struct {
	// ctx ends with the gateway and stops the probes.
	ctx     context.Context
	clock   clock.Service
	table   *quarantine.Table
	servers *backend.Registry
	// dial connects to an address and closes the connection.
	dial func(ctx context.Context, addr string) error
	// isPaused reports whether this process was recently paused.
	isPaused func(now time.Time) bool
	// onEnd is called after each attributed termination.
	onEnd   func()
	log     *zap.Logger
	metrics Metrics

	mu     sync.Mutex
	broken map[string]*brokenServer
}

// requestBroke records that the connection to s failed during the request with key k.
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

// suspect adds a request to the suspects of a server, and starts a probe if none is running. It returns false if the
// server is already known to have terminated.
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

// probe tests whether a server is alive. If the server accepts a connection, the requests that failed before the attempt
// failed for other reasons; those that failed later need another attempt.
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

func (d *endDetector) suspectCount(b *brokenServer) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(b.suspects)
}

// goesOn applies the result of a connection attempt. before is the number of suspects when the attempt began. It reports
// whether another attempt is needed for later suspects.
func (d *endDetector) goesOn(b *brokenServer, before int, result wire.ProbeResult) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if result == wire.ServerLives && !b.ended {
		b.suspects = b.suspects[before:]
	}
	b.probing = result == wire.ServerLives && len(b.suspects) > 0
	return b.probing
}

// ended attributes the termination of a server to its suspects.
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

// takeSuspects marks a server as terminated and removes its suspects; first is false if it was marked before.
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

// check handles servers that have left the list since a connection failed, and removes old entries. It is called every
// expireInterval.
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

// isBreak reports whether a send failed because its connection did, and not because of a timeout, a cancellation or an
// invalid answer.
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
