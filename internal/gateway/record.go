package gateway

import (
	"time"

	"rockcleat/dispatch"
	"rockcleat/internal/serverconn"
)

// Outcomes of requests, as used in log lines and metrics.
const (
	outcomeAnswered   = "answered"
	outcomeFailed     = "failed"
	outcomeRefused    = "refused"
	outcomeUnknown    = "unknown"
	outcomeTimeout    = "timeout"
	outcomeAborted    = "cut"
	outcomeCallerGone = "caller_gone"
	// outcomeQuarantined: servers have crashed under copies of the request.
	outcomeQuarantined = "quarantined"
)

// A record holds what happened to one request.
type record struct {
	// sends counts the sends that were written to a server, at least in part, runs those of them that may have run, and
	// unsent those of which nothing was written.
	sends, runs, unsent int
	// refunded is the part of the charge that was returned to the organisation's rate limit, in the limit's unit.
	refunded float64
	// waited is the time from arrival to the first send.
	waited time.Duration
	// reservation is the last one; nil if no server was acquired.
	reservation *dispatch.Reservation
	// firstByte is when the response's header was sent to the caller.
	firstByte time.Time
	// events counts the events of a stream that were forwarded. longestGap is the longest time between two of them.
	events     int
	longestGap time.Duration
	outcome    string
	status     int
	// unframed is the send whose response was forwarded if that ended with its connection, without a length or chunks; nil
	// otherwise.
	unframed *serverconn.Exchange
	// refusal is the gateway's own response; nil if there is none.
	refusal *refusal
	// holders is the number of servers that had the model loaded when the request was refused.
	holders int
}

// count counts a send.
func (r *record) count(v verdict) {
	if v == verdictNotSent {
		r.unsent++
		return
	}
	r.sends++
	if v != verdictRefused {
		r.runs++
	}
}

// lateResult is the result of a late response, for load shedding. A late response still has some value to the caller.
const lateResult = 0.3

// result returns how well the request was served, from 0 (not at all) to 1 (in time). ok is false if the outcome does
// not depend on load, for instance because a server was lost or no server had the model loaded.
func (r *record) result(in *inbound) (result float64, ok bool) {
	switch r.outcome {
	case outcomeRefused:
		return 0, r.holders > 0
	case outcomeTimeout:
		return 0, true
	case outcomeAnswered:
		if r.meetsObjectives(in) {
			return 1, true
		}
		return lateResult, true
	}
	return 0, false
}

// meetsObjectives reports whether the response met the route's objectives for the first byte and the gap between events.
func (r *record) meetsObjectives(in *inbound) bool {
	gap := in.route.EventGapObjective
	return r.firstByte.Sub(in.arrived) <= in.route.FirstByteObjective && (gap == 0 || r.longestGap <= gap)
}

// untilFirstByte returns the time from arrival to the first byte; 0 if there was no first byte.
func (r *record) untilFirstByte(in *inbound) time.Duration {
	if r.firstByte.IsZero() {
		return 0
	}
	return r.firstByte.Sub(in.arrived)
}
