package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// Parameters of the detection of crashed servers.
const (
	// delistWindow is how long after a failed connection the server counts as crashed if the platform removes it from
	// the list. It covers three heartbeats of 1.2 s and the time to notice the change.
	delistWindow = 6 * time.Second
	// restartWindow is how long after a failed connection a server counts as crashed if the platform lists another instance
	// in its place, although something accepted connections at its address: it may have been that instance.
	restartWindow = 3 * time.Second
	// maxSuspects is the maximum number of requests to which the crash of one server is attributed.
	maxSuspects = 256
	// maxLoggedDigests is the maximum number of digests in a log line.
	maxLoggedDigests = 16
)

// A failedServer is a server instance to which connections failed during requests.
type failedServer struct {
	server *backend.Server
	// at is when the last connection failed.
	at time.Time
	// probing reports whether a probe is running, crashed whether the instance has crashed, restarted whether the platform
	// lists another instance in its place.
	probing, crashed, restarted bool
	// suspects holds the suspects of each request whose connection failed, possibly because the server crashed.
	suspects [][]quarantine.Suspect
	// answered holds those of requests after whose failure something accepted a connection at the address.
	answered []answeredProbe
	// probed is closed when the probe has ended.
	probed chan struct{}
}

// An answeredProbe holds the suspects of a request whose connection failed before the given time.
type answeredProbe struct {
	at       time.Time
	suspects []quarantine.Suspect
}

// A crashDetector detects that a server has crashed, and attributes the crash to all requests whose connection failed
// at that time, since any of them may be the cause. It is safe for concurrent use.
//
// A failed connection alone does not count, because network links fail, responses are truncated and gateways are
// paused. A server has crashed if nothing listens at its address any more, or if the platform removes the instance from
// its list or lists another one in its place soon afterwards, provided that it had not announced that it is leaving.
type crashDetector struct {
	// ctx ends with the gateway and stops the probes.
	ctx     context.Context
	clock   clock.Service
	table   *quarantine.Table
	servers *backend.Registry
	// dial connects to an address and closes the connection.
	dial func(ctx context.Context, addr string) error
	// wasPaused reports whether this process was recently paused.
	wasPaused func(now time.Time) bool
	// onCrash is called after each crash that was attributed to requests.
	onCrash func()
	log     *zap.Logger
	metrics Metrics

	mu     sync.Mutex
	failed map[string]*failedServer
}

// connFailed records that the connection to s failed during a request with the given suspects. probed is closed when it
// is known whether the server has crashed.
func (d *crashDetector) connFailed(s *backend.Server, suspects []quarantine.Suspect) (probed <-chan struct{}) {
	now := d.clock.Now()
	listed, ok := d.servers.Snapshot().Server(s.ID)
	if d.wasPaused(now) || ok && listed.Leaving {
		return alreadyProbed
	}
	if !ok {
		d.failedAfterRestart(s.ID, suspects)
		return alreadyProbed
	}
	if probed, added := d.addSuspects(s, suspects, now); added {
		return probed
	}
	d.attribute(s, suspects)
	return alreadyProbed
}

// alreadyProbed is a closed channel.
var alreadyProbed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// failedServer returns the entry of a server, and creates it if there is none. d.mu must be held.
func (d *crashDetector) failedServer(s *backend.Server) *failedServer {
	failed := d.failed[s.ID]
	if failed == nil {
		failed = &failedServer{server: s}
		d.failed[s.ID] = failed
	}
	return failed
}

// addSuspects adds the suspects of a request to those of a server, and starts a probe if none is running. added is false
// if the server is already known to have crashed.
func (d *crashDetector) addSuspects(s *backend.Server, suspects []quarantine.Suspect, now time.Time) (probed <-chan struct{}, added bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	failed := d.failedServer(s)
	if failed.crashed {
		return nil, false
	}
	failed.at = now
	if len(failed.suspects) < maxSuspects {
		failed.suspects = append(failed.suspects, suspects)
	}
	if !failed.probing {
		failed.probing = true
		failed.probed = make(chan struct{})
		go d.probe(failed)
	}
	return failed.probed, true
}

// probe tests whether a server is alive. If the server accepts a connection, the requests that failed before the
// attempt failed for other reasons; those that failed later need another attempt.
func (d *crashDetector) probe(failed *failedServer) {
	before := 0
	p := wire.Probe{Clock: d.clock, Connect: d.dial, BeforeAttempt: func() { before = d.suspectCount(failed) }}
	for {
		result := p.Run(d.ctx, failed.server.Addr)
		if result == wire.ServerEnded {
			d.recordCrash(failed)
			close(failed.probed)
			return
		}
		if !d.applyProbe(failed, before, result) {
			return
		}
	}
}

func (d *crashDetector) suspectCount(failed *failedServer) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(failed.suspects)
}

// applyProbe applies the result of a connection attempt. before is the number of requests when the attempt began. It
// reports whether another attempt is needed for later ones.
func (d *crashDetector) applyProbe(failed *failedServer, before int, result wire.ProbeResult) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if result == wire.ServerAlive && !failed.crashed {
		failed.moveAnswered(before, d.clock.Now())
	}
	failed.probing = result == wire.ServerAlive && len(failed.suspects) > 0
	if !failed.probing {
		close(failed.probed)
	}
	return failed.probing
}

