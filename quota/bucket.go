package quota

import (
	"math"
	"time"
)

// A Limit bounds what an organisation may spend: in any span of time at most Rate times its seconds and Burst.
type Limit struct {
	// Rate is in the limit's unit a second, above 0; Burst in the limit's unit.
	Rate, Burst float64
}

// A bucket holds what a limit allows now. It is empty at first.
type bucket struct {
	amount float64
	// at is until when the rate has been added, share the part of the rate that was added last.
	at    time.Time
	share float64
}

// newBucket returns an empty bucket that fills from a time on.
func newBucket(now time.Time) *bucket { return &bucket{at: now, share: 1} }

// fill adds what a share of the limit's rate has allowed up to now: the lesser share of the last time and this
// one, since nothing says when it changed. A limit that was lowered cuts what is there.
func (b *bucket) fill(l Limit, share float64, now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.amount += l.Rate * min(share, b.share) * elapsed.Seconds()
		b.at = now
	}
	b.share = share
	b.amount = min(b.amount, l.Burst)
}

// take takes an amount if it is there. An amount above the burst needs the whole burst, and the bucket owes
// the rest: it could never be there at once.
func (b *bucket) take(l Limit, amount float64) bool {
	if b.amount < min(amount, l.Burst) {
		return false
	}
	b.amount -= amount
	return true
}

// until returns how long it takes at the limit's whole rate until an amount is there, if nobody else takes any.
func (b *bucket) until(l Limit, amount float64) time.Duration {
	missing := min(amount, l.Burst) - b.amount
	return max(time.Duration(math.Ceil(missing/l.Rate*float64(time.Second))), 0)
}
