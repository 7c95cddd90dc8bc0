package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/dispatch"
	"rockcleat/internal/server"
	"rockcleat/quarantine"
)

// errQuarantined cancels a request that is placed in quarantine.
var errQuarantined = eris.New("gateway: request quarantined")

// quarantineChanged logs the start or the end of a request's quarantine.
func (l *requestLog) quarantineChanged(c quarantine.Change) {
	server.LogQuarantine(l.log, c, l.clock.Now())
}

// watchQuarantine cancels the request if it is placed in quarantine before its response begins, so that copies that no
// server has started never run. A response that has begun continues.
func (f *forwarder) watchQuarantine() (stop func()) {
	return f.proxy.quarantine.Watch(f.in.key, func() {
		if !f.headerSent.Load() {
			f.cancel(errQuarantined)
		}
	})
}

func (f *forwarder) isQuarantined() bool {
	_, held := f.proxy.quarantine.Until(f.in.key)
	return held
}

// isCancelledByQuarantine reports whether the request was cancelled because it was placed in quarantine.
func (f *forwarder) isCancelledByQuarantine() bool {
	return errors.Is(context.Cause(f.ctx), errQuarantined)
}

// refuseQuarantined refuses a request in quarantine. If it has not run, the response is 503 with the remaining time of
// the quarantine, during which no gateway sends it. If it may have run, the response is 502 without a Retry-After.
func (f *forwarder) refuseQuarantined() {
	if f.headerSent.Load() {
		f.abort(errQuarantined)
	}
	if f.record.runs > 0 {
		f.refuse(outcomeQuarantined, mayHaveRun("servers end under this request; it may have run"))
		return
	}
	until, _ := f.proxy.quarantine.Until(f.in.key)
	left := max(until.Sub(f.proxy.clock.Now()), time.Second).Round(time.Second)
	f.refuse(outcomeQuarantined, notRun("servers have ended under copies of this request", left))
}

// reportConnFailure reports a failed connection to the crashDetector.
func (f *forwarder) reportConnFailure(res *dispatch.Reservation, err error) {
	if isConnFailure(err) {
		f.proxy.detector.connFailed(res.Server(), f.in.key)
	}
}
