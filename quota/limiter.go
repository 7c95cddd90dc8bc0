package quota

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"rockcleat/clock"
)

const (
	// StockTime is how long a grant may be spent, counted from when it was asked for. What is in stock adds
	// to the limit in a window: at most half a second of the rate, since a grant ahead is no more than the
	// demand in that time.
	StockTime = 500 * time.Millisecond
	// denialTime bounds the time in which an owner that granted nothing is not asked again, so that an
	// organisation far beyond its limit costs each gateway an ask in that time.
	denialTime = 50 * time.Millisecond
)

// ErrEnded says that the process of the gateway that was asked has ended: nobody listens at its address.
var ErrEnded = errors.New("quota: the gateway has ended")

// An Asker asks the gateway of an id for a grant.
type Asker interface {
	// AskGrant returns the gateway's reply; an error is ErrEnded if that is known.
	AskGrant(ctx context.Context, gateway string, r Request) (Reply, error)
}

// Options are what a Limiter is made of.
type Options struct {
	// Self is the id of this gateway.
	Self      string
	Clock     clock.Service
	Asker     Asker
	Tolerance Tolerance
	// Limit returns an organisation's limit; ok is false if it has none.
	Limit func(organisation string) (l Limit, ok bool)
	// OnOwnerSilent, if not nil, is called when an owner does not grant, once until it does.
	OnOwnerSilent func(organisation, gateway string, err error)
}

// An Outcome says whether a request may run.
type Outcome int

// The outcomes.
const (
	// Unknown says that nobody could tell.
	Unknown Outcome = iota
	// Inside says that the request is inside its organisation's limit, and counts as spent.
	Inside
	// Over says that it is beyond the limit.
	Over
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	switch o {
	case Inside:
		return "inside"
	case Over:
		return "over"
	}
	return "unknown"
}

// A Decision says whether a request may run.
type Decision struct {
	Outcome Outcome
	// RetryAfter is when the organisation may be inside its limit again, if it is over.
	RetryAfter time.Duration
}

// A Limiter keeps the limits of organisations together with those of the other gateways. It is safe for
// concurrent use.
type Limiter struct {
	opts Options

	mu       sync.Mutex
	fleet    fleet
	granter  granter
	accounts map[string]*account
	// silent are the organisations whose owner did not grant when it was asked last.
	silent map[string]bool
}

// New returns a Limiter that knows no gateways.
func New(o Options) *Limiter {
	now := o.Clock.Now()
	return &Limiter{
		opts: o, fleet: newFleet(o.Self, now), granter: newGranter(now), accounts: make(map[string]*account),
		silent: make(map[string]bool),
	}
}

// Heard notes that a leader replied to what it was asked at a time, and what it said of absent
// gateways. It comes before the list of that reply.
func (l *Limiter) Heard(asked time.Time, a Absence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.heard(asked, a)
}

// Lapsed returns the number of gateways that went off the leader's list lately, for the leader's replies.
func (l *Limiter) Lapsed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.countLapsed(l.opts.Clock.Now())
}

// SetGateways sets the list of gateways by their ids. A gateway that went on without a leader before, while
// another may have granted in its place, begins with nothing.
func (l *Limiter) SetGateways(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	l.fleet.set(ids, now)
	if l.fleet.wasAlone {
		l.granter = newGranter(now)
	}
	l.granter.keep(func(organisation string) bool { return l.fleet.owner(organisation) == l.opts.Self }, now)
}

// NoteFormer tells of gateways that were there before this one started. Those that are not on the list may
// spend their parts for a while.
func (l *Limiter) NoteFormer(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.noteFormer(ids, l.opts.Clock.Now())
}

