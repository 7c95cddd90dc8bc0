package gateway

import (
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/overload"
)

// processorLogInterval is the interval of log lines while requests are refused.
const processorLogInterval = time.Second

// A processorGuard refuses new requests while the process is short of processor time, so that calls between gateways
// and to the store and the servers stay in time. It is safe for concurrent use.
type processorGuard struct {
	monitor    *overload.Monitor
	clock      clock.Service
	inProgress func() int64
	fleet      *fleetLoad
	log        *requestLog
	// refused counts the requests refused since refusals began.
	refused atomic.Int64

	// The following fields are used by tick only.

	// due is the time at which the next tick is due.
	due time.Time
	// began is the time at which refusals began, zero if none are made; logged is the time of the last log line.
	began, logged time.Time
	// highest is the highest share of requests to refuse since refusals began.
	highest float64
}

// subscribe starts the measurement and returns the function that ends it. It does nothing if the setting
// processor.max_delay is 0.
func (g *processorGuard) subscribe(maxDelay time.Duration) (stop func()) {
	if maxDelay <= 0 {
		return func() {}
	}
	g.due = g.clock.Now().Add(overload.TickInterval)
	return g.clock.Subscribe(overload.TickInterval, func(time.Time) { g.tick() })
}

// tick measures the delay of a goroutine that waits for its turn. The goroutine of a timer starts before those that
// are ready to run; with Gosched it waits behind them, as a goroutine does whose data came from the network.
func (g *processorGuard) tick() {
	runtime.Gosched()
	now := g.clock.Now()
	// Of ticks that are overdue together, only the first one measures a delay.
	if g.due.Sub(now) > overload.TickInterval/2 {
		return
	}
	g.monitor.Tick(g.due, now)
	g.due = now.Add(overload.TickInterval)
	g.logChange(now)
}

// logChange logs when refusals begin and end, and the share of refused requests in between.
func (g *processorGuard) logChange(now time.Time) {
	share := g.monitor.Share()
	g.highest = max(g.highest, share)
	switch {
	case share > 0 && g.began.IsZero():
		g.began = now
		g.report(now, processorBegan, share)
	case share > 0 && now.Sub(g.logged) >= processorLogInterval:
		g.report(now, processorContinues, share)
	case share == 0 && !g.began.IsZero():
		g.report(now, processorEnded, g.highest)
		g.began, g.highest = time.Time{}, 0
		g.refused.Store(0)
	}
}

func (g *processorGuard) report(now time.Time, state string, share float64) {
	g.logged = now
	g.log.processorShort(state, zap.Float64(fieldShare, share), zap.Float64(fieldDelay, g.monitor.Delay().Seconds()),
		zap.Float64(fieldTotal, now.Sub(g.began).Seconds()), zap.Int64(fieldCount, g.refused.Load()), zap.Int64(fieldRequests, g.inProgress()))
}

// refuses reports whether to refuse a new request, which is already counted as in progress. The only request in progress
// is served: with no others, requests are not what takes the processor time.
func (g *processorGuard) refuses() bool {
	if !g.monitor.Refuse(rand.Float64()) || g.inProgress() <= 1 {
		return false
	}
	g.refused.Add(1)
	return true
}

// refuseForProcessor refuses a new request if the process is short of processor time, and reports whether it did. It does
// so before it parses or reads anything. Attempts to resume a stream are served, since the caller has a part of it, and so
// are requests while the gateway is stopping, whose end bounds the load.
func (p *proxy) refuseForProcessor(w http.ResponseWriter, r *http.Request) bool {
	admission := p.conns.takeAdmission(r.Context())
	if p.lifecycle.isStopping() || p.namesStream(r) || !p.isForRefusal(admission) {
		return false
	}
	refused := notRun("the gateway is short of processor time", retryAfterLoad()).leaveBody(r)
	p.write(w, refused)
	p.requestLog.processorRefused(r, refused)
	return true
}

// isForRefusal reports whether a request should be refused because processor time is short, given what was decided about
// its connection. While other gateways have room, the first request of a new connection is not: the connection would not
// have been accepted.
func (p *proxy) isForRefusal(admission connResult) bool {
	switch {
	case admission == connRefused:
		return true
	case admission == connTaken && !p.processor.fleet.isBusy(p.clock.Now()):
		return false
	}
	return p.processor.refuses()
}

// namesStream reports whether a request names a stream to resume. It does not look at the route, which is not known yet.
func (p *proxy) namesStream(r *http.Request) bool {
	return r.Header.Get(p.names.Resumes) != "" || r.Header.Get(headerLastEvent) != ""
}
