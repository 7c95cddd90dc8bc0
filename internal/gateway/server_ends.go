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

// A brokenServer is a run of a server at which a request broke off.
type brokenServer struct {
	server *backend.Server
	at     time.Time
	ended  bool
	// suspects are the requests that broke off there, until it is known that the server has ended.
	suspects []quarantine.Key
}

// An endDetector finds out whether a server has ended under the requests that broke off there, and charges
// its end to all of them: any may be the cause. It is safe for concurrent use.
//
// A broken connection alone is no end: links are cut, answers break off, gateways are paused. A server has
// ended if nobody listens at its address any more, or if the platform takes that run off its list soon
// after, and in both cases if it had not said that it leaves.
type endDetector struct {
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
	d.mu.Lock()
	b := d.broken[s.ID]
	if b == nil {
		b = &brokenServer{server: s, at: now}
		d.broken[s.ID] = b
		go d.probe(b)
	}
	ended := b.ended
	if !ended && len(b.suspects) < maxSuspects {
		b.suspects = append(b.suspects, k)
	}
	d.mu.Unlock()
	if ended {
		d.table.Ended(s.ID, k)
		d.onEnd()
	}
}

// probe tries to connect to a server.
func (d *endDetector) probe(b *brokenServer) {
	for i := range endDials {
		if i > 0 {
			clock.Sleep(context.Background(), d.clock, endDialPause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), endDialTimeout)
		err := d.dial(ctx, b.server.Addr)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.ended(b)
			return
		}
	}
}

// ended charges the end of a server to the requests that broke off there.
func (d *endDetector) ended(b *brokenServer) {
	d.mu.Lock()
	if b.ended {
		d.mu.Unlock()
		return
	}
	b.ended = true
	suspects := b.suspects
	b.suspects = nil
	d.mu.Unlock()
	d.metrics.ServerEnded(b.server.Service)
	d.log.Info(msgServerEnded, zap.String(fieldServer, b.server.ID), zap.String(fieldAddr, b.server.Addr),
		zap.Int(fieldRequests, len(suspects)), zap.Stringers(fieldDigests, suspects[:min(len(suspects), loggedDigests)]))
	d.table.Ended(b.server.ID, suspects...)
	d.onEnd()
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
		case !listed && !b.ended:
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
