package dispatch

import "slices"

// Weights of the expected cost of a server, in milliseconds.
const (
	// msPerRun is what one running request adds to the others' steps.
	msPerRun = 1.5
	// msOtherHall is the cost of leaving the own data hall.
	msOtherHall = 25.0
	// msOther is the cost of an engine that another gateway feeds first.
	msOther = 30.0
	// otherShare is the part of the limit of reading up to which a gateway that has
	// engines of its own for a request sends it to one that another gateway feeds
	// first: it sees late what that one has sent.
	otherShare = 0.6
	// msSuspect is the cost of a server that failed or was silent lately.
	msSuspect = 2000.0
	// msSpread bounds the cost by which gateways' choices differ.
	msSpread = 20.0
	// msPlainRun is what one running request adds at a plain service.
	msPlainRun = 10.0
)

// A Candidate is a server as a choice sees it.
type Candidate struct {
	// Running is the number of requests there, from all processes.
	Running int
	// Reading is the time to read the prompts sent there whose first event has not
	// come, in milliseconds.
	Reading float64
	// Lately is how long an own engine reads other prompts in the time of one pause
	// that ends when this prompt is read, in milliseconds.
	Lately float64
	// Used is the engine's memory in use, in tokens; Memory is what it has, 0 for a plain service.
	Used, Memory int
	// Slots is the number of requests it works on at once.
	Slots int
	// Read is the time to read what the server does not keep of the request's prompt,
	// in milliseconds.
	Read float64
	// Tokens is that part of the prompt.
	Tokens int
	// Need is the memory that the request takes at most, in tokens.
	Need int
	// Near tells that the server is in the own data hall.
	Near bool
	// Own tells that this gateway is the one that feeds the engine first.
	Own bool
	// Asked tells that the engine's owner is another gateway, which is asked for the
	// place before the request is sent.
	Asked bool
	// Spread is a cost that differs from gateway to gateway, in milliseconds, so that
	// they do not all send to the same one of many servers whose loads they do not know.
	Spread float64
	// Failure is the server's recent share of failures, 0 to 1.
	Failure float64
	// Silent tells that the server owes answers and has said nothing for long.
	Silent bool
}

// Limits bound what is sent to one engine.
type Limits struct {
	// Pace is what pauses running streams bear: they pause while an engine reads.
	Pace Pace
	// Fill is the part of slots and memory that may be taken.
	Fill float64
}

// fits reports whether the server can take the request now; fed tells that an
// engine for whose places it asks or which it feeds first could take it too, now or
// soon.
func (c Candidate) fits(l Limits, fed bool) bool {
	if c.Memory == 0 {
		return true
	}
	if float64(c.Running+1) > l.Fill*float64(c.Slots) {
		return false
	}
	if c.Running > 0 && float64(c.Used+c.Need) > l.Fill*float64(c.Memory) {
		return false
	}
	if l.Pace.Pause == 0 {
		return true
	}
	limit := l.Pace.perStep(c.Running)
	switch {
	case c.Own, c.Asked:
		limit = l.Pace.reading(c.Running)
	case fed:
		return c.Reading == 0 && c.Read <= limit*otherShare
	}
	reading := max(c.Reading, c.Lately)
	return reading == 0 || reading+c.Read <= limit
}

// cost returns the expected time to the first answer, in milliseconds.
func (c Candidate) cost() float64 {
	ms := 0.0
	if c.Memory > 0 {
		ms = c.Reading + c.Read + float64(c.Running)*msPerRun
	} else {
		ms = float64(c.Running) * msPlainRun
		if c.Slots > 0 && c.Running >= c.Slots {
			ms += float64(c.Running-c.Slots+1) * msPlainRun
		}
	}
	if !c.Own && c.Memory > 0 {
		ms += msOther
	}
	if !c.Near {
		ms += msOtherHall
		if c.Memory == 0 {
			ms -= msOtherHall - msPlainRun
		}
	}
	if c.Silent {
		ms += msSuspect
	}
	return ms + c.Spread + c.Failure*msSuspect
}

// Choose returns the index of the best candidate that fits, or -1.
func Choose(list []Candidate, l Limits) int {
	best := -1
	bestCost := 0.0
	fed := slices.ContainsFunc(list, func(c Candidate) bool { return (c.Own || c.Asked) && !c.Silent })
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
