package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/clock"
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

// watchQuarantine cancels the request if one of its traits is placed in quarantine before its response begins, so that
// requests that no server has started never run. A response that has begun continues.
func (f *forwarder) watchQuarantine() (stop func()) {
	return f.proxy.quarantine.Watch(f.traits, func() {
		if !f.headerSent.Load() {
			f.cancel(errQuarantined)
		}
	})
}

func (f *forwarder) isQuarantined() bool {
	_, _, held := f.proxy.quarantine.Quarantine(f.traits...)
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
	trait, until, _ := f.proxy.quarantine.Quarantine(f.traits...)
	left := max(until.Sub(f.proxy.clock.Now()), time.Second).Round(time.Second)
	reason := "servers have ended under copies of this request"
	if trait.Kind == quarantine.Part {
		reason = "servers have ended under requests with part " + trait.Name + " in their prompts"
	}
	f.refuse(outcomeQuarantined, notRun(reason, left))
}

// maxProbeWait is how long a request waits to learn whether the server that lost it has crashed.
const maxProbeWait = 300 * time.Millisecond

// reportConnFailure reports a failed connection to the crashDetector. If the request may be sent again and no request
// with the same parts was answered recently, it waits until it is known whether the server has crashed.
func (f *forwarder) reportConnFailure(res *dispatch.Reservation, err error) {
	if !isConnFailure(err) {
		return
	}
	probed := f.proxy.detector.connFailed(res.Server(), f.suspects())
	if !f.partsAnswered && f.mayRetry() && !f.proxy.quarantine.AnsweredRecently(f.in.parts...) {
		clock.Await(f.ctx, f.proxy.clock, probed, maxProbeWait)
	}
}

// suspects returns the traits of the request that may have made the server of the current send crash. A server that has
// begun its response has survived the parts of the prompt.
func (f *forwarder) suspects() []quarantine.Suspect {
	traits := f.traits
	if f.partsAnswered {
		traits = []quarantine.Trait{f.in.content}
	}
	list := make([]quarantine.Suspect, len(traits))
	for i, x := range traits {
		list[i] = quarantine.Suspect{Trait: x, OnTrial: f.trial.tests(x)}
	}
	return list
}

// recordPartsAnswered records that the server of the current send has produced a part of a successful response.
func (f *forwarder) recordPartsAnswered() {
	if f.partsAnswered {
		return
	}
	f.partsAnswered = true
	f.proxy.quarantine.RecordAnswer(f.in.parts...)
	f.trial.recordAnswer()
}
