package agent

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// expireInterval is the interval at which expired quarantine records are removed.
const expireInterval = time.Second

// crashDetector detects crashes of the backend server and records the requests that were running at
// the time. The planner receives these records with its exchanges. It is safe for concurrent use.
type crashDetector struct {
	clock clock.Service
	table *quarantine.Table
	// addr is the address of the server. namePrefix is the prefix of the names of its runs; a run
	// lasts from a start of the server to its next crash.
	addr, namePrefix string
	// onCrash is called after a request has been recorded.
	onCrash func()
	log     *zap.Logger

	mu sync.Mutex
	// run is the index of the current or last run. ended reports whether that run is over.
	run   int
	ended bool
}

// hostPort returns the host and port of a base URL, or "" if the URL is invalid.
func hostPort(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return ""
	}
	return u.Host
}

// recordRunning records that the server is running.
func (e *crashDetector) recordRunning() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		e.run++
		e.ended = false
	}
}

// serverCrashed asks the planner for an immediate exchange, so that it receives the crash.
func (a *Agent) serverCrashed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestExchange()
}

// connectionLost handles the loss of the connection to the backend server during a request, unless
// the client has disconnected.
func (a *Agent) connectionLost(req *http.Request) {
	digest := req.Header.Get(wire.HeaderDigest)
	var k quarantine.Key
	if err := k.UnmarshalText([]byte(digest)); err != nil {
		a.log.Debug("request has no valid digest", zap.String("request", req.Header.Get(wire.HeaderRequestID)), zap.Error(err))
		return
	}
	if req.Context().Err() == nil {
		go a.crashes.connectionLost(k)
	}
}

// connectionLost probes the server after the loss of a request's connection. If nothing listens at
// its address the server has crashed, and the request is recorded.
func (e *crashDetector) connectionLost(k quarantine.Key) {
	p := wire.Probe{Clock: e.clock, Connect: wire.TryConnect}
	if p.Run(context.Background(), e.addr) == wire.ServerEnded {
		e.recordCrash(k)
	}
}

// recordCrash records that the current run of the server crashed during a request.
func (e *crashDetector) recordCrash(k quarantine.Key) {
	e.mu.Lock()
	first := !e.ended
	e.ended = true
	run := e.namePrefix + "/" + strconv.Itoa(e.run)
	e.mu.Unlock()
	if first {
		e.log.Info("server ended", zap.String("run", run))
	}
	e.log.Info("request recorded with the server's end", zap.String("run", run), zap.Stringer("digest", k))
	e.table.Ended(run, k)
	e.onCrash()
}
