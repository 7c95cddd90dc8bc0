package admitqueue

// Shares divides scarce capacity among organisations. Each has a counter of the service that it has had for its
// weight, and the one with the lowest counter is served next, as with virtual token counters. Service while no request
// waits is not counted, since it takes nothing from others.
type Shares struct {
	counters map[string]*counter
	// base is the counter of the organisation that was served last. Organisations that begin to wait while no other does
	// begin there.
	base float64
	// waiting is the number of organisations that wait.
	waiting int
}

// A counter is the state of one organisation.
type counter struct {
	// service is the service per weight.
	service float64
	// waiters is the number of waiting requests.
	waiters int
}

// NewShares returns Shares in which no organisation has had any service.
func NewShares() *Shares { return &Shares{counters: make(map[string]*counter)} }

// join records that a request of an organisation begins to wait. If it is the only one, its counter is raised to the
// lowest one of those that wait, so that time without waiting requests gives no advantage later.
func (s *Shares) join(organisation string) {
	c := s.counters[organisation]
	if c == nil {
		c = &counter{}
		s.counters[organisation] = c
	}
	if c.waiters == 0 {
		c.service = max(c.service, s.lowest())
		s.waiting++
	}
	c.waiters++
}

// leave records that a request of an organisation no longer waits.
func (s *Shares) leave(organisation string) {
	c := s.counters[organisation]
	c.waiters--
	if c.waiters > 0 {
		return
	}
	s.waiting--
	if s.waiting > 0 {
		return
	}
	// Without waiting requests all begin anew at the base.
	clear(s.counters)
}

// lowest returns the lowest counter of the organisations that wait, or the base if none does.
func (s *Shares) lowest() float64 {
	lowest, found := s.base, false
	for _, c := range s.counters {
		if c.waiters > 0 && (!found || c.service < lowest) {
			lowest, found = c.service, true
		}
	}
	return lowest
}

// Serve charges an organisation for a request that is served. weight must be positive.
func (s *Shares) Serve(organisation string, cost, weight float64) {
	if s.waiting == 0 {
		return
	}
	c := s.counters[organisation]
	if c == nil {
		c = &counter{service: s.lowest()}
		s.counters[organisation] = c
	}
	c.service += cost / weight
	s.base = max(s.base, c.service)
}

// service returns the service that an organisation has had for its weight. lowest is the result of lowest, which applies
// to organisations that have had less.
func (s *Shares) service(organisation string, lowest float64) float64 {
	if c := s.counters[organisation]; c != nil {
		return max(c.service, lowest)
	}
	return lowest
}
