package dispatch

import (
	"math"
	"slices"
	"time"

	"rockcleat/backend"
)

// How a server's share of failures follows its outcomes, and how fast it is
// forgotten, so that a server that was avoided is tried again.
const (
	failureStep     = 0.3
	failureHalfLife = 2 * time.Second
)

// A failureShare is a recent share of failures that fades with time.
type failureRate struct {
	share float64
	when  time.Time
}

// at returns the share as it stands at a time.
func (f *failureRate) at(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.when))/float64(failureHalfLife))
}

// note counts one outcome: 1 is a failure, 0 a success.
func (f *failureRate) observe(outcome float64, now time.Time) {
	share := f.at(now)
	f.share = share + (outcome-share)*failureStep
	f.when = now
}

// A Ticket is a place at a server, taken for one send of a request.
type Reservation struct {
	d      *Dispatcher
	req    *Request
	server *backend.Server
	load   *serverLoad
	// tokens is what the server has to read, reading the time for it in milliseconds.
	prefillTokens int
	prefillMs     int
	used          int
	sent          time.Time
	// read is when an own engine should have read the prompt; zero for another's.
	prefillEnd time.Time
	choice     Candidate
	// owner is the gateway that must grant the place; empty if none must.
	owner      string
	candidates int
	answering  bool
	over       bool
}

// Server returns the server that the request goes to.
func (t *Reservation) Server() *backend.Server { return t.server }

// Choice returns what the choice of the server was made from and the number of
// servers that it was made among.
func (t *Reservation) Choice() (c Candidate, among int) { return t.choice, t.candidates }

// Begun tells that the first part of the answer has come.
func (t *Reservation) FirstByte() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.load.lastAnswer = t.d.opts.Clock.Now()
	if t.answering || t.over {
		return
	}
	t.endPrefill()
	if !t.prefillEnd.IsZero() {
		t.load.prefill.finish(t.prefillEnd, t.load.lastAnswer.Add(-milliseconds(firstStepTime)))
	}
	if t.prefillTokens > 0 {
		t.d.prefillSpeeds.observe(t.req.Model, t.prefillTokens, float64(t.load.lastAnswer.Sub(t.sent))/float64(time.Millisecond))
	}
	t.d.serve()
}

// begin ends the reading of the prompt.
func (t *Reservation) endPrefill() {
	t.answering = true
	t.load.PrefillMs -= t.prefillMs
	t.load.awaiting = slices.DeleteFunc(t.load.awaiting, func(x *Reservation) bool { return x == t })
}

// A Result tells how a send ended.
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

// Done gives the place back; calls after the first do nothing.
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

// release gives the place back; the Dispatcher is locked.
func (t *Reservation) release() {
	if t.over {
		return
	}
	t.over = true
	if !t.answering {
		t.endPrefill()
	}
	t.load.Running--
	t.load.UsedTokens -= t.used
	if t.req.Model != "" {
		t.d.demandOf(t.req).Running--
	}
}
