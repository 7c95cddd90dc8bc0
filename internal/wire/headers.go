package wire

import (
	"net/http"
	"strconv"
	"time"
)

// Headers between callers, entries and agents.
const (
	// HeaderOutcome tells callers which of the three outcomes an answer is.
	HeaderOutcome = "Rockcleat-Outcome"
	// HeaderRequestID follows a request through entry, agent and engine.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey names a request that may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks an answer given from the record of an earlier request.
	HeaderReplayed = "Rockcleat-Replayed"
	// HeaderReason names why a request was refused.
	HeaderReason = "Rockcleat-Reason"
	// HeaderRow names the table row of a request between entry and agent.
	HeaderRow = "Rockcleat-Row"
	// HeaderDigest is the same for all copies of a request (package quarantine), between entry and agent.
	HeaderDigest = "Rockcleat-Digest"
	// HeaderTokens is the expected cost of a request in tokens.
	HeaderTokens = "Rockcleat-Tokens"
	// HeaderLoad is an agent's load, in requests per slot in percent, on each answer.
	HeaderLoad = "Rockcleat-Load"
	// HeaderLeaving is the agent's incarnation when it takes no new work.
	HeaderLeaving = "Rockcleat-Leaving"
	// HeaderTableVersion is the sender's table version.
	HeaderTableVersion = "Rockcleat-Table"
	// HeaderEntry is the control address of the entry that sent a request.
	HeaderEntry = "Rockcleat-Entry"
	// HeaderResume is the number of tokens that a resumed stream has already given.
	HeaderResume = "Rockcleat-Resume"
	// HeaderWaited is how long a request waited at the agent, in milliseconds.
	HeaderWaited = "Rockcleat-Waited-Ms"
	// HeaderRetryAfterMs is when to come back, in milliseconds, beside the standard Retry-After.
	HeaderRetryAfterMs = "Retry-After-Ms"
)

// An Outcome is one of the three outcomes of a request.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered: the backend server's own answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: the request was not run and may be sent again.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// SetRetryAfter writes when to come back, in whole seconds rounded up and in
// milliseconds.
func SetRetryAfter(h http.Header, d time.Duration) {
	ms := max(d.Milliseconds(), 1)
	h.Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	h.Set(HeaderRetryAfterMs, strconv.FormatInt(ms, 10))
}

// RetryAfter reads when to come back; zero if the header says nothing.
func RetryAfter(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMs), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
