package quota

// Counts are a gateway's decisions for one organisation since its start.
type Counts struct {
	// Inside, Over and Unknown count requests by outcome.
	Inside  int64 `json:"inside"`
	Over    int64 `json:"over"`
	Unknown int64 `json:"unknown"`
	// Spent is what those inside have spent and not been given back, in the limit's unit.
	Spent float64 `json:"spent"`
}

// note counts a decision.
func (c *Counts) note(o Outcome, amount float64) {
	switch o {
	case Inside:
		c.Inside++
		c.Spent += amount
	case Over:
		c.Over++
	default:
		c.Unknown++
	}
}

// A Status is what a gateway knows of a limit.
type Status struct {
	// Key names whose limit it is.
	Key string `json:"organisation"`
	// Rate is in the limit's unit a second, Burst in the limit's unit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Owner is the gateway that grants; empty while no list of gateways is known.
	Owner string `json:"owner,omitempty"`
	// Share is the part of the rate that this gateway grants, Available what it has to grant now, if it is the
	// owner.
	Share     float64 `json:"share,omitempty"`
	Available float64 `json:"available,omitempty"`
	Counts
}

// Status returns what this gateway knows of the limit of an organisation; ok is false if it has none.
func (l *Limiter) Status(organisation string) (s Status, ok bool) {
	limit, ok := l.opts.Limit(organisation)
	if !ok {
		return Status{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s = Status{
		Key: organisation, Rate: limit.Rate, Burst: limit.Burst, Owner: l.fleet.owner(organisation),
		Counts: l.account(organisation).counts,
	}
	if s.Owner == l.opts.Self {
		now := l.opts.Clock.Now()
		s.Share = l.fleet.share(limit, l.opts.Tolerance, now)
		s.Available = l.granter.available(organisation, limit, s.Share, now)
	}
	return s, true
}
