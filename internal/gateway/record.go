package gateway

import (
	"time"

	"rockcleat/dispatch"
)

// Outcomes of requests, as logs and metrics name them.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
	outcomeTimeout  = "timeout"
	outcomeCut      = "cut"
	outcomeGone     = "caller_gone"
	// outcomeQuarantined says that servers have ended under copies of the request.
	outcomeQuarantined = "quarantined"
)

// A record collects what happened to one request.
type record struct {
	// sends counts the sends that reached a server, runs those that may have run, unsent
	// those that reached none.
	sends, runs, unsent int
	// waited is the time to the first send.
	waited time.Duration
	// reservation is the last one; nil if there was none.
	reservation *dispatch.Reservation
	// firstByte is when the caller got the header of an answer.
	firstByte time.Time
	// events counts the events of a stream that were passed on, longestGap is the
	// longest time between two.
	events     int
	longestGap time.Duration
	outcome    string
	status     int
	// holders is the number of servers that held the model when the request was refused.
	holders int
}

// lateResult is the result of a late answer for load shedding, between 0 for none and 1 for
// one in time: it still serves its caller, but less than half as well.
const lateResult = 0.3

// result returns how well the request was served, from 0 (not at all) to 1 (in time), and
// whether that was a matter of load: a server that was lost, or a model that no server
// holds, says nothing about it.
func (r *record) result(in *inbound) (result float64, ok bool) {
	switch r.outcome {
	case outcomeRefused:
		return 0, r.holders > 0
	case outcomeTimeout:
		return 0, true
	case outcomeAnswered:
		if r.inTime(in) {
			return 1, true
		}
		return lateResult, true
	}
	return 0, false
}

// inTime reports whether the answer began and went on within the route's objectives.
func (r *record) inTime(in *inbound) bool {
	gap := in.route.EventGapObjective
	return r.firstByte.Sub(in.arrived) <= in.route.FirstByteObjective && (gap == 0 || r.longestGap <= gap)
}

// untilFirstByte returns the time from the arrival to the first byte; 0 if there was none.
func (r *record) untilFirstByte(in *inbound) time.Duration {
	if r.firstByte.IsZero() {
		return 0
	}
	return r.firstByte.Sub(in.arrived)
}
