package dispatch

import "slices"

// Weights of the expected cost of a server, in milliseconds.
const (
	// msPerRun is what one running request adds to the others' steps.
	msPerRequest = 1.5
	// msOtherHall is the cost of leaving the own data hall.
	msOtherHall = 25.0
	// msOther is the cost of an engine that another gateway feeds first.
	msOtherOwner = 30.0
	// otherShare is the part of the limit of reading up to which a gateway that has
	// engines of its own for a request sends it to one that another gateway feeds
	// first: it sees late what that one has sent.
	otherOwnerShare = 0.6
	// msSuspect is the cost of a server that failed or was silent lately.
	msSuspect = 2000.0
	// msSpread bounds the cost by which gateways' choices differ.
	msJitter = 20.0
	// msPlainRun is what one running request adds at a plain service.
	msPerPlainRequest = 10.0
)

// A Candidate is a server as a choice sees it.
type Candidate struct {
	// Running is the number of requests there, from all processes.
	Running int
	// Reading is the time to read the prompts sent there whose first event has not
	// come, in milliseconds.
	PrefillAhead float64
	// Lately is how long an own engine reads other prompts in the time of one pause
	// that ends when this prompt is read, in milliseconds.
	PrefillInGap float64
	// Used is the engine's memory in use, in tokens; Memory is what it has, 0 for a plain service.
	UsedTokens, CacheTokens int
	// Slots is the number of requests it works on at once.
	Slots int
	// Read is the time to read what the server does not keep of the request's prompt,
	// in milliseconds.
	Prefill float64
	// Tokens is that part of the prompt.
	PrefillTokens int
	// Need is the memory that the request takes at most, in tokens.
	NeedTokens int
	// Near tells that the server is in the own data hall.
	SameHall bool
	// Own tells that this gateway is the one that feeds the engine first.
	Owned bool
	// Asked tells that the engine's owner is another gateway, which is asked for the
	// place before the request is sent.
	NeedsGrant bool
	// Spread is a cost that differs from gateway to gateway, in milliseconds, so that
	// they do not all send to the same one of many servers whose loads they do not know.
	Jitter float64
	// Failure is the server's recent share of failures, 0 to 1.
	FailureRate float64
	// Silent tells that the server owes answers and has said nothing for long.
	Stalled bool
}

// Limits bound what is sent to one engine.
type Limits struct {
	// Pace is what pauses running streams bear: they pause while an engine reads.
	Gap GapBudget
	// Fill is the part of slots and memory that may be taken.
	Utilization float64
}

// fits reports whether the server can take the request now; fed tells that an
// engine for whose places it asks or which it feeds first could take it too, now or
// soon.
func (c Candidate) fits(l Limits, fed bool) bool {
	if c.CacheTokens == 0 {
		return true
	}
	if float64(c.Running+1) > l.Utilization*float64(c.Slots) {
		return false
	}
	if c.Running > 0 && float64(c.UsedTokens+c.NeedTokens) > l.Utilization*float64(c.CacheTokens) {
		return false
	}
	if l.Gap.MaxGap == 0 {
		return true
	}
	limit := l.Gap.prefillPerStep(c.Running)
	switch {
	case c.Owned, c.NeedsGrant:
		limit = l.Gap.prefillPerGap(c.Running)
	case fed:
		return c.PrefillAhead == 0 && c.Prefill <= limit*otherOwnerShare
	}
	reading := max(c.PrefillAhead, c.PrefillInGap)
	return reading == 0 || reading+c.Prefill <= limit
}

// cost returns the expected time to the first answer, in milliseconds.
func (c Candidate) cost() float64 {
	ms := 0.0
	if c.CacheTokens > 0 {
		ms = c.PrefillAhead + c.Prefill + float64(c.Running)*msPerRequest
	} else {
		ms = float64(c.Running) * msPerPlainRequest
		if c.Slots > 0 && c.Running >= c.Slots {
			ms += float64(c.Running-c.Slots+1) * msPerPlainRequest
		}
	}
	if !c.Owned && c.CacheTokens > 0 {
		ms += msOtherOwner
	}
	if !c.SameHall {
		ms += msOtherHall
		if c.CacheTokens == 0 {
			ms -= msOtherHall - msPerPlainRequest
		}
	}
	if c.Stalled {
		ms += msSuspect
	}
	return ms + c.Jitter + c.FailureRate*msSuspect
}

// Choose returns the index of the best candidate that fits, or -1.
func Choose(list []Candidate, l Limits) int {
	best := -1
	bestCost := 0.0
	fed := slices.ContainsFunc(list, func(c Candidate) bool { return (c.Owned || c.NeedsGrant) && !c.Stalled })
	for i, c := range list {
		if !c.fits(l, fed) {
			continue
		}
		if cost := c.cost(); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
