package quota

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A pastGrant is a grant of a bucket that may be returned.
type pastGrant struct {
	at       time.Time
	id       GrantID
	amount   float64
	returned bool
}

// amountWithout returns the amount that a bucket of a constant limit would have had at now with only the grants that were
// not returned. It returns -Inf if one of them would not have been possible.
func amountWithout(grants []pastGrant, l Limit, start, now time.Time) float64 {
	b := newBucket(start)
	for _, g := range grants {
		if g.returned {
			continue
		}
		b.fill(l, 1, g.at)
		if b.amount < g.amount-1e-6 {
			return math.Inf(-1)
		}
		b.amount -= g.amount
	}
	b.fill(l, 1, now)
	return b.amount
}

// TestReturnedGrantsLeaveNoTrace guards against a returned grant that adds more to a bucket, or less, than if the grant had
// never been made.
func TestReturnedGrantsLeaveNoTrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: 100, Burst: rapid.Float64Range(1, 300).Draw(t, "burst")}
		start := time.Unix(0, 0)
		now := start
		b := newBucket(start)
		var grants []pastGrant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			b.fill(limit, 1, now)
			for range rapid.IntRange(0, 4).Draw(t, "grants") {
				amount := rapid.Float64Range(0.1, limit.Burst).Draw(t, "amount")
				if b.take(limit, amount) {
					grants = append(grants, pastGrant{at: now, id: b.grant, amount: amount})
				}
			}
			for range rapid.IntRange(0, 3).Draw(t, "returns") {
				if len(grants) == 0 {
					break
				}
				g := &grants[rapid.IntRange(0, len(grants)-1).Draw(t, "grant")]
				if !g.returned {
					g.returned = true
					b.takeBack(GrantPart{Grant: g.id, Amount: g.amount})
				}
			}
			if want := amountWithout(grants, limit, start, now); math.Abs(b.amount-want) > 1e-6 {
				t.Fatalf("%v in the bucket, without the returned grants it would be %v", b.amount, want)
			}
		}
	})
}

// TestReturnsWithLongHistory guards against an overfull bucket when it remembers only a part of its grants.
func TestReturnsWithLongHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const grants = 2 * maxHeadrooms
		limit := Limit{Rate: 1000, Burst: grants}
		now := time.Unix(0, 0)
		b := newBucket(now)
		now = now.Add(time.Minute)
		b.fill(limit, 1, now)
		var ids []GrantID
		for range grants {
			if b.take(limit, 1) {
				ids = append(ids, b.grant)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1).Draw(t, "ms")) * time.Millisecond)
			b.fill(limit, 1, now)
		}
		for _, id := range ids {
			b.takeBack(GrantPart{Grant: id, Amount: 1})
		}
		if n := len(b.headrooms.entries); n > maxHeadrooms || b.amount > limit.Burst+1e-6 {
			t.Fatalf("%d entries, %v of %v in the bucket", n, b.amount, limit.Burst)
		}
	})
}
