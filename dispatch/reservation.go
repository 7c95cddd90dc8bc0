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
	// prefillTokens is what the server has to prefill, prefillMs the time for it in
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
	// answering says that the first byte has come, over that the capacity is given back.
	answering, over bool
}

// reserve takes capacity of a server for a request.
func (d *Dispatcher) reserve(r *Request, s *backend.Server, c Candidate) *Reservation {
	l := d.load(s.ID)
	t := &Reservation{
		d: d, req: r, server: s, load: l, choice: c, sent: d.opts.Clock.Now(),
		prefillTokens: c.PrefillTokens, prefillMs: int(c.Prefill + 0.5), usedTokens: c.NeedTokens,
	}
	if c.NeedsGrant {
		t.owner = d.owners.of(s)
	}
	if r.Model == "" {
		t.usedTokens = 0
	}
	l.Running++
	l.PrefillMs += t.prefillMs
	l.UsedTokens += t.usedTokens
	l.awaiting = append(l.awaiting, t)
	if c.Owned {
		t.prefillEnd = l.prefill.add(c.Prefill.Duration(), t.sent)
	}
	if r.Model == "" {
		return t
	}
	d.demand.of(r).Running++
	if t.owner == "" {
		l.prefixes.touch(r.target(), r.Prefix)
	}
	return t
}

// Server returns the server that the request goes to.
func (t *Reservation) Server() *backend.Server { return t.server }

// Choice returns what the choice of the server was made from and the number of servers
// that it was made among.
func (t *Reservation) Choice() (c Candidate, among int) { return t.choice, t.candidates }

// FirstByte notes that the answer has begun.
func (t *Reservation) FirstByte() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	now := t.d.opts.Clock.Now()
	t.load.lastAnswer = now
	if t.answering || t.over {
		return
	}
	t.endPrefill()
	if !t.prefillEnd.IsZero() {
		t.load.prefill.finish(t.prefillEnd, now.Add(-firstStepTime.Duration()))
	}
	if t.prefillTokens > 0 {
		t.d.speeds.observe(t.req.Model, t.prefillTokens, InMilliseconds(now.Sub(t.sent)))
	}
	t.d.serve()
}

// endPrefill counts the prompt as prefilled.
func (t *Reservation) endPrefill() {
	t.answering = true
	t.load.PrefillMs -= t.prefillMs
	t.load.awaiting = slices.DeleteFunc(t.load.awaiting, func(x *Reservation) bool { return x == t })
}

// A SendResult says how a send ended.
type SendResult int

// The results of a send.
const (
	// Answered is a whole answer.
	Answered SendResult = iota
	// Failed is an answer or a break that speaks against the server.
	Failed
	// Refused is a refusal by the server, which speaks neither way.
	Refused
	// Abandoned is a send that the caller gave up.
	Abandoned
)

// Done gives the capacity back; calls after the first do nothing.
func (t *Reservation) Done(r SendResult) {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	if t.over {
		return
	}
	now := t.d.opts.Clock.Now()
	switch r {
	case Answered:
		t.load.failures.observe(0, now)
		t.load.lastAnswer = now
	case Failed:
		t.load.failures.observe(1, now)
	}
	t.release()
	t.d.serve()
}

// release gives the capacity back; the Dispatcher is locked.
func (t *Reservation) release() {
	if t.over {
		return
	}
	t.over = true
	if !t.answering {
		t.endPrefill()
	}
	t.load.Running--
	t.load.UsedTokens -= t.usedTokens
	if t.req.Model != "" {
		t.d.demand.of(t.req).Running--
	}
}
