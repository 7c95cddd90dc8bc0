package quota

import (
	"math"
	"time"
)

// A stocked is a part of an earlier grant that is left.
type stocked struct {
	amount float64
	until  time.Time
}

// An account is what a gateway may spend for one organisation, and what it has seen of its demand.
type account struct {
	stock []stocked
	// deniedUntil is until when the owner is not asked again for an amount of deniedNeed or more.
	deniedUntil time.Time
	deniedNeed  float64
	// lentAt is when the owner was last asked that answered: until then it had this gateway's part.
	lentAt time.Time
	// part is the gateway's own part of the rate while the owner cannot be asked; nil otherwise.
	part *bucket
	// counts are those since the start.
	counts Counts
	// demand is what was asked for lately, in the limit's unit a second, as of demandAt.
	demand   float64
	demandAt time.Time
}

// demandTime is the time constant of the average of an organisation's demand.
const demandTime = time.Second

// note counts an amount that was asked for.
func (a *account) note(amount float64, now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		a.demandAt = now
	}
	a.demand += amount / demandTime.Seconds()
}

// ahead returns what to ask for beside what a request needs: what is likely to be asked for within StockTime,
// if that is at least one request more.
func (a *account) ahead(need float64) float64 {
	expected := a.demand * StockTime.Seconds()
	if expected < 2*need {
		return 0
	}
	return expected - need
}

// add adds to the stock what may be spent until a time.
func (a *account) add(amount float64, until time.Time) {
	if amount > 0 {
		a.stock = append(a.stock, stocked{amount: amount, until: until})
	}
}

// spend spends an amount of the stock, what ends first before the rest, and reports whether it is there.
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

// dropEnded drops what may no longer be spent and returns what is left.
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

// partTime bounds what a gateway saves up of its own part, as a time of its rate: a process that was paused must
// not spend at once what it did not spend meanwhile.
const partTime = time.Second

// spendPart spends an amount of the gateway's own part of the rate, 0 to 1, which begins with nothing at a time.
// It reports whether the amount was there. Nothing is owed: with a small burst each of many gateways would owe a
// request's cost.
func (a *account) spendPart(l Limit, part, amount float64, since, now time.Time) bool {
	if a.part == nil {
		a.part = newBucket(since)
	}
	a.part.fill(Limit{Rate: l.Rate, Burst: l.Rate * part * partTime.Seconds()}, part, now)
	return part > 0 && a.part.amount >= amount && a.part.take(l, amount)
}

// endPart ends the gateway's own part: the owner answers.
func (a *account) endPart() { a.part = nil }
