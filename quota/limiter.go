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
	// GrantTTL is how long a grant may be spent, counted from when it was requested. Prefetched grants let
	// an organisation exceed its limit in a window by at most half a second of the rate, since a prefetch
	// is no larger than the demand in GrantTTL.
	GrantTTL = 500 * time.Millisecond
	// maxDenialTime bounds the time after a denial in which no grant is requested from the owner. The pause
	// limits the requests for grants that an organisation far over its limit causes.
	maxDenialTime = 50 * time.Millisecond
)

// ErrNotRunning is returned by a GrantClient if the process of the other gateway is known to have ended:
// nothing listens at its address.
var ErrNotRunning = errors.New("quota: gateway process is not running")

// A GrantClient requests grants from other gateways.
type GrantClient interface {
	// RequestGrant requests a grant from the gateway with the given ID. The error is or wraps ErrNotRunning if
	// the process of that gateway is known to have ended.
	RequestGrant(ctx context.Context, gateway string, r Request) (Reply, error)
}

// Options configure a Limiter.
type Options struct {
	// Self is the ID of this gateway.
	Self        string
	Clock       clock.Service
	GrantClient GrantClient
	Tolerance   Tolerance
	// Limit returns an organisation's limit; ok is false if it has none.
	Limit func(organisation string) (l Limit, ok bool)
	// OnOwnerUnresponsive, if not nil, is called when an owner does not reply or replies that it is not the
	// owner. It is not called again for the same organisation until an owner has replied.
	OnOwnerUnresponsive func(organisation, gateway string, err error)
}

// An Outcome is the result of a limit check.
type Outcome int

const (
	// Unknown means that the limit could not be checked.
	Unknown Outcome = iota
	// WithinLimit means that the request is within the limit and counted as spent.
	WithinLimit
	// OverLimit means that the request exceeds the limit.
	OverLimit
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	switch o {
	case WithinLimit:
		return "inside"
	case OverLimit:
		return "over"
	}
	return "unknown"
}

// A Decision is the result of a limit check for one request.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time after which the organisation may be within its limit again, if the outcome is
	// OverLimit.
	RetryAfter time.Duration
	// Charge is what the request has spent, if the outcome is WithinLimit and the organisation has a limit.
	Charge Charge
}

// A Limiter enforces the limits of organisations together with the Limiters of other gateways. It is safe for
// concurrent use.
type Limiter struct {
	opts Options

	mu       sync.Mutex
	gateways gatewaySet
	granter  granter
	accounts map[string]*account
	// unresponsive holds the organisations whose owner did not reply to the last request, or replied that it is
	// not the owner.
	unresponsive map[string]bool
}

// New returns a Limiter without a list of gateways.
func New(o Options) *Limiter {
	now := o.Clock.Now()
	return &Limiter{
		opts: o, gateways: newGatewaySet(o.Self, now), granter: newGranter(now), accounts: make(map[string]*account),
		unresponsive: make(map[string]bool),
	}
}

// RecordLeaderReply records that a leader replied to a request sent at the given time, and the AbsentGateways
// in its reply. Call it before SetGateways with the list of the same reply.
func (l *Limiter) RecordLeaderReply(sentAt time.Time, a AbsentGateways) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways.recordLeaderReply(sentAt, a)
}

// CountRemoved returns the number of gateways recently removed from the list. A leader sends it in its
// replies, as AbsentGateways.Removed.
func (l *Limiter) CountRemoved() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gateways.countRemoved(l.opts.Clock.Now())
}

// SetGateways replaces the list of gateway IDs. If this gateway was without a leader before, another may have
// made grants in its place, so its buckets start empty.
func (l *Limiter) SetGateways(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	l.gateways.setGateways(ids, now)
	if l.gateways.wasUnconfirmed {
		l.granter = newGranter(now)
	}
	l.granter.retain(func(organisation string) bool { return l.gateways.owner(organisation) == l.opts.Self }, now)
}

