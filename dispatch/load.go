package dispatch

import (
	"maps"
	"math"
	"time"
)

// A Load is the load of one process at one server.
type Load struct {
	// Running is the number of requests.
	Running int `json:"n"`
	// PrefillMs is the time to prefill the prompts whose first byte has not come, in
	// milliseconds.
	PrefillMs int `json:"r,omitempty"`
	// UsedTokens is the cache memory that the requests take at most, in tokens.
	UsedTokens int `json:"u,omitempty"`
}

// minus returns the load without a part of it.
func (l Load) minus(part Load) Load {
	return Load{
		Running:    max(l.Running-part.Running, 0),
		PrefillMs:  max(l.PrefillMs-part.PrefillMs, 0),
		UsedTokens: max(l.UsedTokens-part.UsedTokens, 0),
	}
}

// A remoteLoad is the load of the other processes at one server at a time.
type remoteLoad struct {
	Load
	at time.Time
}

// now returns the load as it should be now: prefill goes on as time passes.
func (l remoteLoad) now(now time.Time) Load {
	out := l.Load
	out.PrefillMs = max(out.PrefillMs-int(now.Sub(l.at)/time.Millisecond), 0)
	return out
}

// A serverLoad is the load of this process at one server, with what it has observed there.
type serverLoad struct {
	Load
	prefixes prefixCache
	failures failureRate
	// lastAnswer is when the server last sent something.
	lastAnswer time.Time
	// awaiting are the sends whose first byte has not come, the oldest first.
	awaiting []*Reservation
	// grants are the admissions given to other gateways' requests lately.
	grants []grant
	// prefill holds the prompts that an owned engine is expected to prefill.
	prefill prefillQueue
	// deniedUntil is until when the engine's owner grants nothing.
	deniedUntil time.Time
	permits     permits
	// lackedUntil is until when the engine is not asked for models and adapters that it has refused
	// since it does not hold them.
	lackedUntil map[string]time.Time
}

// lackTime is how long an engine that does not hold a model or adapter is not asked for it again: as
// long as what engines hold may take to be known elsewhere. Each such send takes from the retry budget.
const lackTime = time.Second

// noteLack notes that the engine does not hold a model or adapter.
func (l *serverLoad) noteLack(target string, now time.Time) {
	if l.lackedUntil == nil {
		l.lackedUntil = make(map[string]time.Time)
	}
	maps.DeleteFunc(l.lackedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	l.lackedUntil[target] = now.Add(lackTime)
}

// askableFrom returns from when on the server may be asked for a model or adapter.
func (l *serverLoad) askableFrom(target string) time.Time {
	if until := l.lackedUntil[target]; until.After(l.deniedUntil) {
		return until
	}
	return l.deniedUntil
}

// isStalled reports whether the server owes a first byte and has sent nothing for stallTime.
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

// How a server's failure rate follows its outcomes.
const (
	// failureStep is how much one outcome moves the rate: a server with one failure
	// costs 600 ms more for now.
	failureStep = 0.3
	// failureHalfLife is how fast the rate decays, so that a server that was avoided is
	// tried again.
	failureHalfLife = 2 * time.Second
)

// A failureRate is a recent share of failures that decays with time.
type failureRate struct {
	share float64
	when  time.Time
}

// at returns the share as it stands at a time.
func (f *failureRate) at(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.when))/float64(failureHalfLife))
}

// observe counts one outcome: 1 is a failure, 0 a success.
func (f *failureRate) observe(outcome float64, now time.Time) {
	share := f.at(now)
	f.share = share + (outcome-share)*failureStep
	f.when = now
}
