package quota

import "time"

// A Request requests a grant from the owner of a limit.
type Request struct {
	// Key identifies the holder of the limit: an organisation or a backend server.
	Key string `json:"organisation"`
	// From is the ID of the requesting gateway.
	From string `json:"from"`
	// Need is the amount that one request spends. Ahead is the additional amount to prefetch. Both are in the
	// limit's unit.
	Need  float64 `json:"need"`
	Ahead float64 `json:"ahead,omitempty"`
}

// isValid reports whether the amounts are valid. Requests can come from other senders than gateways; a
// negative amount would add to the bucket.
func (r Request) isValid() bool { return r.Need > 0 && r.Ahead >= 0 }

// A Reply is an owner's reply to a Request.
type Reply struct {
	// IsOwner reports whether the replying gateway makes grants for the organisation. If not, all other
	// fields are empty.
	IsOwner bool `json:"owner,omitempty"`
	// Granted is the amount that the requesting gateway may spend within StockTime of sending the request: 0,
	// Need, or Need plus Ahead.
	Granted float64 `json:"granted,omitempty"`
	// IsUnsure reports whether the owner lacks the shares of some gateways. In that case a denial does not
	// mean that the organisation is over its limit.
	IsUnsure bool `json:"unsure,omitempty"`
	// RetryAfterMs is the time in milliseconds after which Need may be available, if nothing was granted.
	RetryAfterMs int64 `json:"retry_after,omitempty"`
}

// prefetchReserve is the fraction of the burst that a prefetch must leave in the bucket for requests of other
// gateways.
const prefetchReserve = 0.5

// A granter holds the buckets of the organisations that a gateway owns.
type granter struct {
	buckets map[string]*bucket
	// since is when buckets that do not exist yet started to fill.
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
	if !b.take(l, r.Need) {
		return Reply{IsOwner: true, RetryAfterMs: b.timeUntil(l, r.Need).Milliseconds() + 1}
	}
	granted := r.Need
	if b.amount-r.Ahead >= prefetchReserve*l.Burst {
		b.amount -= r.Ahead
		granted += r.Ahead
	}
	return Reply{IsOwner: true, Granted: granted}
}
