package dispatch

import (
	"context"
	"fmt"
	"time"

	"rockcleat/backend"
)

// Permits grants the right to send requests to servers that limit the request rate of all gateways
// together.
type Permits interface {
	// Any reports whether any server has a rate limit now.
	Any() bool
	// Limit returns a server's rate limit in requests per second; ok is false if it has none.
	Limit(server string) (perSecond float64, ok bool)
	// Take requests a permit to send one request to a server. If it is not granted, p is nil, and wait is how
	// long to wait before asking again.
	Take(ctx context.Context, server string) (p Permit, wait time.Duration)
}

// A Permit is the right to send one request to a server.
type Permit interface {
	// Release returns a permit that was not used.
	Release()
}

// A RateLimitError means that all servers that could take the request have a rate limit, and that
// none can take it before its WaitUntil.
type RateLimitError struct {
	// RetryAfter is the estimated time until a server can take the request.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("dispatch: the servers take no more requests for %s", e.RetryAfter)
}

// permitState is the state of permit requests for one server.
type permitState struct {
	// pending is the number of permit requests in progress, deniedUntil the time until which no
	// permit is requested.
	pending     int
	deniedUntil time.Time
	// consecutiveDenials is the number of denials since the last grant.
	consecutiveDenials int
}

// isBlocked reports whether no permit may be requested now for a request that can wait.
func (p *permitState) isBlocked(now time.Time) bool {
	return now.Before(p.deniedUntil) || p.pending > 0
}

// rateLimitOf returns a server's rate limit in requests per second; ok is false if it has none.
func (d *Dispatcher) rateLimitOf(server string) (perSecond float64, ok bool) {
	if !d.hasRateLimits() {
		return 0, false
	}
	return d.opts.Permits.Limit(server)
}

// hasRateLimits reports whether any server has a rate limit now.
func (d *Dispatcher) hasRateLimits() bool { return d.opts.Permits != nil && d.opts.Permits.Any() }

// RateLimitChanged must be called when a server's rate limit is set, changed or removed. It
// discards earlier denials and serves waiting requests.
func (d *Dispatcher) RateLimitChanged(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.loads[server]; l != nil {
		l.permits.deniedUntil, l.permits.consecutiveDenials = time.Time{}, 0
	}
	d.serveWaiting()
}

// isPermitBlocked reports whether a permit for r must not be requested at a server now. If a denial
// is the reason, it schedules serveWaiting for when the denial ends. For requests that can wait, only
// one permit is requested at a time, since others would be denied as well. d.mu must be held.
func (d *Dispatcher) isPermitBlocked(r *Request, server string, now time.Time) bool {
	p := d.loadOf(server).permits
	if now.Before(p.deniedUntil) {
		d.scheduleServe(p.deniedUntil)
		return true
	}
	return r.Model != "" && p.pending > 0
}

// obtainPermit obtains a permit for a reservation if its server has a rate limit. It reports
// whether the request may be sent; if not, the reservation has been released.
func (d *Dispatcher) obtainPermit(ctx context.Context, res *Reservation) bool {
	_, limited := d.rateLimitOf(res.server.ID)
	if !limited && !res.permitPending {
		return true
	}
	var permit Permit
	var wait time.Duration
	if limited {
		permit, wait = d.opts.Permits.Take(ctx, res.server.ID)
	}
	granted := !limited || permit != nil
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	p := &res.load.permits
	res.endPermitRequest()
	if granted {
		res.permit, p.consecutiveDenials = permit, 0
	} else {
		p.deniedUntil = now.Add(wait)
		p.consecutiveDenials++
		res.req.PermitsDenied++
		res.release()
	}
	d.serveWaiting()
	return granted
}

// endPermitRequest records that the reservation no longer waits for a permit. d.mu must be held.
func (r *Reservation) endPermitRequest() {
	if r.permitPending {
		r.permitPending = false
		r.load.permits.pending--
	}
}

// releasePermit releases the permit of a send that is not made.
func (r *Reservation) releasePermit() {
	if r.permit != nil {
		r.permit.Release()
	}
}

// A waitEstimate is the estimated wait of a request for a server.
type waitEstimate struct {
	// blocked is set if every server that could take the request is paused, or has a rate limit and no
	// permit may be requested for it now. The other fields are set only then.
	blocked bool
	// wait is the estimated time until a server can take the request.
	wait time.Duration
	// paused is set if one of these servers has no rate limit, so that it takes any number of requests after
	// its pause.
	paused bool
}

// err returns the error for a request that cannot wait for that long.
func (e waitEstimate) err() error {
	if e.paused {
		return &PausedError{RetryAfter: e.wait}
	}
	return &RateLimitError{RetryAfter: e.wait}
}

