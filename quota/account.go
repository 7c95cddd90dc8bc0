package quota

import (
	"math"
	"time"
)

// A stocked is the unspent remainder of a grant or a refund.
type stocked struct {
	amount float64
	until  time.Time
}

// An account holds what a gateway may spend for one organisation, and the demand it has measured for it.
type account struct {
	stock []stocked
	// Until deniedUntil the owner is not asked for an amount of deniedNeed or more.
	deniedUntil time.Time
	deniedNeed  float64
	// lentAt is when the last request that an owner answered was sent. Until then the owner had this
	// gateway's share.
	lentAt time.Time
	// part is the bucket of this gateway's own share of the rate while the owner cannot be reached, else nil.
	part *bucket
	// counts holds the decisions since the process started.
	counts Counts
	// demand is the average amount requested, in the limit's unit per second, as of demandAt.
	demand   float64
	demandAt time.Time
}

// demandTime is the time constant of the demand average.
const demandTime = time.Second

// note adds an amount to the measured demand.
func (a *account) note(amount float64, now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		a.demandAt = now
	}
	a.demand += amount / demandTime.Seconds()
}

// ahead returns the amount to prefetch in addition to what a request needs: the expected demand within
// StockTime, or 0 if that is less than one more request.
func (a *account) ahead(need float64) float64 {
	expected := a.demand * StockTime.Seconds()
	if expected < 2*need {
		return 0
	}
	return expected - need
}

// add adds an amount that may be spent until a time.
func (a *account) add(amount float64, until time.Time) {
	if amount > 0 {
		a.stock = append(a.stock, stocked{amount: amount, until: until})
	}
}

// spend takes an amount from the stock, what expires first before the rest, and reports whether there was
// enough.
func (a *account) spend(amount float64, now time.Time) bool {
	total := a.dropEnded(now)
	if total < amount {
		return false
	}
	for amount > 0 {
		first := &a.stock[0]
		if first.amount > amount {
			first.amount -= amount
			return true
		}
		amount -= first.amount
		a.stock = a.stock[1:]
	}
	return true
}

// dropEnded removes expired amounts and returns the total of the others.
func (a *account) dropEnded(now time.Time) (total float64) {
	kept := a.stock[:0]
	for _, s := range a.stock {
		if now.Before(s.until) {
			kept = append(kept, s)
			total += s.amount
		}
	}
	a.stock = kept
	return total
}

// partTime bounds the burst of a gateway's own share, as a duration at its rate. A process that was paused
// must not spend at once what it did not spend meanwhile.
const partTime = time.Second

// spendPart spends an amount from the gateway's own share of the rate, 0 to 1, and reports whether there was
// enough. The bucket is empty at since. It never goes negative, because with a small burst each of many
// gateways would otherwise overspend by the cost of a request.
func (a *account) spendPart(l Limit, part, amount float64, since, now time.Time) bool {
	if a.part == nil {
		a.part = newBucket(since)
	}
	a.part.fill(Limit{Rate: l.Rate, Burst: l.Rate * part * partTime.Seconds()}, part, now)
	return part > 0 && a.part.amount >= amount && a.part.take(l, amount)
}

// endPart removes the bucket of the gateway's own share once the owner answers.
func (a *account) endPart() { a.part = nil }
