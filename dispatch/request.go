package dispatch

import (
	"slices"
	"time"
)

// A Request describes a caller's request as far as a choice depends on it.
type Request struct {
	Service string
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	// PromptTokens is the length of the prompt, MaxOutputTokens the most to generate.
	PromptTokens, MaxOutputTokens int
	// Prefix lists the blocks that the prompt begins with.
	Prefix []PrefixBlock
	// FirstByteObjective is how soon the answer should begin; 0 if no time is set.
	FirstByteObjective time.Duration
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// WaitUntil is when the request stops waiting for a server.
	WaitUntil time.Time
	// SendBy is when the request must be sent for its answer to begin in time; after
	// that it is late: requests that can still be in time go first, and it may take only
	// a part of an engine. Zero is no limit.
	SendBy time.Time
	// Gap is the budget between two events of the request's stream.
	Gap GapBudget
	// Exclude names servers that are not to be chosen.
	Exclude []string
	// MayHaveRun says that a server may have run the request, so that it is not shed.
	MayHaveRun bool
	// GrantsAsked counts the admissions that other gateways were asked for, GrantsGiven
	// and GrantsDenied their answers; the rest had no answer.
	GrantsAsked, GrantsGiven, GrantsDenied int
	// PermitsDenied counts the permits that were denied at servers with limits.
	PermitsDenied int
	// admittedLate says that another gateway's request is late; its SendBy is not known here.
	admittedLate bool
	// sequence is the request's number in the order of arrival; 0 before it has waited.
	sequence uint64
}

// isLate reports whether the answer to a request that is sent now cannot begin in time. One
// that may have run is never late: its caller may have the beginning of an answer.
func (r *Request) isLate(now time.Time) bool {
	if r.MayHaveRun {
		return false
	}
	return r.admittedLate || !r.SendBy.IsZero() && !now.Before(r.SendBy)
}

// excludes reports whether a server is not to be chosen.
func (r *Request) excludes(server string) bool { return slices.Contains(r.Exclude, server) }

// target names the model or adapter, as MODEL or MODEL/ADAPTER.
func (r *Request) target() string {
	if r.Adapter == "" {
		return r.Model
	}
	return r.Model + "/" + r.Adapter
}

// before reports whether the request is served before another one that waits.
func (r *Request) before(o *Request) bool {
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.sequence < o.sequence
}
