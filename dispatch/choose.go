package dispatch

import (
	"slices"
	"time"
)

// Terms of a candidate's cost.
const (
	// requestCost is the cost of each running request at an engine, which lengthens every decoding
	// step.
	requestCost Milliseconds = 1.5
	// plainRequestCost is the cost of each running request at a server of a plain service.
	plainRequestCost Milliseconds = 10.0
	// otherHallCost is the cost of an engine in another data hall. It exceeds the network latency
	// between halls, 0.5 to 1.5 ms, so that prompts and streams stay within a hall if possible.
	otherHallCost Milliseconds = 25.0
	// plainOtherHallCost is the cost of a server of a plain service in another data hall. The bodies of
	// plain services are small.
	plainOtherHallCost Milliseconds = 10.0
	// otherOwnerCost is the cost of an engine that another gateway owns.
	otherOwnerCost Milliseconds = 30.0
	// unadmittedPrefillShare limits the prompts sent to an engine without its owner's admission, as
	// a fraction of the prefill time allowed per decoding step. It applies while another
	// candidate's load is known exactly; the load that the owner places on its engine is known only
	// with a delay.
	unadmittedPrefillShare = 0.6
	// suspectCost is the cost of a stalled server and, multiplied by FailureRate, of a failing one.
	// It exceeds any prefill queue that admission allows, so that a stalled server is chosen last.
	suspectCost Milliseconds = 2000.0
	// maxJitter is the upper bound of Candidate.Jitter (docs/design/0009).
	maxJitter Milliseconds = 20.0
	// trialRequestCost is the cost for a trial of each running request, which the crash of the server
	// would cut off.
	trialRequestCost Milliseconds = 100.0
	// stallTimeout is how long a server may send nothing while a first byte is outstanding before
	// it counts as stalled.
	stallTimeout = 1500 * time.Millisecond
)

// A Candidate is the state of a server that Choose evaluates for one request.
type Candidate struct {
	// Running is the number of requests that all processes have at the server.
	Running int
	// PrefillAhead is the prefill time of the prompts queued there.
	PrefillAhead Milliseconds
	// PrefillInGap is set for an owned engine: the prefill time of other prompts within the window
	// of length GapBudget.MaxGap that ends when this prompt is prefilled.
	PrefillInGap Milliseconds
	// UsedTokens is the cache memory in use at the engine and CacheTokens its total, both in
	// tokens. CacheTokens is 0 for a plain service.
	UsedTokens, CacheTokens int
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// PrefillTime is the time to prefill the uncached part of the prompt, PrefillTokens the length of
	// that part in tokens.
	PrefillTime   Milliseconds
	PrefillTokens int
	// RequiredTokens is the maximum cache memory that the request uses, in tokens.
	RequiredTokens int
	// SameHall means that the server is in this gateway's data hall.
	SameHall bool
	// Owned means that this gateway owns the engine and admits the requests of all gateways there.
	Owned bool
	// NeedsAdmission means that another gateway owns the engine and has to admit the request.
	NeedsAdmission bool
	// Counted means that the server's owner counts each request there.
	Counted bool
	// Jitter is a cost that differs between gateways, so that they do not all choose the same
	// server when its load is unknown.
	Jitter Milliseconds
	// FailureRate is the decayed failure rate of the server, 0 to 1.
	FailureRate float64
	// Stalled means that first bytes are outstanding and the server has sent nothing for
	// stallTimeout.
	Stalled bool
	// OnTrial means that the request may make the server crash. Trials is the number of such requests
	// that this process has there.
	OnTrial bool
	Trials  int
	// SoleHolder is set for a trial: no other server holds one of the server's models.
	SoleHolder bool
	// StepTime is the learned time of a decoding step of the slowest model that the engine holds, on an idle engine of usual
	// speed; 0 if it is not known.
	StepTime Milliseconds
	// TimeFactor is the time that the server takes relative to the median server of its service; 0 means 1.
	// PrefillTime includes it.
	TimeFactor float64
}

// Limits are the limits that apply to one request at one engine.
type Limits struct {
	// Gap limits the pauses of running streams, which pause while the engine prefills.
	Gap GapBudget
	// Utilization is the fraction of slots and cache memory that may be used, 0 to 1.
	Utilization float64
}

