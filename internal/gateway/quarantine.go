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

// errQuarantined ends what is done for a request when it comes into quarantine.
var errQuarantined = eris.New("gateway: request quarantined")

// quarantineChanged logs the begin or the end of a request's quarantine.
func (l *requestLog) quarantineChanged(c quarantine.Change) {
	server.LogQuarantine(l.log, c, l.clock.Now())
}

// watchQuarantine gives the request up when it comes into quarantine while it waits for a server or for
// an answer: a copy that a server has not begun yet then never runs. An answer that has begun goes on.
func (f *forwarder) watchQuarantine() (stop func()) {
	return f.proxy.quarantine.Watch(f.in.key, func() {
		if !f.answering.Load() {
			f.cancel(errQuarantined)
		}
	})
}

// isQuarantined reports whether the request is in quarantine.
func (f *forwarder) isQuarantined() bool {
	_, held := f.proxy.quarantine.Until(f.in.key)
	return held
}

// gaveUpForQuarantine reports whether the request was given up since it came into quarantine.
func (f *forwarder) gaveUpForQuarantine() bool {
	return errors.Is(context.Cause(f.ctx), errQuarantined)
}

// refuseQuarantined ends a request that is in quarantine. One that has not run gets 503 and the time that is
// left of the quarantine, before which no gateway sends it; one that may have run gets 502, which promises
// nothing and invites nobody back.
func (f *forwarder) refuseQuarantined() {
	if f.answering.Load() {
		f.cut(errQuarantined)
	}
	if f.record.runs > 0 {
		f.refuse(outcomeQuarantined, mayHaveRun("servers end under this request; it may have run"))
		return
	}
	until, _ := f.proxy.quarantine.Until(f.in.key)
	left := max(until.Sub(f.proxy.clock.Now()), time.Second).Round(time.Second)
	f.refuse(outcomeQuarantined, notRun("servers have ended under copies of this request", left))
}

// noteBreak notes that the connection to a server broke under the request.
func (f *forwarder) noteBreak(res *dispatch.Reservation, err error) {
	if isBreak(err) {
		f.proxy.ends.requestBroke(res.Server(), f.in.key)
	}
}
