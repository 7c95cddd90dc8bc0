package wire

import (
	"net/http"
	"strconv"
	"time"
)

// Headers between callers, entries and agents.
const (
	// HeaderOutcome is the Outcome of a request, for callers.
	HeaderOutcome = "Rockcleat-Outcome"
	// HeaderRequestID identifies a request at entry, agent and engine.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey is the key of a request that must not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a response that is replayed from the record of an earlier request.
	HeaderReplayed = "Rockcleat-Replayed"
	// HeaderReason is the reason for which a request was refused.
	HeaderReason = "Rockcleat-Reason"
	// HeaderRow is the name of a request's table row, between entry and agent.
	HeaderRow = "Rockcleat-Row"
	// HeaderDigest is equal for all copies of a request (package quarantine), between entry and agent.
	HeaderDigest = "Rockcleat-Digest"
	// HeaderTokens is the expected cost of a request in tokens.
	HeaderTokens = "Rockcleat-Tokens"
	// HeaderLoad is an agent's load on each response: requests per slot, in percent.
	HeaderLoad = "Rockcleat-Load"
	// HeaderLeaving is the incarnation of an agent that accepts no new work.
	HeaderLeaving = "Rockcleat-Leaving"
	// HeaderTableVersion is the sender's table version.
	HeaderTableVersion = "Rockcleat-Table"
	// HeaderEntry is the control address of the entry that sent a request.
	HeaderEntry = "Rockcleat-Entry"
	// HeaderResume is the number of tokens that a resumed stream has already delivered.
	HeaderResume = "Rockcleat-Resume"
	// HeaderWaited is the time that a request waited at the agent, in milliseconds.
	HeaderWaited = "Rockcleat-Waited-Ms"
	// HeaderRetryAfterMs is the Retry-After delay in milliseconds.
	HeaderRetryAfterMs = "Retry-After-Ms"
)

// An Outcome states whether a request was run.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeAnswered marks the backend server's own response.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request was not run and may be sent again.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// SetRetryAfter sets Retry-After to d in seconds, rounded up, and HeaderRetryAfterMs to d in
// milliseconds, at least 1.
func SetRetryAfter(h http.Header, d time.Duration) {
	ms := max(d.Milliseconds(), 1)
	h.Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	h.Set(HeaderRetryAfterMs, strconv.FormatInt(ms, 10))
}

// RetryAfter returns the delay in HeaderRetryAfterMs, 0 if it is absent or invalid.
func RetryAfter(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMs), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
