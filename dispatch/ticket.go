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
type failureShare struct {
	share float64
	when  time.Time
}

// at returns the share as it stands at a time.
func (f *failureShare) at(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.when))/float64(failureHalfLife))
}

// note counts one outcome: 1 is a failure, 0 a success.
func (f *failureShare) note(outcome float64, now time.Time) {
	share := f.at(now)
	f.share = share + (outcome-share)*failureStep
	f.when = now
}

// A Ticket is a place at a server, taken for one send of a request.
type Ticket struct {
	d      *Dispatcher
	req    *Request
	server *backend.Server
	load   *load
	// tokens is what the server has to read, reading the time for it in milliseconds.
	tokens  int
	reading int
	used    int
	sent    time.Time
	// read is when an own engine should have read the prompt; zero for another's.
	read   time.Time
	choice Candidate
	// owner is the gateway that must grant the place; empty if none must.
	owner string
	among int
	begun bool
	over  bool
}

// Server returns the server that the request goes to.
func (t *Ticket) Server() *backend.Server { return t.server }

// Choice returns what the choice of the server was made from and the number of
// servers that it was made among.
func (t *Ticket) Choice() (c Candidate, among int) { return t.choice, t.among }

// Begun tells that the first part of the answer has come.
func (t *Ticket) Begun() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.load.heard = t.d.opts.Clock.Now()
	if t.begun || t.over {
		return
	}
	t.begin()
	if !t.read.IsZero() {
		t.load.reading.done(t.read, t.load.heard.Add(-milliseconds(stepTime)))
	}
	if t.tokens > 0 {
		t.d.speeds.note(t.req.Model, t.tokens, float64(t.load.heard.Sub(t.sent))/float64(time.Millisecond))
	}
	t.d.serve()
}

// begin ends the reading of the prompt.
func (t *Ticket) begin() {
	t.begun = true
	t.load.Reading -= t.reading
	t.load.sent = slices.DeleteFunc(t.load.sent, func(x *Ticket) bool { return x == t })
}

// A Result tells how a send ended.
type Result int

// The results of a send.
const (
	// Answered is a whole answer.
	Answered Result = iota
	// Failed is an answer or a break that speaks against the server.
	Failed
	// Refused is a refusal by the server, which speaks neither way.
	Refused
	// Abandoned is a send that the caller gave up.
	Abandoned
)

// Done gives the place back; calls after the first do nothing.
func (t *Ticket) Done(r Result) {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	if t.over {
		return
	}
	now := t.d.opts.Clock.Now()
	switch r {
	case Answered:
		t.load.failure.note(0, now)
		t.load.heard = now
	case Failed:
		t.load.failure.note(1, now)
	}
	t.release()
	t.d.serve()
}

// release gives the place back; the Dispatcher is locked.
func (t *Ticket) release() {
	if t.over {
		return
	}
	t.over = true
	if !t.begun {
		t.begin()
	}
	t.load.Running--
	t.load.Used -= t.used
	if t.req.Model != "" {
		t.d.demandOf(t.req).Running--
	}
}