// AddFormerGateways records gateways that were known before this process started. Those that are not on the
// list may still be spending their shares.
func (l *Limiter) AddFormerGateways(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways.addFormer(ids, l.opts.Clock.Now())
}

// Grant handles a gateway's request for a grant and the amounts that it returns. The reply is empty if this gateway
// does not own the organisation or the request is invalid.
func (l *Limiter) Grant(r Request) Reply {
	limit, ok := l.opts.Limit(r.Key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || !r.isValid() || l.gateways.owner(r.Key) != l.opts.Self {
		return Reply{}
	}
	now := l.opts.Clock.Now()
	share := l.gateways.share(limit, l.opts.Tolerance, now)
	l.granter.takeBack(r.Key, limit, share, r.Returned, now)
	if r.Need == 0 {
		return Reply{IsOwner: true}
	}
	reply := l.granter.grant(r, limit, share, now)
	l.gateways.recordRequest(r.From, now)
	reply.IsUnconfirmed = !l.gateways.isConfirmed(now)
	return reply
}

// Take decides whether a request that spends an amount may run, and counts the amount as spent if so. A
// request of an organisation without a limit may always run.
func (l *Limiter) Take(ctx context.Context, organisation string, amount float64) Decision {
	limit, ok := l.opts.Limit(organisation)
	if !ok {
		return Decision{Outcome: WithinLimit}
	}
	d := l.decide(ctx, organisation, limit, amount)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(organisation).counts.record(d.Outcome, amount)
	return d
}

func (l *Limiter) decide(ctx context.Context, organisation string, limit Limit, amount float64) Decision {
	sentAt := l.opts.Clock.Now()
	request, decision, decided := l.decideLocally(organisation, amount, sentAt)
	if decided {
		return decision
	}
	owner, reply, err := l.requestGrant(ctx, request)
	switch {
	case err != nil && ctx.Err() != nil:
		// The owner may have made the grant, and no caller waits for the decision.
		return Decision{Outcome: Unknown}
	case err != nil:
		return l.takeOwnShare(organisation, limit, amount, errors.Is(err, ErrNotRunning))
	}
	return l.applyReply(request, owner, reply, sentAt)
}

// decideLocally decides from local state, or returns the request to send to the owner.
func (l *Limiter) decideLocally(organisation string, amount float64, now time.Time) (r Request, d Decision, decided bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(organisation)
	a.recordDemand(amount, now)
	if taken, ok := a.spend(amount, now); ok {
		return Request{}, withinLimit(organisation, taken...), true
	}
	if remaining := a.deniedUntil.Sub(now); remaining > 0 && amount >= a.deniedAmount {
		return Request{}, Decision{Outcome: OverLimit, RetryAfter: remaining}, true
	}
	return Request{Key: organisation, From: l.opts.Self, Need: amount, Prefetch: a.prefetchAmount(amount)}, Decision{}, false
}

// errNoOwner means that no owner is known, or that the gateway that received the request is not the owner.
var errNoOwner = errors.New("quota: no gateway owns the limit")

// requestGrant requests a grant from the owner of a limit and sends it the amounts to be returned. It returns an error if
// there is no reply from an owner.
func (l *Limiter) requestGrant(ctx context.Context, r Request) (owner string, reply Reply, err error) {
	l.mu.Lock()
	owner = l.gateways.owner(r.Key)
	r.Returned = l.takeReturns(r.Key, owner)
	l.mu.Unlock()
	switch owner {
	case "":
		return owner, Reply{}, errNoOwner
	case l.opts.Self:
		// A local grant needs no prefetch.
		r.Prefetch = 0
		reply, err = requireOwner(l.Grant(r), nil)
		return owner, reply, err
	}
	reply, err = requireOwner(l.opts.GrantClient.RequestGrant(ctx, owner, r))
	if err != nil && ctx.Err() == nil {
		l.reportUnresponsive(r.Key, owner, err)
	}
	return owner, reply, err
}

// requireOwner turns the reply of a gateway that is not the owner into an error.
func requireOwner(r Reply, err error) (Reply, error) {
	if err == nil && !r.IsOwner {
		err = errNoOwner
	}
	return r, err
}

// withinLimit returns the decision for a request that has spent the given portions.
func withinLimit(organisation string, taken ...portion) Decision {
	return Decision{Outcome: WithinLimit, Charge: Charge{key: organisation, portions: taken}}
}

// applyReply applies an owner's reply.
func (l *Limiter) applyReply(r Request, owner string, reply Reply, sentAt time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unresponsive, r.Key)
	a := l.account(r.Key)
	a.clearOwnShare()
	a.delegatedAt = sentAt
	if reply.Granted >= r.Need {
		part := func(amount float64) portion { return portion{GrantPart{reply.Grant, amount}, owner} }
		a.addCredit(part(reply.Granted-r.Need), sentAt.Add(GrantTTL))
		return withinLimit(r.Key, part(r.Need))
	}
	if reply.IsUnconfirmed {
		return Decision{Outcome: Unknown}
	}
	wait := time.Duration(reply.RetryAfterMs) * time.Millisecond
	a.deniedUntil, a.deniedAmount = sentAt.Add(min(wait, maxDenialTime)), r.Need
	return Decision{Outcome: OverLimit, RetryAfter: wait}
}

