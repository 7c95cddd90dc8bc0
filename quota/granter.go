package quota

import "time"

// A Request asks the owner of a limit for a grant.
type Request struct {
	// Key names whose limit it is: an organisation or a backend server.
	Key string `json:"organisation"`
	// From is the gateway that asks.
	From string `json:"from"`
	// Need is what one request needs, Ahead what would be of use beside it, in the limit's unit.
	Need  float64 `json:"need"`
	Ahead float64 `json:"ahead,omitempty"`
}

// isValid reports whether the amounts may be granted: others send requests too, and a negative one would add to
// what the bucket has.
func (r Request) isValid() bool { return r.Need > 0 && r.Ahead >= 0 }

// A Reply is an owner's answer to a Request.
type Reply struct {
	// IsOwner says that the answering gateway grants for the organisation; all else is empty otherwise.
	IsOwner bool `json:"owner,omitempty"`
	// Granted is what the asking gateway may spend within StockTime of having asked: nothing, Need, or Need
	// and Ahead.
	Granted float64 `json:"granted,omitempty"`
	// IsUnsure says that the owner does not have the parts of all gateways: that it grants nothing does not
	// say that the organisation is over its limit.
	IsUnsure bool `json:"unsure,omitempty"`
	// RetryAfterMs is when Need may be there, in milliseconds, if nothing was granted.
	RetryAfterMs int64 `json:"retry_after,omitempty"`
}

// aheadReserve is the part of the burst that grants ahead leave in the bucket, for requests of other
// gateways.
const aheadReserve = 0.5

// A granter has the buckets of the organisations that a gateway owns.
type granter struct {
	buckets map[string]*bucket
	// since is from when on buckets that are not there yet have been filling.
	since time.Time
}

func newGranter(now time.Time) granter {
	return granter{buckets: make(map[string]*bucket), since: now}
}

// keep drops the buckets of organisations that this gateway does not own as of now. One that it gets again
// begins with nothing.
func (g *granter) keep(owns func(organisation string) bool, now time.Time) {
	for name := range g.buckets {
		if !owns(name) {
			delete(g.buckets, name)
		}
	}
	g.since = now
}

// filled returns an organisation's bucket, filled by a share of the rate up to now.
func (g *granter) filled(organisation string, l Limit, share float64, now time.Time) *bucket {
	b := g.buckets[organisation]
	if b == nil {
		b = newBucket(g.since)
		g.buckets[organisation] = b
	}
	b.fill(l, share, now)
	return b
}

// available returns what an organisation's bucket has now.
func (g *granter) available(organisation string, l Limit, share float64, now time.Time) float64 {
	return g.filled(organisation, l, share, now).amount
}

// grant grants from an organisation's bucket, which a share of the rate fills.
func (g *granter) grant(r Request, l Limit, share float64, now time.Time) Reply {
	b := g.filled(r.Key, l, share, now)
	if !b.take(l, r.Need) {
		return Reply{IsOwner: true, RetryAfterMs: b.until(l, r.Need).Milliseconds() + 1}
	}
	granted := r.Need
	if b.amount-r.Ahead >= aheadReserve*l.Burst {
		b.amount -= r.Ahead
		granted += r.Ahead
	}
	return Reply{IsOwner: true, Granted: granted}
}
