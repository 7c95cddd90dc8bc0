package dispatch

import (
	"slices"
	"time"
)

// Weights of the expected cost of a server.
const (
	// msPerRequest is the time that one running request adds to the others' steps.
	msPerRequest Milliseconds = 1.5
	// msPerPlainRequest is the time that one running request adds at a plain service.
	msPerPlainRequest Milliseconds = 10.0
	// msOtherHall is the cost of an engine in another data hall. Halls are 0.5 to 1.5
	// ms apart (the brief); the rest keeps prompts and streams within a hall.
	msOtherHall Milliseconds = 25.0
	// msPlainOtherHall is the same for a plain service, whose bodies are small.
	msPlainOtherHall Milliseconds = 10.0
	// msOtherOwner is the cost of an engine that another gateway owns.
	msOtherOwner Milliseconds = 30.0
	// otherOwnerShare is the part of the prefill of a step up to which a request goes to
	// an engine whose owner is not asked, while there are engines whose load is known
	// exactly: what its owner has sent there is known late.
	otherOwnerShare = 0.6
	// msSuspect is the cost of a server that stalls or has failed: more than any queue
	// that admission allows, so that it is chosen last.
	msSuspect Milliseconds = 2000.0
	// msJitter bounds the cost by which gateways' choices differ (docs/design/0009).
	msJitter Milliseconds = 20.0
	// stallTime is how long a server may owe a first byte and send nothing at all
	// before it is suspected.
	stallTime = 1500 * time.Millisecond
)

// A Candidate is a server as a choice sees it.
type Candidate struct {
	// Running is the number of requests there, from all processes.
	Running int
	// PrefillAhead is the prefill time of the prompts sent there before.
	PrefillAhead Milliseconds
	// PrefillInGap is, for an owned engine, the prefill time of other prompts within the
	// longest gap that ends when this prompt is prefilled.
	PrefillInGap Milliseconds
	// UsedTokens is the engine's cache memory in use, CacheTokens what it has; the
	// latter is 0 for a plain service.
	UsedTokens, CacheTokens int
	// Slots is the number of requests it works on at once.
	Slots int
	// Prefill is the time to prefill what the server has not cached of the prompt, and
	// PrefillTokens the length of that part.
	Prefill       Milliseconds
	PrefillTokens int
	// NeedTokens is the cache memory that the request takes at most.
	NeedTokens int
	// SameHall says that the server is in this gateway's data hall.
	SameHall bool
	// Owned says that this gateway owns the engine: it admits requests there, its own
	// and other gateways'.
	Owned bool
	// NeedsGrant says that another gateway owns the engine and is asked for admission.
	NeedsGrant bool
	// Jitter is a cost that differs from gateway to gateway, so that they do not all
	// choose the same one of many servers whose loads they do not know.
	Jitter Milliseconds
	// FailureRate is the server's recent share of failures, 0 to 1.
	FailureRate float64
	// Stalled says that the server owes first bytes and has sent nothing for stallTime.
	Stalled bool
}

// Limits bound what is sent to one engine.
type Limits struct {
	// Gap is the budget of running streams: they pause while an engine prefills.
	Gap GapBudget
	// Utilization is the part of slots and memory that may be taken, 0 to 1.
	Utilization float64
}

// admits reports whether the server can take the request now. exact says that there is a
// candidate whose load is known exactly, since this gateway owns it or asks its owner.
func (c Candidate) admits(l Limits, exact bool) bool {
	if c.CacheTokens == 0 {
		return true
	}
	if !c.hasCapacity(l) {
		return false
	}
	if l.Gap.MaxGap == 0 {
		return true
	}
	switch {
	case c.Owned || c.NeedsGrant:
		return c.prefillFits(l.Gap.prefillPerGap(c.Running))
	case exact:
		return c.isIdleFor(l.Gap.prefillPerStep(c.Running) * otherOwnerShare)
	}
	return c.prefillFits(l.Gap.prefillPerStep(c.Running))
}

// hasCapacity reports whether the engine has a slot and memory left. An engine without
// requests takes any request, since nothing would make it fit later.
func (c Candidate) hasCapacity(l Limits) bool {
	if c.Running == 0 {
		return true
	}
	if float64(c.Running+1) > l.Utilization*float64(c.Slots) {
		return false
	}
	return float64(c.UsedTokens+c.NeedTokens) <= l.Utilization*float64(c.CacheTokens)
}

// prefillFits reports whether the prompt's prefill, with that of others beside it, stays
// within a limit. A prompt longer than the limit fits when there are no others.
func (c Candidate) prefillFits(limit Milliseconds) bool {
	others := max(c.PrefillAhead, c.PrefillInGap)
	return others == 0 || others+c.Prefill <= limit
}

// isIdleFor reports whether the engine prefills nothing and the prompt is short enough.
func (c Candidate) isIdleFor(limit Milliseconds) bool {
	return c.PrefillAhead == 0 && c.Prefill <= limit
}

// cost returns the expected time to the first byte, with penalties that are counted as time.
func (c Candidate) cost() Milliseconds {
	ms := c.plainCost()
	if c.CacheTokens > 0 {
		ms = c.engineCost()
	}
	if c.Stalled {
		ms += msSuspect
	}
	return ms + c.Jitter + Milliseconds(c.FailureRate)*msSuspect
}

// engineCost is the time of the prompts ahead, of this one and of the running requests.
func (c Candidate) engineCost() Milliseconds {
	ms := c.PrefillAhead + c.Prefill + Milliseconds(c.Running)*msPerRequest
	if !c.Owned {
		ms += msOtherOwner
	}
	if !c.SameHall {
		ms += msOtherHall
	}
	return ms
}

// plainCost is the time of the running requests; those beyond the slots count twice.
func (c Candidate) plainCost() Milliseconds {
	ms := Milliseconds(c.Running) * msPerPlainRequest
	if c.Slots > 0 && c.Running >= c.Slots {
		ms += Milliseconds(c.Running-c.Slots+1) * msPerPlainRequest
	}
	if !c.SameHall {
		ms += msPlainOtherHall
	}
	return ms
}

// Choose returns the index of the cheapest candidate that admits the request, or -1.
func Choose(list []Candidate, l Limits) int {
	exact := slices.ContainsFunc(list, func(c Candidate) bool { return (c.Owned || c.NeedsGrant) && !c.Stalled })
	best := -1
	bestCost := Milliseconds(0)
	for i, c := range list {
		if !c.admits(l, exact) {
			continue
		}
		if cost := c.cost(); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