// canTake reports whether the server can take the request now. exact means that the load of some
// candidate is known exactly, because this gateway owns the engine or its owner can be asked.
func (c Candidate) canTake(l Limits, exact bool) bool {
	if c.CacheTokens == 0 {
		return !c.Counted || c.takesPlain()
	}
	if !c.hasCapacity(l) {
		return false
	}
	if l.Gap.MaxGap == 0 {
		return true
	}
	switch {
	case c.Owned || c.NeedsAdmission:
		return c.prefillFits(c.prefillPerGap(l.Gap))
	case exact:
		return c.fitsIdle(c.prefillPerStep(l.Gap) * unadmittedPrefillShare)
	}
	return c.prefillFits(c.prefillPerStep(l.Gap))
}

// takesPlain reports whether a server of a counted plain service can take a request. Without its owner's admission it gets
// requests only if it is known to be far from full.
func (c Candidate) takesPlain() bool {
	if c.Owned || c.NeedsAdmission {
		return c.Running < plainSlots(c.Slots)
	}
	return 2*c.Running < c.Slots
}

// hasCapacity reports whether the engine has a free slot and enough cache memory. An idle engine
// takes any request, since waiting would not free more capacity.
func (c Candidate) hasCapacity(l Limits) bool {
	if c.Running == 0 {
		return true
	}
	if float64(c.Running+1) > l.Utilization*c.usableSlots() {
		return false
	}
	return float64(c.UsedTokens+c.RequiredTokens) <= l.Utilization*float64(c.CacheTokens)
}

// prefillFits reports whether the prompt and the other prompts stay within the limit. A prompt
// longer than the limit fits only if there are no others.
func (c Candidate) prefillFits(limit Milliseconds) bool {
	others := max(c.PrefillAhead, c.PrefillInGap)
	return others == 0 || others+c.PrefillTime <= limit
}

// fitsIdle reports whether the engine has no prompts queued and the prompt is within the limit.
func (c Candidate) fitsIdle(limit Milliseconds) bool {
	return c.PrefillAhead == 0 && c.PrefillTime <= limit
}

// cost returns the expected time to first byte plus penalties.
func (c Candidate) cost() Milliseconds {
	ms := c.plainServiceCost()
	if c.CacheTokens > 0 {
		ms = c.engineCost()
	}
	if c.Stalled {
		ms += suspectCost
	}
	return ms + c.Jitter + Milliseconds(c.FailureRate)*suspectCost + c.trialCost()
}

// trialCost returns the cost of a server's crash for a request on trial. Two trials at one server are avoided, since its
// crash would not tell which of them caused it.
func (c Candidate) trialCost() Milliseconds {
	if !c.OnTrial {
		return 0
	}
	ms := Milliseconds(c.Running)*trialRequestCost + Milliseconds(c.Trials)*suspectCost
	if c.SoleHolder {
		ms += suspectCost
	}
	return ms
}

// engineCost returns the cost of an engine: its queued prompts, this prompt and its running
// requests.
func (c Candidate) engineCost() Milliseconds {
	ms := c.PrefillAhead + c.PrefillTime + Milliseconds(c.Running)*requestCost*c.timeFactor()
	if !c.Owned {
		ms += otherOwnerCost
	}
	if !c.SameHall {
		ms += otherHallCost
	}
	return ms
}

// plainServiceCost returns the cost of a server of a plain service. Requests beyond the number of
// slots count twice.
func (c Candidate) plainServiceCost() Milliseconds {
	ms := Milliseconds(c.Running) * plainRequestCost
	if c.Slots > 0 && c.Running >= c.Slots {
		ms += Milliseconds(c.Running-c.Slots+1) * plainRequestCost
	}
	ms = ms*c.timeFactor() + c.ownWorkCost()
	if !c.SameHall {
		ms += plainOtherHallCost
	}
	return ms
}

// Choose returns the index of the candidate with the lowest cost that can take the request, or -1
// if there is none.
func Choose(list []Candidate, l Limits) int {
	exact := slices.ContainsFunc(list, func(c Candidate) bool { return (c.Owned || c.NeedsAdmission) && !c.Stalled })
	best := -1
	bestCost := Milliseconds(0)
	for i, c := range list {
		if !c.canTake(l, exact) {
			continue
		}
		if cost := c.cost() + c.gapCost(l.Gap); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
