package gateway

import (
	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/quarantine"
)

// awaitTrial waits until no other request tests the suspected traits of this one.
func (f *forwarder) awaitTrial() {
	for f.ctx.Err() == nil && f.mustAwaitTrial() {
		f.handOn()
		clock.Sleep(f.ctx, f.proxy.clock, trialPollInterval)
	}
}

// mustAwaitTrial reports whether the request must wait for the trials of others. It also tells the dispatcher whether
// the request is a trial itself.
func (f *forwarder) mustAwaitTrial() bool {
	suspects := f.proxy.quarantine.Suspects(f.traits...)
	f.req.OnTrial = len(suspects) > 0
	if !f.req.OnTrial {
		return false
	}
	return f.proxy.trials.isBusy(suspects) || f.awaitsSeparateTrials(suspects)
}

// awaitsSeparateTrials reports whether the request has several suspected parts that other requests may still test one by
// one.
func (f *forwarder) awaitsSeparateTrials(suspects []quarantine.Trait) bool {
	parts, _ := partitionParts(suspects)
	return len(parts) > 1 && f.proxy.clock.Now().Before(f.jointTrialFrom)
}

// beginTrial is called when a server is reserved. ok is false if the request must wait for the trials of others.
func (f *forwarder) beginTrial(server string) (ok bool) {
	f.trial = nil
	suspects := f.proxy.quarantine.Suspects(f.traits...)
	if len(suspects) == 0 {
		return true
	}
	now := f.proxy.clock.Now()
	if f.jointTrialFrom.IsZero() {
		f.jointTrialFrom = now.Add(jointTrialDelay)
	}
	if f.awaitsSeparateTrials(suspects) {
		return false
	}
	f.trial, ok = f.proxy.trials.begin(f.ctx, suspects, server, !now.Before(f.jointTrialFrom))
	if ok && f.ctx.Err() != nil {
		f.trial.end(true)
		f.trial, ok = nil, false
	}
	return ok
}

// sendAndEndTrial sends the request to one server and reports whether it is finished. The trial of the send also ends if
// the response is aborted.
func (f *forwarder) sendAndEndTrial(res *dispatch.Reservation) (finished bool) {
	defer f.endTrial(f.record.runs)
	return f.send(res)
}

// endTrial ends the trial of the current send, which had runs before. Unless the server has answered the request or has
// not run it, a crash may not have been noticed yet.
func (f *forwarder) endTrial(runs int) {
	notRun := f.record.runs == runs && f.record.outcome != outcomeCallerGone
	f.trial.end(notRun || f.record.outcome == outcomeAnswered)
}
