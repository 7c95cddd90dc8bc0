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

// A crashDetector detects crashes of the backend server and records the requests that were running
// at the time. The planner receives these records with its exchanges. It is safe for concurrent
// use.
type crashDetector struct {
	clock clock.Service
	table *quarantine.Table
	// addr is the address of the server. namePrefix is the prefix of the names of its instances. An
	// instance lasts from a start of the server to its next crash.
	addr, namePrefix string
	// onCrash is called after a request has been recorded.
	onCrash func()
	log     *zap.Logger

	mu sync.Mutex
	// instance is the index of the current or last instance. crashed reports whether it has
	// crashed.
	instance int
	crashed  bool
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
func (d *crashDetector) recordRunning() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		d.instance++
		d.crashed = false
	}
}

// serverCrashed asks the planner for an immediate exchange, which reports the crash.
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
		go a.crashes.probeServer(k)
	}
}

// probeServer probes the server after the connection of a request was lost. If nothing listens
// at the server's address, it records a crash during the request.
func (d *crashDetector) probeServer(k quarantine.Key) {
	p := wire.Probe{Clock: d.clock, Connect: wire.TryConnect}
	if p.Run(context.Background(), d.addr) == wire.ServerEnded {
		d.recordCrash(k)
	}
}

// recordCrash records that the current server instance has crashed during a request. Several
// requests may be recorded for one instance.
func (d *crashDetector) recordCrash(k quarantine.Key) {
	d.mu.Lock()
	first := !d.crashed
	d.crashed = true
	instance := d.namePrefix + "/" + strconv.Itoa(d.instance)
	d.mu.Unlock()
	if first {
		d.log.Info("server ended", zap.String("run", instance))
	}
	d.log.Info("request recorded with the server's crash", zap.String("run", instance), zap.Stringer("digest", k))
	d.table.RecordCrash(instance, quarantine.Suspect{Trait: quarantine.ContentTrait(k)})
	d.onCrash()
}
