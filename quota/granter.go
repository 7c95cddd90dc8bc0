package quota

import (
	"slices"
	"time"
)

// A Request requests a grant from the owner of a limit.
type Request struct {
	// Key identifies the holder of the limit: an organisation or a backend server.
	Key string `json:"organisation"`
	// From is the ID of the requesting gateway.
	From string `json:"from"`
	// Need is the amount that one request spends. Prefetch is an additional amount for later requests. Both
	// are in the limit's unit.
	Need     float64 `json:"need"`
	Prefetch float64 `json:"ahead,omitempty"`
	// Returned holds parts of earlier grants that were not spent after all. A Request without a Need only returns them.
	Returned []GrantPart `json:"returned,omitempty"`
}

// isValid reports whether the amounts are valid. Requests can come from other senders than gateways; a
// negative amount would add to the bucket.
func (r Request) isValid() bool {
	if slices.ContainsFunc(r.Returned, func(x GrantPart) bool { return x.Amount <= 0 }) {
		return false
	}
	return r.Prefetch >= 0 && (r.Need > 0 || r.Need == 0 && len(r.Returned) > 0)
}

// A Reply is an owner's reply to a Request.
type Reply struct {
	// IsOwner reports whether the replying gateway makes grants for the organisation. If not, all other
	// fields are empty.
	IsOwner bool `json:"owner,omitempty"`
	// Granted is the amount that the requesting gateway may spend within GrantTTL of sending the request: 0,
	// Need, or Need plus Prefetch.
	Granted float64 `json:"granted,omitempty"`
	// Grant identifies the grant, if there is one.
	Grant GrantID `json:"grant,omitzero"`
	// IsUnconfirmed reports whether the owner lacks the shares of some gateways. In that case a denial does not
	// mean that the organisation is over its limit.
	IsUnconfirmed bool `json:"unsure,omitempty"`
	// RetryAfterMs is the time in milliseconds after which Need may be available, if nothing was granted.
	RetryAfterMs int64 `json:"retry_after,omitempty"`
}

// prefetchReserve is the fraction of the burst that a prefetch must leave in the bucket for requests of other
// gateways.
const prefetchReserve = 0.5

// A granter holds the buckets of the organisations that a gateway owns.
type granter struct {
	buckets map[string]*bucket
	// since is the time from which a bucket created later is filled.
	since time.Time
}

func newGranter(now time.Time) granter {
	return granter{buckets: make(map[string]*bucket), since: now}
}

// retain removes the buckets of organisations that this gateway does not own as of now. A bucket that is
// created again later is empty.
func (g *granter) retain(owns func(organisation string) bool, now time.Time) {
	for name := range g.buckets {
		if !owns(name) {
			delete(g.buckets, name)
		}
	}
	g.since = now
}

// filledBucket returns an organisation's bucket, filled up to now by a share of the rate.
func (g *granter) filledBucket(organisation string, l Limit, share float64, now time.Time) *bucket {
	b := g.buckets[organisation]
	if b == nil {
		b = newBucket(g.since)
		g.buckets[organisation] = b
	}
	b.fill(l, share, now)
	return b
}

// available returns the amount in an organisation's bucket.
func (g *granter) available(organisation string, l Limit, share float64, now time.Time) float64 {
	return g.filledBucket(organisation, l, share, now).amount
}

// grant makes a grant from an organisation's bucket, which is filled by a share of the rate.
func (g *granter) grant(r Request, l Limit, share float64, now time.Time) Reply {
	b := g.filledBucket(r.Key, l, share, now)
	amount := r.Need
	if b.amount-r.Need-r.Prefetch >= prefetchReserve*l.Burst {
		amount += r.Prefetch
	}
	if !b.take(l, amount) {
		return Reply{IsOwner: true, RetryAfterMs: b.timeUntil(l, r.Need).Milliseconds() + 1}
	}
	return Reply{IsOwner: true, Granted: amount, Grant: b.grant}
}

// takeBack returns amounts to an organisation's bucket, which is filled by a share of the rate.
func (g *granter) takeBack(organisation string, l Limit, share float64, returns []GrantPart, now time.Time) {
	if len(returns) > 0 {
		g.filledBucket(organisation, l, share, now).takeBack(returns...)
	}
}
