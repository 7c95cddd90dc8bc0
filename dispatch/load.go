package dispatch

import (
	"maps"
	"math"
	"time"
)

// A Load is the work in progress at one server, either of one process or of several together.
type Load struct {
	// Running is the number of running requests.
	Running int `json:"n"`
	// PrefillMs is the prefill time of the prompts whose first byte is outstanding, in
	// milliseconds.
	PrefillMs int `json:"r,omitempty"`
	// UsedTokens is the maximum cache memory that the requests use, in tokens.
	UsedTokens int `json:"u,omitempty"`
}

// minus returns l less part; no field of the result is negative.
func (l Load) minus(part Load) Load {
	return Load{
		Running:    max(l.Running-part.Running, 0),
		PrefillMs:  max(l.PrefillMs-part.PrefillMs, 0),
		UsedTokens: max(l.UsedTokens-part.UsedTokens, 0),
	}
}

// A remoteLoad is the load of all other processes at one server, as of a point in time.
type remoteLoad struct {
	Load
	reportedAt time.Time
}

// expectedAt returns the load expected at a time: the prefill time shrinks as time passes.
func (l remoteLoad) expectedAt(now time.Time) Load {
	out := l.Load
	out.PrefillMs = max(out.PrefillMs-int(now.Sub(l.reportedAt)/time.Millisecond), 0)
	return out
}

// A serverLoad is the state of one server as seen by this process.
type serverLoad struct {
	Load
	prefixes prefixCache
	failures failureRate
	// trials is the number of requests on trial.
	trials int
	// lastResponse is when the server last sent something.
	lastResponse time.Time
	// awaitingFirstByte lists the reservations whose first byte is outstanding, oldest first.
	awaitingFirstByte []*Reservation
	// admissions are the recent admissions of other gateways' requests that are not counted until their end.
	admissions []timedAdmission
	// owned is set if this gateway owned the counted server when it was last considered. takeoverUntil is the time until
	// which it, as the new owner, also counts the loads that others report.
	owned         bool
	takeoverUntil time.Time
	// asking is the number of requests that this gateway is asking the server's owner for, queueWaitUntil when the owner
	// last expected to admit a request.
	asking         int
	queueWaitUntil time.Time
	// prefill holds the expected prefill times of an owned engine.
	prefill prefillQueue
	// admissionDeniedUntil is the time until which the engine's owner is not asked again after it
	// has denied admission.
	admissionDeniedUntil time.Time
	permits              permitState
	pause                pauseState
	// notResidentUntil holds, for each model or adapter that the engine refused because it does not
	// hold it, the time until which no request for it is sent to the engine.
	notResidentUntil map[string]time.Time
}

// notResidentTTL is how long an engine gets no requests for a model or adapter that it does not
// hold. It covers the time until updated residency reaches this gateway; each misdirected send uses
// the retry budget.
const notResidentTTL = time.Second

// markNotResident records that the engine does not hold a model or adapter.
func (l *serverLoad) markNotResident(target string, now time.Time) {
	if l.notResidentUntil == nil {
		l.notResidentUntil = make(map[string]time.Time)
	}
	maps.DeleteFunc(l.notResidentUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	l.notResidentUntil[target] = now.Add(notResidentTTL)
}

// eligibleFrom returns the earliest time at which the server may be chosen for a model or
// adapter.
func (l *serverLoad) eligibleFrom(target string) time.Time {
	from := l.admissionDeniedUntil
	for _, other := range []time.Time{l.notResidentUntil[target], l.pause.nextTrial} {
		if other.After(from) {
			from = other
		}
	}
	return from
}

// isStalled reports whether a first byte is outstanding and the server has sent nothing for
// stallTimeout.
func (l *serverLoad) isStalled(now time.Time) bool {
	if len(l.awaitingFirstByte) == 0 {
		return false
	}
	since := l.awaitingFirstByte[0].sentAt
	if l.lastResponse.After(since) {
		since = l.lastResponse
	}
	return now.Sub(since) > stallTimeout
}

// Parameters of the failure rate.
const (
	// failureSmoothing is the weight of the latest outcome in the moving average. One failure raises the
	// cost of a server by 600 ms.
	failureSmoothing = 0.3
	// failureHalfLife is the half-life of the rate. The decay ensures that a server which was
	// avoided is tried again.
	failureHalfLife = 2 * time.Second
)

// A failureRate is an exponentially decayed average of failures.
type failureRate struct {
	rate      float64
	updatedAt time.Time
}

// at returns the rate at a point in time, 0 to 1.
func (f *failureRate) at(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.updatedAt))/float64(failureHalfLife))
}

// observe records an outcome: 1 is a failure, 0 a success.
func (f *failureRate) observe(outcome float64, now time.Time) {
	rate := f.at(now)
	f.rate = rate + (outcome-rate)*failureSmoothing
	f.updatedAt = now
}
