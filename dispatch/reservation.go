package dispatch

import (
	"slices"
	"time"

	"rockcleat/backend"
)

// A Reservation is the capacity of one server reserved for one attempt at a request.
type Reservation struct {
	d      *Dispatcher
	req    *Request
	server *backend.Server
	load   *serverLoad
	// prefillTokens is the length of the uncached part of the prompt, prefillMs its prefill time in
	// milliseconds, usedTokens the maximum cache memory of the request in tokens.
	prefillTokens int
	prefillMs     int
	usedTokens    int
	sent          time.Time
	// prefillEnd is when an owned engine is expected to have prefilled the prompt; zero for other
	// engines.
	prefillEnd time.Time
	choice     Candidate
	// candidates is the number of servers that were considered.
	candidates int
	// owner is the gateway that has to admit the request; empty if none has to.
	owner string
	// asksPermit means that a permit is being requested, hasPermit that it was granted.
	asksPermit, hasPermit bool
	// answering means that the first byte has arrived, over that the capacity was released.
	answering, over bool
}

// reserve reserves capacity of a server. d.mu must be held.
func (d *Dispatcher) reserve(r *Request, s *backend.Server, c Candidate) *Reservation {
	l := d.load(s.ID)
	res := &Reservation{
		d: d, req: r, server: s, load: l, choice: c, sent: d.opts.Clock.Now(),
		prefillTokens: c.PrefillTokens, prefillMs: int(c.Prefill + 0.5), usedTokens: c.NeedTokens,
	}
	if c.NeedsGrant {
		res.owner = d.owners.of(s)
	}
	if r.Model == "" {
		res.usedTokens = 0
	}
	if _, limited := d.limitOf(s.ID); limited {
		res.asksPermit = true
		l.permits.asked++
	}
	l.Running++
	l.PrefillMs += res.prefillMs
	l.UsedTokens += res.usedTokens
	l.awaiting = append(l.awaiting, res)
	if c.Owned {
		res.prefillEnd = l.prefill.add(c.Prefill.Duration(), res.sent)
	}
	if r.Model == "" {
		return res
	}
	d.demand.of(r).Running++
	if res.owner == "" {
		l.prefixes.touch(r.target(), r.Prefix)
	}
	return res
}

// Server returns the reserved server.
func (r *Reservation) Server() *backend.Server { return r.server }

// Choice returns the candidate that was chosen and the number of candidates that were considered.
func (r *Reservation) Choice() (c Candidate, among int) { return r.choice, r.candidates }

// FirstByte records that the response has begun.
func (r *Reservation) FirstByte() {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	now := r.d.opts.Clock.Now()
	r.load.lastAnswer = now
	if r.answering || r.over {
		return
	}
	r.endPrefill()
	if !r.prefillEnd.IsZero() {
		r.load.prefill.finish(r.prefillEnd, now.Add(-firstStepTime.Duration()))
	}
	if x, ok := newPrefillSample(r.req.Model, r.prefillTokens, InMilliseconds(now.Sub(r.sent))); ok {
		r.d.speeds.note(x)
	}
	r.d.serve()
}

// endPrefill removes the prompt from the server's pending prefill. d.mu must be held.
func (r *Reservation) endPrefill() {
	r.answering = true
	r.load.PrefillMs -= r.prefillMs
	r.load.awaiting = slices.DeleteFunc(r.load.awaiting, func(x *Reservation) bool { return x == r })
}

// A SendResult is the outcome of an attempt.
type SendResult int

const (
	// Answered means that the response was complete.
	Answered SendResult = iota
	// Failed means that the attempt failed in a way that counts against the server, such as an
	// error response or a broken connection.
	Failed
	// Refused means that the server refused the request; it does not affect the server's failure
	// rate.
	Refused
	// Misdirected means that the server does not hold the model or is a different server than
	// expected.
	Misdirected
	// Abandoned means that the client or the gateway canceled the attempt.
	Abandoned
)

// Done releases the capacity and records the outcome. Calls after the first have no effect.
func (r *Reservation) Done(result SendResult) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if r.over {
		return
	}
	now := r.d.opts.Clock.Now()
	switch result {
	case Answered:
		r.load.failures.observe(0, now)
		r.load.lastAnswer = now
	case Failed:
		r.load.failures.observe(1, now)
	case Misdirected:
		r.load.noteLack(r.req.target(), now)
	}
	r.release()
	r.d.serve()
}

// release releases the capacity. d.mu must be held.
func (r *Reservation) release() {
	if r.over {
		return
	}
	r.over = true
	r.endAsking()
	if !r.answering {
		r.endPrefill()
	}
	r.load.Running--
	r.load.UsedTokens -= r.usedTokens
	if r.req.Model != "" {
		r.d.demand.of(r.req).Running--
	}
}
