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

// expireEvery is the interval at which expired quarantine records are removed.
const expireEvery = time.Second

// serverEnds detects crashes of the backend server and records the requests that were running at
// the time. The planner receives these records with its exchanges. It is safe for concurrent use.
type serverEnds struct {
	clock clock.Service
	table *quarantine.Table
	// addr is the address of the server. name is the prefix of the names of its runs; a run lasts
	// from a start of the server to its next crash.
	addr, name string
	// onEnd is called after a request has been recorded.
	onEnd func()
	log   *zap.Logger

	mu sync.Mutex
	// runs is the index of the current or last run. ended reports whether that run is over.
	runs  int
	ended bool
}

// addrOf returns the host and port of a base URL, or "" if the URL is invalid.
func addrOf(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return ""
	}
	return u.Host
}

// answered records that the server is running.
func (e *serverEnds) answered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		e.runs++
		e.ended = false
	}
}

// serverEnded asks the planner for an immediate exchange, so that it receives the crash.
func (a *Agent) serverEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nudgePlanner()
}

// noteBreak handles the loss of the connection to the backend server during a request, unless the
// client has disconnected.
func (a *Agent) noteBreak(req *http.Request) {
	digest := req.Header.Get(wire.HeaderDigest)
	var k quarantine.Key
	if err := k.UnmarshalText([]byte(digest)); err != nil {
		a.log.Debug("request has no valid digest", zap.String("request", req.Header.Get(wire.HeaderRequestID)), zap.Error(err))
		return
	}
	if req.Context().Err() == nil {
		go a.ends.requestBroke(k)
	}
}

// requestBroke probes the server after the loss of a request's connection. If nothing listens at
// its address the server has crashed, and the request is recorded.
func (e *serverEnds) requestBroke(k quarantine.Key) {
	p := wire.Probe{Clock: e.clock, Connect: wire.TryConnect}
	if p.Run(context.Background(), e.addr) == wire.ServerEnded {
		e.charge(k)
	}
}

// charge records that the current run of the server crashed during a request.
func (e *serverEnds) charge(k quarantine.Key) {
	e.mu.Lock()
	first := !e.ended
	e.ended = true
	run := e.name + "/" + strconv.Itoa(e.runs)
	e.mu.Unlock()
	if first {
		e.log.Info("server ended", zap.String("run", run))
	}
	e.log.Info("request recorded with the server's end", zap.String("run", run), zap.Stringer("digest", k))
	e.table.Ended(run, k)
	e.onEnd()
}
