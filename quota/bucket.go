package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

// A Limit bounds what an organisation may spend in any period: at most Rate times its seconds, plus Burst.
type Limit struct {
	// Rate is in the limit's unit per second and above 0. Burst is in the limit's unit.
	Rate, Burst float64
}

// A bucket is a token bucket that is initially empty.
type bucket struct {
	amount float64
	// filledAt is when the bucket was last filled. share is the share of the rate then.
	filledAt time.Time
	share    float64
	// grant identifies the last grant.
	grant     GrantID
	headrooms headroomHistory
}

// newBucket returns an empty bucket that fills from now on.
func newBucket(now time.Time) *bucket {
	return &bucket{filledAt: now, share: 1, grant: GrantID{Bucket: rand.Uint64()}}
}

// fill adds what a share of the limit's rate permits up to now. It uses the lower of the last share and this
// one, because it is not known when the share changed. The amount is capped at the burst, also after the
// limit was lowered.
func (b *bucket) fill(l Limit, share float64, now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.amount += l.Rate * min(share, b.share) * elapsed.Seconds()
		b.filledAt = now
	}
	b.share = share
	b.amount = min(b.amount, l.Burst)
	b.headrooms.observe(l.Burst - b.amount)
}

// take removes an amount and reports whether there was enough. An amount above the burst could never be
// available. It needs a full bucket, and the remainder makes the bucket negative.
func (b *bucket) take(l Limit, amount float64) bool {
	if b.amount < min(amount, l.Burst) {
		return false
	}
	b.amount -= amount
	b.grant.Number++
	b.headrooms.addGrant(b.grant.Number, l.Burst-b.amount)
	return true
}

// takeBack returns amounts to the bucket, which must just have been filled, as if the grants had not taken them. Amounts of
// other buckets are ignored.
func (b *bucket) takeBack(returns ...GrantPart) {
	for _, r := range returns {
		if r.Grant.Bucket == b.grant.Bucket {
			b.amount += b.headrooms.takeBack(r.Grant.Number, r.Amount)
		}
	}
}

// timeUntil returns the time until an amount is available at the full rate, if nothing else is taken.
func (b *bucket) timeUntil(l Limit, amount float64) time.Duration {
	missing := min(amount, l.Burst) - b.amount
	return max(time.Duration(math.Ceil(missing/l.Rate*float64(time.Second))), 0)
}