// moveAnswered moves the suspects of the first n requests to answered.
func (f *failedServer) moveAnswered(n int, now time.Time) {
	for _, suspects := range f.suspects[:n] {
		if len(f.answered) < maxSuspects {
			f.answered = append(f.answered, answeredProbe{at: now, suspects: suspects})
		}
	}
	f.suspects = f.suspects[n:]
}

// failedAfterRestart attributes the crash of a server that has restarted to a request whose connection was found to have
// failed after that. It does nothing if the server has left the list for another reason.
func (d *crashDetector) failedAfterRestart(id string, suspects []quarantine.Suspect) {
	d.mu.Lock()
	failed := d.failed[id]
	if failed == nil || !failed.restarted {
		d.mu.Unlock()
		return
	}
	known := failed.crashed
	if !known {
		failed.suspects = append(failed.suspects, suspects)
	}
	d.mu.Unlock()
	if !known {
		d.recordCrash(failed)
		return
	}
	d.attribute(failed.server, suspects)
}

// restarted records that the platform lists another instance in the place of a server. If that server had not announced
// that it is leaving, it has crashed, also if a probe has reached its successor.
func (d *crashDetector) restarted(s backend.Server, leaving bool) {
	now := d.clock.Now()
	if leaving || d.wasPaused(now) {
		return
	}
	d.mu.Lock()
	failed := d.failedServer(&s)
	failed.restarted = true
	failed.at = now
	for _, x := range failed.answered {
		if now.Sub(x.at) <= restartWindow {
			failed.suspects = append(failed.suspects, x.suspects)
		}
	}
	failed.answered = nil
	found := len(failed.suspects) > 0
	d.mu.Unlock()
	if found {
		d.recordCrash(failed)
	}
}

// recordCrash attributes a server's crash to its suspects. It does nothing if that has been done before.
func (d *crashDetector) recordCrash(failed *failedServer) {
	suspects, first := d.takeSuspects(failed)
	if !first {
		return
	}
	d.metrics.ServerCrashed(failed.server.Service)
	d.attribute(failed.server, suspects...)
}

// attribute charges requests with the crash of a server.
func (d *crashDetector) attribute(s *backend.Server, suspects ...[]quarantine.Suspect) {
	all := slices.Concat(suspects...)
	d.log.Info(msgServerCrashed, append(suspectFields(all), zap.String(fieldServer, s.ID),
		zap.String(fieldAddr, s.Addr), zap.Int(fieldRequests, len(suspects)))...)
	d.table.RecordCrash(s.ID, all...)
	d.onCrash()
}

// suspectFields returns log fields with the digests, the parts and the trials among suspects.
func suspectFields(suspects []quarantine.Suspect) []zap.Field {
	var digests []quarantine.Key
	var parts, onTrial []string
	for _, s := range suspects {
		if s.Kind == quarantine.Content {
			digests = append(digests, s.Key)
			continue
		}
		if !slices.Contains(parts, s.Name) {
			parts = append(parts, s.Name)
		}
		if s.OnTrial {
			onTrial = append(onTrial, s.Name)
		}
	}
	return []zap.Field{
		zap.Stringers(fieldDigests, digests[:min(len(digests), maxLoggedDigests)]),
		zap.Strings(fieldParts, parts[:min(len(parts), maxLoggedParts)]), zap.Strings(fieldTrials, onTrial[:min(len(onTrial), maxLoggedParts)]),
	}
}

// takeSuspects marks a server as crashed and removes its suspects; first is false if it was marked before.
func (d *crashDetector) takeSuspects(failed *failedServer) (suspects [][]quarantine.Suspect, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if failed.crashed {
		return nil, false
	}
	failed.crashed = true
	suspects, failed.suspects = failed.suspects, nil
	return suspects, true
}

// endedServers returns the IDs of the listed servers that have crashed.
func (d *crashDetector) endedServers() []string {
	snapshot := d.servers.Snapshot()
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, failed := range d.failed {
		if snapshot.Has(id) && failed.crashed {
			ids = append(ids, id)
		}
	}
	return ids
}

// check handles servers that have left the list since a connection failed, and removes old entries. It is called every
// expireInterval.
func (d *crashDetector) check(now time.Time) {
	snapshot := d.servers.Snapshot()
	var gone []*failedServer
	d.mu.Lock()
	for id, failed := range d.failed {
		s, listed := snapshot.Server(id)
		switch {
		case now.Sub(failed.at) > delistWindow, listed && s.Leaving && !failed.crashed && !failed.restarted:
			delete(d.failed, id)
		case !listed && len(failed.suspects) > 0:
			gone = append(gone, failed)
		}
	}
	d.mu.Unlock()
	for _, failed := range gone {
		d.recordCrash(failed)
	}
}

// isConnFailure reports whether a send failed because its connection did, and not because of a timeout, a
// cancellation or an invalid response.
func isConnFailure(err error) bool {
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
