package quota

// Counts holds a gateway's decisions for one organisation since the process started.
type Counts struct {
	// Inside, Over and Unknown are the numbers of requests with the outcomes WithinLimit, OverLimit and
	// Unknown.
	Inside  int64 `json:"inside"`
	Over    int64 `json:"over"`
	Unknown int64 `json:"unknown"`
	// Spent is the amount spent by requests within the limit, less refunds, in the limit's unit. Refunded is the amount
	// refunded, and OwnShare the part of the amounts spent that came from the gateway's own share.
	Spent    float64 `json:"spent"`
	Refunded float64 `json:"refunded,omitempty"`
	OwnShare float64 `json:"own_share,omitempty"`
}

// record counts a decision.
func (c *Counts) record(o Outcome, amount float64) {
	switch o {
	case WithinLimit:
		c.Inside++
		c.Spent += amount
	case OverLimit:
		c.Over++
	default:
		c.Unknown++
	}
}

// A Status is a gateway's view of one limit.
type Status struct {
	// Key identifies the holder of the limit.
	Key string `json:"organisation"`
	// Rate is in the limit's unit per second. Burst is in the limit's unit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Owner is the gateway that makes grants, or empty if there is no list of gateways yet.
	Owner string `json:"owner,omitempty"`
	// Share is the share of the rate that this gateway grants, and Available the amount in its bucket. Both
	// are set at the owner only.
	Share     float64 `json:"share,omitempty"`
	Available float64 `json:"available,omitempty"`
	Counts
}

// Status returns this gateway's view of an organisation's limit; ok is false if there is none.
func (l *Limiter) Status(organisation string) (s Status, ok bool) {
	limit, ok := l.opts.Limit(organisation)
	if !ok {
		return Status{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s = Status{
		Key: organisation, Rate: limit.Rate, Burst: limit.Burst, Owner: l.gateways.owner(organisation),
		Counts: l.account(organisation).counts,
	}
	if s.Owner == l.opts.Self {
		now := l.opts.Clock.Now()
		s.Share = l.gateways.share(limit, l.opts.Tolerance, now)
		s.Available = l.granter.available(organisation, limit, s.Share, now)
	}
	return s, true
}
