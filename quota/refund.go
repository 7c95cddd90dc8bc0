package quota

import (
	"context"
	"slices"
	"time"
)

// A GrantID identifies a grant.
type GrantID struct {
	// Bucket identifies the bucket among those of all gateways.
	Bucket uint64 `json:"bucket"`
	// Number numbers the grants of the bucket, from 1.
	Number uint64 `json:"number"`
}

// A GrantPart is a part of a grant.
type GrantPart struct {
	Grant GrantID `json:"grant"`
	// Amount is in the limit's unit.
	Amount float64 `json:"amount"`
}

// A portion is a part of a grant with the gateway that made it.
type portion struct {
	GrantPart
	// owner is empty if the amount was taken from the gateway's own share.
	owner string
}

// A Charge is an amount that a request has spent. The zero Charge is empty.
type Charge struct {
	key      string
	portions []portion
}

// Amount returns the amount of the charge, in the limit's unit.
func (c Charge) Amount() (amount float64) {
	for _, p := range c.portions {
		amount += p.Amount
	}
	return amount
}

// returnDelay is how long returned amounts of another gateway's grants wait for a request for a grant that carries them.
const returnDelay = 50 * time.Millisecond

// Refund returns the charge of a request that surely has not run and will not. It goes back to the buckets from which it
// was taken, as if it had never been taken. A bucket that no longer exists gets nothing back.
func (l *Limiter) Refund(c Charge) {
	if len(c.portions) == 0 {
		return
	}
	limit, ok := l.opts.Limit(c.key)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c.key)
	for _, p := range c.portions {
		a.counts.Spent -= p.Amount
		a.counts.Refunded += p.Amount
		l.returnPortion(c.key, a, limit, p)
	}
}

// returnPortion returns a portion to its bucket, or has it returned by sendReturns. l.mu must be held.
func (l *Limiter) returnPortion(key string, a *account, limit Limit, p portion) {
	now := l.opts.Clock.Now()
	switch {
	case p.owner == "":
		a.returnOwnShare(limit, l.gateways.ownShare(now), p.GrantPart, now)
	case p.owner == l.opts.Self:
		l.granter.takeBack(key, limit, l.gateways.share(limit, l.opts.Tolerance, now), []GrantPart{p.GrantPart}, now)
	default:
		if len(a.returns) == 0 {
			l.opts.Clock.AfterFunc(returnDelay, func() { l.sendReturns(key) })
		}
		a.addReturn(p)
	}
}

// sendReturns sends the returned amounts that no request for a grant has carried to the owner.
func (l *Limiter) sendReturns(key string) {
	l.mu.Lock()
	owner := l.gateways.owner(key)
	returns := l.takeReturns(key, owner)
	l.mu.Unlock()
	if len(returns) == 0 {
		return
	}
	// Without a reply it is not known whether the amounts were returned, so they are not sent again.
	_, _ = l.opts.GrantClient.RequestGrant(context.Background(), owner, Request{Key: key, From: l.opts.Self, Returned: returns})
}

// takeReturns removes the amounts to be returned and returns those that the owner granted. l.mu must be held.
func (l *Limiter) takeReturns(key, owner string) []GrantPart {
	a := l.accounts[key]
	if a == nil {
		return nil
	}
	var returns []GrantPart
	for _, p := range a.returns {
		if p.owner == owner {
			returns = append(returns, p.GrantPart)
		}
	}
	a.returns = nil
	return returns
}

// addReturn adds a portion to those to be returned to other gateways.
func (a *account) addReturn(p portion) {
	i := slices.IndexFunc(a.returns, func(x portion) bool { return x.owner == p.owner && x.Grant == p.Grant })
	if i < 0 {
		a.returns = append(a.returns, p)
		return
	}
	a.returns[i].Amount += p.Amount
}
