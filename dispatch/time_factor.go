package dispatch

// gapMissCost is the cost of a server that cannot keep the gap between two events of the request's stream. A stream with
// a missed gap is as late as one whose first event comes after the shortest usual objective.
const gapMissCost Milliseconds = 250.0

// timeFactor returns TimeFactor, or 1 if it is not set.
func (c Candidate) timeFactor() Milliseconds {
	if c.TimeFactor == 0 {
		return 1
	}
	return Milliseconds(c.TimeFactor)
}

// usableSlots returns the number of requests that the engine may run. A slow engine runs fewer, since each of its
// requests lengthens the pauses of all streams there more than elsewhere. A counted engine runs as many as others: its
// queue holds what other engines cannot take, and a stream with long pauses is better than none.
func (c Candidate) usableSlots() float64 {
	if c.Counted {
		return float64(c.Slots)
	}
	return float64(c.Slots) / float64(max(c.timeFactor(), 1))
}

// prefillPerGap returns how long the engine may prefill within one gap.
func (c Candidate) prefillPerGap(g GapBudget) Milliseconds {
	least := g.steps() * minPrefillPerStep / max(c.timeFactor(), 1)
	if c.StepTime > 0 {
		// The time of a step is known, so that the bound for a whole gap is that of one step otherwise: streams whose events
		// have many steps would pause for longer than the gap.
		least = minPrefillPerStep
	}
	return max(g.MaxGap*engineGapShare-c.decodingTime(g, c.Running), least)
}

// prefillPerStep returns the prefill time allowed per decoding step.
func (c Candidate) prefillPerStep(g GapBudget) Milliseconds { return c.prefillPerGap(g) / g.steps() }

// gapCost returns gapMissCost for a slow engine that is expected to exceed the gap with the request running: the
// decoding of an event and the prefill of this prompt and of others take longer.
func (c Candidate) gapCost(g GapBudget) Milliseconds {
	if c.timeFactor() <= 1 || c.CacheTokens == 0 || g.MaxGap == 0 {
		return 0
	}
	expected := c.decodingTime(g, c.Running+1) + max(c.PrefillAhead, c.PrefillInGap) + c.PrefillTime
	if expected <= g.MaxGap*engineGapShare {
		return 0
	}
	return gapMissCost
}

// decodingTime returns the time that the engine takes to decode one event with the given number of running requests.
func (c Candidate) decodingTime(g GapBudget, running int) Milliseconds {
	ms := g.decodingTime(running)
	if c.StepTime > 0 {
		ms *= c.StepTime / baseStepTime
	}
	return c.timeFactor() * ms
}

// ownWorkCost returns by how much the time of this request at a plain server differs from that at the median server.
func (c Candidate) ownWorkCost() Milliseconds { return plainRequestCost * (c.timeFactor() - 1) }
