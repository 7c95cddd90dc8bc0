package dispatch

import (
	"maps"
	"math"
	"time"
)

// A Load is the load at one server.
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
	at time.Time
}

// now returns the load expected now: the prefill time shrinks as time passes.
func (l remoteLoad) now(now time.Time) Load {
	out := l.Load
	out.PrefillMs = max(out.PrefillMs-int(now.Sub(l.at)/time.Millisecond), 0)
	return out
}

// A serverLoad is the state of one server as seen by this process.
type serverLoad struct {
	Load
	prefixes prefixCache
	failures failureRate
	// lastAnswer is when the server last sent something.
	lastAnswer time.Time
	// awaiting lists the reservations whose first byte is outstanding, oldest first.
	awaiting []*Reservation
	// grants are the recent admissions of other gateways' requests.
	grants []grant
	// prefill holds the expected prefill times of an owned engine.
	prefill prefillQueue
	// deniedUntil is the time until which the engine's owner is not asked again after it has denied
	// admission.
	deniedUntil time.Time
	permits     permits
	// lackedUntil holds, for each model or adapter that the engine refused because it does not hold
	// it, the time until which the engine is not asked for it again.
	lackedUntil map[string]time.Time
}

// lackTime is how long an engine is not asked for a model or adapter that it does not hold. It
// covers the time until updated residency reaches this gateway; each misdirected attempt uses the
// retry budget.
const lackTime = time.Second

// noteLack records that the engine does not hold a model or adapter.
func (l *serverLoad) noteLack(target string, now time.Time) {
	if l.lackedUntil == nil {
		l.lackedUntil = make(map[string]time.Time)
	}
	maps.DeleteFunc(l.lackedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	l.lackedUntil[target] = now.Add(lackTime)
}

// askableFrom returns the earliest time at which the server may be asked for a model or adapter.
func (l *serverLoad) askableFrom(target string) time.Time {
	if until := l.lackedUntil[target]; until.After(l.deniedUntil) {
		return until
	}
	return l.deniedUntil
}

// isStalled reports whether a first byte is outstanding and the server has sent nothing for
// stallTime.
func (l *serverLoad) isStalled(now time.Time) bool {
	if len(l.awaiting) == 0 {
		return false
	}
	since := l.awaiting[0].sent
	if l.lastAnswer.After(since) {
		since = l.lastAnswer
	}
	return now.Sub(since) > stallTime
}

// Parameters of the failure rate.
const (
	// failureStep is the weight of the latest outcome in the moving average.
	failureStep = 0.3
	// failureHalfLife is the half-life of the rate. The decay ensures that a server which was
	// avoided is tried again.
	failureHalfLife = 2 * time.Second
)

// A failureRate is an exponentially decayed average of failures.
type failureRate struct {
	share float64
	when  time.Time
}

// at returns the rate at a point in time, 0 to 1.
func (f *failureRate) at(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.when))/float64(failureHalfLife))
}

// observe records an outcome: 1 is a failure, 0 a success.
func (f *failureRate) observe(outcome float64, now time.Time) {
	share := f.at(now)
	f.share = share + (outcome-share)*failureStep
	f.when = now
}
