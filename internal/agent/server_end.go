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

// expireEvery is the time between two looks for what is too old.
const expireEvery = time.Second

// serverEnds counts the ends of the backend server and charges them to the requests that broke off there.
// The planner gets them with its exchanges. It is safe for concurrent use.
type serverEnds struct {
	clock clock.Service
	table *quarantine.Table
	// addr is where the server listens, name begins the names of its runs.
	addr, name string
	// onEnd is called after each end that was charged.
	onEnd func()
	log   *zap.Logger

	mu sync.Mutex
	// runs counts the runs of the server, ended says that the last one is over.
	runs  int
	ended bool
}

// addrOf returns the host and port of a server's base URL; empty if there are none.
func addrOf(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return ""
	}
	return u.Host
}

// answered notes that the server lives.
func (e *serverEnds) answered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		e.runs++
		e.ended = false
	}
}

// serverEnded has the planner fetch the ends of the server at once.
func (a *Agent) serverEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nudgePlanner()
}

// noteBreak notes that the connection to the backend server broke under a request.
func (a *Agent) noteBreak(req *http.Request) {
	digest := req.Header.Get(wire.HeaderDigest)
	var k quarantine.Key
	if err := k.UnmarshalText([]byte(digest)); err != nil {
		a.log.Debug("request without a digest", zap.String("request", req.Header.Get(wire.HeaderRequestID)), zap.Error(err))
		return
	}
	if req.Context().Err() == nil {
		go a.ends.requestBroke(k)
	}
}

// requestBroke finds out whether the server has ended under a request whose connection to it broke: nobody
// listens at its address any more.
func (e *serverEnds) requestBroke(k quarantine.Key) {
	p := wire.Probe{Clock: e.clock, Connect: wire.TryConnect}
	if p.Run(context.Background(), e.addr) == wire.ServerEnded {
		e.charge(k)
	}
}

// charge charges the end of the last run to a request.
func (e *serverEnds) charge(k quarantine.Key) {
	e.mu.Lock()
	first := !e.ended
	e.ended = true
	run := e.name + "/" + strconv.Itoa(e.runs)
	e.mu.Unlock()
	if first {
		e.log.Info("server ended", zap.String("run", run))
	}
	e.log.Info("request charged with the server's end", zap.String("run", run), zap.Stringer("digest", k))
	e.table.Ended(run, k)
	e.onEnd()
}
