package dispatch

import (
	"slices"
	"time"

	"rockcleat/backend"
)

// A Reservation is capacity of one server, taken for one send of a request.
type Reservation struct {
	d      *Dispatcher
	req    *Request
	server *backend.Server
	load   *serverLoad
	// prefillTokens is the length of the prompt's uncached part, prefillMs its prefill time in
	// milliseconds, usedTokens the cache memory that the request takes at most.
	prefillTokens int
	prefillMs     int
	usedTokens    int
	sent          time.Time
	// prefillEnd is when an owned engine should have prefilled the prompt; zero otherwise.
	prefillEnd time.Time
	choice     Candidate
	// candidates is the number of servers that the choice was made among.
	candidates int
	// owner is the gateway that must admit the request; empty if none must.
	owner string
	// asksPermit says that a permit of a server with a limit is being asked for, hasPermit that it was granted.
	asksPermit, hasPermit bool
	// answering says that the first byte has come, over that the capacity is given back.
	answering, over bool
}

// reserve takes capacity of a server for a request.
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

// Server returns the server that the request goes to.
func (r *Reservation) Server() *backend.Server { return r.server }

// Choice returns what the choice of the server was made from and the number of servers
// that it was made among.
func (r *Reservation) Choice() (c Candidate, among int) { return r.choice, r.candidates }

// FirstByte notes that the answer has begun.
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

// endPrefill counts the prompt as prefilled.
func (r *Reservation) endPrefill() {
	r.answering = true
	r.load.PrefillMs -= r.prefillMs
	r.load.awaiting = slices.DeleteFunc(r.load.awaiting, func(x *Reservation) bool { return x == r })
}

// A SendResult says how a send ended.
type SendResult int

// The results of a send.
const (
	// Answered is a whole answer.
	Answered SendResult = iota
	// Failed is an answer or a break that counts against the server.
	Failed
	// Refused is a refusal by the server, which counts neither way.
	Refused
	// Misdirected is a refusal by a server that does not hold the model or is another one.
	Misdirected
	// Abandoned is a send that the caller gave up.
	Abandoned
)

// Done gives the capacity back; calls after the first do nothing.
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

// release gives the capacity back; the Dispatcher is locked.
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