// estimateWait estimates how long a request has to wait if every server that could take it is blocked.
// It does not apply if one of these servers is not, if no server could take the request, or if an engine
// that is not blocked could load the adapter that the request needs.
//
// ahead is the number of requests for the same model or service that are ahead in the wait queue. It
// counts if all servers have rate limits. Consecutive denials show that requests of other gateways wait
// as well; each gateway is then assumed to receive an equal share of the rate. d.mu must be held.
func (d *Dispatcher) estimateWait(r *Request, ahead int, now time.Time) waitEstimate {
	if !d.hasRateLimits() && !d.hasPauses(now) {
		return waitEstimate{}
	}
	var e waitEstimate
	var soonest time.Time
	perSecond := 0.0
	contested := true
	for _, s := range d.servers.WithModel(r.Service, r.Model) {
		b := d.blockOf(s, now)
		if b.isUsable() && d.canLoadAdapter(r, s) {
			return waitEstimate{}
		}
		if !d.isEligible(r, s) {
			continue
		}
		if !b.blocked {
			return waitEstimate{}
		}
		if !e.blocked || b.until.Before(soonest) {
			soonest, e.blocked = b.until, true
		}
		e.paused = e.paused || !b.limited
		contested = contested && b.contested
		perSecond += b.perSecond
	}
	e.wait = max(soonest.Sub(now), 0)
	if contested {
		ahead++
	}
	if e.blocked && !e.paused && ahead > 0 {
		e.wait += time.Duration(float64(ahead*max(len(d.owners.gateways), 1)) / max(perSecond, minRate) * float64(time.Second))
	}
	return e
}

// A serverBlock tells whether a server may get a request that can wait, apart from its capacity.
type serverBlock struct {
	// blocked is set if the server is paused, or has a rate limit and no permit may be requested now, and until is when
	// that ends.
	blocked bool
	until   time.Time
	// limited is set if the server has a rate limit, which is perSecond, and contested if several permits in a row have
	// been denied.
	limited, contested bool
	perSecond          float64
}

// isUsable reports whether the server is neither paused nor limited.
func (b serverBlock) isUsable() bool { return !b.blocked && !b.limited }

// blockOf returns the present block of a server. d.mu must be held.
func (d *Dispatcher) blockOf(s *backend.Server, now time.Time) serverBlock {
	l := d.loadOf(s.ID)
	b := serverBlock{blocked: now.Before(l.pause.nextTrial), until: l.pause.nextTrial}
	b.perSecond, b.limited = d.rateLimitOf(s.ID)
	b.contested = l.permits.consecutiveDenials > 1
	if !b.limited {
		return b
	}
	b.blocked = b.blocked || l.permits.isBlocked(now)
	if l.permits.deniedUntil.After(b.until) {
		b.until = l.permits.deniedUntil
	}
	return b
}

// minRate is the lower bound of the rate used in the estimate, in requests per second. It keeps the
// estimate finite.
const minRate = 0.1

// refuseUnservable refuses the waiting requests that no server can take in time. d.mu must be held.
func (d *Dispatcher) refuseUnservable(now time.Time) {
	ahead := make(map[queueKey]int)
	for _, w := range d.queue.list {
		key := w.req.queueKey()
		if w.refused = d.unservable(w.req, ahead[key], now); w.refused != nil {
			d.addWaiting(w.req, -1)
			close(w.ready)
			continue
		}
		ahead[key]++
	}
	d.queue.removeRefused()
}

// unservable returns the reason why no server can take a waiting request in time, or nil. ahead is the
// number of requests that need the same servers and are ahead in the wait queue. d.mu must be held.
func (d *Dispatcher) unservable(r *Request, ahead int, now time.Time) error {
	if d.noneAccepts(r.Service) {
		return ErrNoneAccepts
	}
	if d.lacksVersion(r) {
		return ErrNoVersion
	}
	if e := d.estimateWait(r, ahead, now); e.blocked && now.Add(e.wait).After(r.WaitUntil) {
		return e.err()
	}
	return nil
}

// countAhead returns the number of waiting requests that need the same servers as r and are ahead of
// it.
func (q *waitQueue) countAhead(r *Request) int {
	n := 0
	for _, w := range q.list {
		if w.req.queueKey() == r.queueKey() && (r.sequence == 0 && w.req.Priority <= r.Priority || r.sequence != 0 && w.req.isAheadOf(r)) {
			n++
		}
	}
	return n
}

// canLoadAdapter reports whether a server holds the request's model and only lacks its adapter,
// which is then loaded because the request waits for it.
func (d *Dispatcher) canLoadAdapter(r *Request, s *backend.Server) bool {
	return r.Adapter != "" && r.mayUse(s) && s.Holds(r.Model, "")
}

// isEligible reports whether a server holds what the request needs and may be chosen for it.
func (d *Dispatcher) isEligible(r *Request, s *backend.Server) bool {
	return r.mayUse(s) && r.isHeldBy(s)
}
