package quota

import (
	"math"
	"time"
)

// A credit is a granted amount that has not been spent yet.
type credit struct {
	portion
	until time.Time
}

// An account holds what a gateway may spend for one organisation, and the demand it has measured for it.
type account struct {
	credits []credit
	// Until deniedUntil, no grant for an amount of deniedAmount or more is requested from the owner.
	deniedUntil  time.Time
	deniedAmount float64
	// delegatedAt is when the last request to which an owner replied was sent. Until then the owner had this
	// gateway's share.
	delegatedAt time.Time
	// ownShare is the bucket of this gateway's own share of the rate while the owner cannot be reached, else
	// nil.
	ownShare *bucket
	// returns holds the portions of other gateways' grants that are to be returned.
	returns []portion
	// counts holds the decisions since the process started.
	counts Counts
	// demand is the average amount requested, in the limit's unit per second, as of demandAt.
	demand   float64
	demandAt time.Time
}

// demandTimeConstant is the time constant of the demand average.
const demandTimeConstant = time.Second

// recordDemand adds an amount to the measured demand.
func (a *account) recordDemand(amount float64, now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		a.demandAt = now
	}
	a.demand += amount / demandTimeConstant.Seconds()
}

// prefetchAmount returns the amount to prefetch in addition to what a request needs: the expected demand within
// GrantTTL, or 0 if that is less than one more request.
func (a *account) prefetchAmount(need float64) float64 {
	expected := a.demand * GrantTTL.Seconds()
	if expected < 2*need {
		return 0
	}
	return expected - need
}

// addCredit adds a portion that may be spent until the given time.
func (a *account) addCredit(p portion, until time.Time) {
	if p.Amount > 0 {
		a.credits = append(a.credits, credit{portion: p, until: until})
	}
}

// spend takes an amount from the credits, in the order in which they were added, and returns what it has taken. ok is
// false if there was not enough.
func (a *account) spend(amount float64, now time.Time) (taken []portion, ok bool) {
	if a.dropExpired(now) < amount {
		return nil, false
	}
	for amount > 0 {
		first := &a.credits[0]
		part := first.portion
		part.Amount = min(part.Amount, amount)
		taken = append(taken, part)
		amount -= part.Amount
		first.Amount -= part.Amount
		if first.Amount == 0 {
			a.credits = a.credits[1:]
		}
	}
	return taken, true
}

// dropExpired removes expired amounts and returns the total of the others.
func (a *account) dropExpired(now time.Time) (total float64) {
	kept := a.credits[:0]
	for _, c := range a.credits {
		if now.Before(c.until) {
			kept = append(kept, c)
			total += c.Amount
		}
	}
	a.credits = kept
	return total
}

// ownShareBurstTime bounds the burst of a gateway's own share, as a duration at its rate. A process that was
// paused must not spend all at once what it did not spend meanwhile.
const ownShareBurstTime = time.Second

// spendOwnShare spends an amount from the gateway's own share of the rate, 0 to 1, and returns what it has taken. ok is
// false if there was not enough. The bucket is empty at since. It never goes negative, because with a small burst each of
// many gateways would otherwise overspend by the cost of a request.
func (a *account) spendOwnShare(l Limit, share, amount float64, since, now time.Time) (taken portion, ok bool) {
	if a.ownShare == nil {
		a.ownShare = newBucket(since)
	}
	a.fillOwnShare(l, share, now)
	if share <= 0 || a.ownShare.amount < amount || !a.ownShare.take(ownShareLimit(l, share), amount) {
		return portion{}, false
	}
	return portion{GrantPart: GrantPart{Grant: a.ownShare.grant, Amount: amount}}, true
}

// returnOwnShare returns an amount to the bucket of the gateway's own share.
func (a *account) returnOwnShare(l Limit, share float64, r GrantPart, now time.Time) {
	if a.ownShare != nil {
		a.fillOwnShare(l, share, now)
		a.ownShare.takeBack(r)
	}
}

// fillOwnShare fills the bucket of the gateway's own share.
func (a *account) fillOwnShare(l Limit, share float64, now time.Time) {
	a.ownShare.fill(ownShareLimit(l, share), share, now)
}

// ownShareLimit returns the limit that applies to a gateway's own share of the rate.
func ownShareLimit(l Limit, share float64) Limit {
	return Limit{Rate: l.Rate, Burst: l.Rate * share * ownShareBurstTime.Seconds()}
}

// clearOwnShare removes the bucket of the gateway's own share once an owner has replied.
func (a *account) clearOwnShare() { a.ownShare = nil }