// takeOwnShare spends from this gateway's own share once the owner can no longer grant it. While this gateway
// is in contact with the leader, an owner that is unreachable but running may still grant it, and the outcome
// is Unknown. The outcome is never OverLimit, because the owner could grant more than this share.
func (l *Limiter) takeOwnShare(organisation string, limit Limit, amount float64, notRunning bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	a := l.account(organisation)
	if l.gateways.isConfirmed(now) && !notRunning {
		return Decision{Outcome: Unknown}
	}
	taken, ok := a.spendOwnShare(limit, l.gateways.ownShare(now), amount, l.delegatedUntil(a, now), now)
	if !ok {
		return Decision{Outcome: Unknown}
	}
	a.counts.OwnShare += amount
	return withinLimit(organisation, taken)
}

// delegatedUntil returns the time until which other gateways had this gateway's share of an organisation's
// rate. l.mu must be held.
func (l *Limiter) delegatedUntil(a *account, now time.Time) time.Time {
	switch {
	case l.gateways.isConfirmed(now):
		return now
	case a.delegatedAt.After(l.gateways.confirmedUntil):
		return a.delegatedAt
	}
	return l.gateways.confirmedUntil
}

// Retain removes the state of all organisations for which wanted returns false. Without it, a Limiter whose
// limits come and go would grow without bound.
func (l *Limiter) Retain(wanted func(organisation string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unwanted := func(organisation string) bool { return !wanted(organisation) }
	maps.DeleteFunc(l.accounts, func(name string, _ *account) bool { return unwanted(name) })
	maps.DeleteFunc(l.unresponsive, func(name string, _ bool) bool { return unwanted(name) })
	maps.DeleteFunc(l.granter.buckets, func(name string, _ *bucket) bool { return unwanted(name) })
	maps.DeleteFunc(l.gateways.owners, func(name, _ string) bool { return unwanted(name) })
}

// reportUnresponsive calls OnOwnerUnresponsive, unless it has already been called since an owner last replied.
func (l *Limiter) reportUnresponsive(organisation, gateway string, err error) {
	l.mu.Lock()
	reported := l.unresponsive[organisation]
	l.unresponsive[organisation] = true
	l.mu.Unlock()
	if !reported && l.opts.OnOwnerUnresponsive != nil {
		l.opts.OnOwnerUnresponsive(organisation, gateway, err)
	}
}

// account returns an organisation's account and creates it if necessary. l.mu must be held.
func (l *Limiter) account(organisation string) *account {
	a := l.accounts[organisation]
	if a == nil {
		a = &account{}
		l.accounts[organisation] = a
	}
	return a
}
