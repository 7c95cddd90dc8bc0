package dispatch

import "time"

// A Request describes a caller's request as far as a choice depends on it.
type Request struct {
	Service string
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	// PromptTokens is the length of the prompt, MaxOutputTokens the most to generate.
	PromptTokens, MaxOutputTokens int
	// Prefix lists the blocks that the prompt begins with.
	Prefix []PrefixBlock
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// WaitUntil is when the request stops waiting for a server.
	WaitUntil time.Time
	// SendBy is when the request must be sent for its answer to begin in time; after
	// that, requests that can still be in time go first.
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
	// sequence is the request's number in the order of arrival; 0 before it has waited.
	sequence uint64
}

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