// Grant answers a gateway's request for a grant; one for a negative amount is not answered as an owner.
func (l *Limiter) Grant(r Request) Reply {
	limit, ok := l.opts.Limit(r.Key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || !r.isValid() || l.fleet.owner(r.Key) != l.opts.Self {
		return Reply{}
	}
	now := l.opts.Clock.Now()
	share := l.fleet.share(limit, l.opts.Tolerance, now)
	reply := l.granter.grant(r, limit, share, now)
	l.fleet.noteAsked(r.From, now)
	reply.IsUnsure = !l.fleet.isSure(now)
	return reply
}

// Take decides whether a request of an organisation that spends an amount may run, and counts it as spent if
// it may.
func (l *Limiter) Take(ctx context.Context, organisation string, amount float64) Decision {
	limit, ok := l.opts.Limit(organisation)
	if !ok {
		return Decision{Outcome: Inside}
	}
	d := l.decide(ctx, organisation, limit, amount)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(organisation).counts.note(d.Outcome, amount)
	return d
}

// decide decides whether a request may run.
func (l *Limiter) decide(ctx context.Context, organisation string, limit Limit, amount float64) Decision {
	asked := l.opts.Clock.Now()
	request, decision, decided := l.begin(organisation, amount, asked)
	if decided {
		return decision
	}
	reply, err := l.ask(ctx, request)
	if err != nil {
		return l.takePart(organisation, limit, amount, errors.Is(err, ErrEnded))
	}
	return l.finish(organisation, request, reply, asked)
}

// begin decides from what this gateway has, or returns what to ask the owner for.
func (l *Limiter) begin(organisation string, amount float64, now time.Time) (r Request, d Decision, decided bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(organisation)
	a.note(amount, now)
	if a.spend(amount, now) {
		return Request{}, Decision{Outcome: Inside}, true
	}
	if left := a.deniedUntil.Sub(now); left > 0 && amount >= a.deniedNeed {
		return Request{}, Decision{Outcome: Over, RetryAfter: left}, true
	}
	return Request{Key: organisation, From: l.opts.Self, Need: amount, Ahead: a.ahead(amount)}, Decision{}, false
}

// errNoOwner says that no gateway grants, as far as this one knows.
var errNoOwner = errors.New("quota: no owner")

// ask asks the owner of a limit for a grant; an error says that it does not answer as such.
func (l *Limiter) ask(ctx context.Context, r Request) (Reply, error) {
	l.mu.Lock()
	owner := l.fleet.owner(r.Key)
	l.mu.Unlock()
	switch owner {
	case "":
		return Reply{}, errNoOwner
	case l.opts.Self:
		// Nothing is gained by a grant ahead to oneself.
		r.Ahead = 0
		return owned(l.Grant(r), nil)
	}
	reply, err := owned(l.opts.Asker.AskGrant(ctx, owner, r))
	if err != nil {
		l.noteSilent(r.Key, owner, err)
	}
	return reply, err
}

// owned returns the reply of an owner; that of another gateway becomes an error.
func owned(r Reply, err error) (Reply, error) {
	if err == nil && !r.IsOwner {
		err = errNoOwner
	}
	return r, err
}

// finish takes over an owner's reply.
func (l *Limiter) finish(organisation string, r Request, reply Reply, asked time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silent, organisation)
	a := l.account(organisation)
	a.endPart()
	a.lentAt = asked
	if reply.Granted >= r.Need {
		a.add(reply.Granted-r.Need, asked.Add(StockTime))
		return Decision{Outcome: Inside}
	}
	if reply.IsUnsure {
		return Decision{Outcome: Unknown}
	}
	wait := time.Duration(reply.RetryAfterMs) * time.Millisecond
	a.deniedUntil, a.deniedNeed = asked.Add(min(wait, denialTime)), r.Need
	return Decision{Outcome: Over, RetryAfter: wait}
}

// takePart spends of this gateway's own part, unless the owner may still have it: one that is cut off believes
// for OwnerTime that it grants alone, as long as which its organisations are refused. Nothing says that an
// organisation is over its limit when the part is used up: the owner would have more.
func (l *Limiter) takePart(organisation string, limit Limit, amount float64, ended bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	a := l.account(organisation)
	if l.fleet.isSure(now) && !ended {
		return Decision{Outcome: Unknown}
	}
	if !a.spendPart(limit, l.fleet.ownPart(now), amount, l.lentUntil(a, now), now) {
		return Decision{Outcome: Unknown}
	}
	return Decision{Outcome: Inside}
}

// lentUntil returns until when others had this gateway's part of an organisation's rate. The Limiter is locked.
func (l *Limiter) lentUntil(a *account, now time.Time) time.Time {
	switch {
	case l.fleet.isSure(now):
		return now
	case a.lentAt.After(l.fleet.sureUntil):
		return a.lentAt
	}
	return l.fleet.sureUntil
}

// GiveBack gives back what a request spent that has not run. It may be spent here, for as long as a grant.
func (l *Limiter) GiveBack(organisation string, amount float64) {
	if _, ok := l.opts.Limit(organisation); !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(organisation)
	a.counts.Spent -= amount
	a.add(amount, l.opts.Clock.Now().Add(StockTime))
}

// Keep forgets the limits that a function does not want kept: a Limiter whose limits come and go would hold all that
// there ever were.
func (l *Limiter) Keep(wanted func(organisation string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unwanted := func(organisation string) bool { return !wanted(organisation) }
	maps.DeleteFunc(l.accounts, func(name string, _ *account) bool { return unwanted(name) })
	maps.DeleteFunc(l.silent, func(name string, _ bool) bool { return unwanted(name) })
	maps.DeleteFunc(l.granter.buckets, func(name string, _ *bucket) bool { return unwanted(name) })
	maps.DeleteFunc(l.fleet.owners, func(name, _ string) bool { return unwanted(name) })
}

// noteSilent reports an owner that did not grant, once until one does.
func (l *Limiter) noteSilent(organisation, gateway string, err error) {
	l.mu.Lock()
	known := l.silent[organisation]
	l.silent[organisation] = true
	l.mu.Unlock()
	if !known && l.opts.OnOwnerSilent != nil {
		l.opts.OnOwnerSilent(organisation, gateway, err)
	}
}

// account returns an organisation's account. The Limiter is locked.
func (l *Limiter) account(organisation string) *account {
	a := l.accounts[organisation]
	if a == nil {
		a = &account{}
		l.accounts[organisation] = a
	}
	return a
}
