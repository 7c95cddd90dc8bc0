package quota

import (
	"math"
	"time"
)

// A credit is an amount granted or given back that has not been spent yet.
type credit struct {
	amount float64
	until  time.Time
}

// An account holds what a gateway may spend for one organisation, and the demand it has measured for it.
type account struct {
	credits []credit
	// Until deniedUntil the owner is not asked for an amount of deniedAmount or more.
	deniedUntil  time.Time
	deniedAmount float64
	// delegatedAt is when the last request that an owner answered was sent. Until then the owner had this
	// gateway's share.
	delegatedAt time.Time
	// ownShare is the bucket of this gateway's own share of the rate while the owner cannot be reached, else
	// nil.
	ownShare *bucket
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
// StockTime, or 0 if that is less than one more request.
func (a *account) prefetchAmount(need float64) float64 {
	expected := a.demand * StockTime.Seconds()
	if expected < 2*need {
		return 0
	}
	return expected - need
}

// addCredit adds an amount that may be spent until the given time.
func (a *account) addCredit(amount float64, until time.Time) {
	if amount > 0 {
		a.credits = append(a.credits, credit{amount: amount, until: until})
	}
}

// spend takes an amount from the credits, in the order in which they were added, and reports whether there
// was enough.
func (a *account) spend(amount float64, now time.Time) bool {
	total := a.dropExpired(now)
	if total < amount {
		return false
	}
	for amount > 0 {
		first := &a.credits[0]
		if first.amount > amount {
			first.amount -= amount
			return true
		}
		amount -= first.amount
		a.credits = a.credits[1:]
	}
	return true
}

// dropExpired removes expired amounts and returns the total of the others.
func (a *account) dropExpired(now time.Time) (total float64) {
	kept := a.credits[:0]
	for _, c := range a.credits {
		if now.Before(c.until) {
			kept = append(kept, c)
			total += c.amount
		}
	}
	a.credits = kept
	return total
}

// ownShareBurstTime bounds the burst of a gateway's own share, as a duration at its rate. A process that was
// paused must not spend at once what it did not spend meanwhile.
const ownShareBurstTime = time.Second

// spendOwnShare spends an amount from the gateway's own share of the rate, 0 to 1, and reports whether there
// was enough. The bucket is empty at since. It never goes negative, because with a small burst each of many
// gateways would otherwise overspend by the cost of a request.
func (a *account) spendOwnShare(l Limit, share, amount float64, since, now time.Time) bool {
	if a.ownShare == nil {
		a.ownShare = newBucket(since)
	}
	a.ownShare.fill(Limit{Rate: l.Rate, Burst: l.Rate * share * ownShareBurstTime.Seconds()}, share, now)
	return share > 0 && a.ownShare.amount >= amount && a.ownShare.take(l, amount)
}

// clearOwnShare removes the bucket of the gateway's own share once the owner answers.
func (a *account) clearOwnShare() { a.ownShare = nil }
