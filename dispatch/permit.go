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
	// Take requests a permit to send one request to a server. If it is not granted, wait is how
	// long to wait before asking again.
	Take(ctx context.Context, server string) (granted bool, wait time.Duration)
	// GiveBack returns a permit that was granted and not used.
	GiveBack(server string)
}

// A LimitedError means that all servers that could take the request have a rate limit, and that
// none can take it before its WaitUntil.
type LimitedError struct {
	// RetryAfter is the estimated time until a server can take the request.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("dispatch: the servers take no more requests for %s", e.RetryAfter)
}

// permits is the state of permit requests for one server.
type permits struct {
	// asked is the number of permit requests in progress, deniedUntil the time until which no
	// permit is requested.
	asked       int
	deniedUntil time.Time
	// denials is the number of denials since the last grant.
	denials int
}

// limitOf returns a server's rate limit in requests per second; ok is false if it has none.
func (d *Dispatcher) limitOf(server string) (perSecond float64, ok bool) {
	if !d.hasLimits() {
		return 0, false
	}
	return d.opts.Permits.Limit(server)
}

// hasLimits reports whether any server has a rate limit now.
func (d *Dispatcher) hasLimits() bool { return d.opts.Permits != nil && d.opts.Permits.Any() }

// LimitChanged must be called when a server's rate limit is set, changed or removed. It discards
// earlier denials and serves waiting requests.
func (d *Dispatcher) LimitChanged(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.loads[server]; l != nil {
		l.permits.deniedUntil, l.permits.denials = time.Time{}, 0
	}
	d.serve()
}

// isBarred reports whether a request must not ask for a permit of a server now. After a denial it
// schedules the next serve. Requests for models ask for one permit at a time, since they can wait
// and further requests would be denied as well. d.mu must be held.
func (d *Dispatcher) isBarred(r *Request, server string, now time.Time) bool {
	p := d.load(server).permits
	if now.Before(p.deniedUntil) {
		d.serveAt(p.deniedUntil)
		return true
	}
	return r.Model != "" && p.asked > 0
}

// takePermit obtains a permit for a reservation if its server has a rate limit. It reports whether
// the request may be sent; if not, the reservation has been released.
func (d *Dispatcher) takePermit(ctx context.Context, res *Reservation) bool {
	_, limited := d.limitOf(res.server.ID)
	if !limited && !res.asksPermit {
		return true
	}
	granted, wait := true, time.Duration(0)
	if limited {
		granted, wait = d.opts.Permits.Take(ctx, res.server.ID)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	p := &res.load.permits
	res.endAsking()
	if granted {
		res.hasPermit, p.denials = limited, 0
	} else {
		p.deniedUntil = now.Add(wait)
		p.denials++
		res.req.PermitsDenied++
		res.release()
	}
	d.serve()
	return granted
}

// endAsking records that the reservation no longer waits for a permit. d.mu must be held.
func (r *Reservation) endAsking() {
	if r.asksPermit {
		r.asksPermit = false
		r.load.permits.asked--
	}
}

// dropPermit returns the permit of an attempt that is not made.
func (d *Dispatcher) dropPermit(res *Reservation) {
	if res.hasPermit {
		d.opts.Permits.GiveBack(res.server.ID)
	}
}

// limitedWait estimates how long a request has to wait if every server that could take it has a
// rate limit and denies permits now. ok is false if a server may take it now, or if an engine
// without a rate limit could load the adapter that the request needs.
//
// ahead is the number of requests for the same model or service that are ahead in the wait queue.
// Consecutive denials show that requests of other gateways wait as well, so the estimate assumes
// that each gateway receives an equal share of the rate. d.mu must be held.
func (d *Dispatcher) limitedWait(r *Request, ahead int, now time.Time) (wait time.Duration, ok bool) {
	var soonest time.Time
	perSecond := 0.0
	contested := true
	for _, s := range d.servers.Holding(r.Service, r.Model) {
		rate, limited := d.limitOf(s.ID)
		if !limited && d.couldLoadAdapter(r, s) {
			return 0, false
		}
		if !d.couldTake(r, s) {
			continue
		}
		p := d.load(s.ID).permits
		from := p.deniedUntil
		if !limited || !now.Before(from) && p.asked == 0 {
			return 0, false
		}
		contested = contested && p.denials > 1
		if !ok || from.Before(soonest) {
			soonest, ok = from, true
		}
		perSecond += rate
	}
	wait = max(soonest.Sub(now), 0)
	if contested {
		ahead++
	}
	if ok && ahead > 0 {
		wait += time.Duration(float64(ahead*max(len(d.owners.gateways), 1)) / max(perSecond, minPerSecond) * float64(time.Second))
	}
	return wait, ok
}

// minPerSecond is the rate assumed at least, in requests per second, so that the estimate stays
// finite.
const minPerSecond = 0.1

// refuseHopeless refuses the waiting requests that only servers with rate limits could take and
// that none of these can take in time. d.mu must be held.
func (d *Dispatcher) refuseHopeless(now time.Time) {
	if !d.hasLimits() {
		return
	}
	ahead := make(map[string]int)
	for _, w := range d.waiting.list {
		target := w.req.target()
		if wait, ok := d.limitedWait(w.req, ahead[target], now); ok && now.Add(wait).After(w.req.WaitUntil) {
			w.refused = &LimitedError{RetryAfter: wait}
			d.demand.of(w.req).Waiting--
			close(w.ready)
			continue
		}
		ahead[target]++
	}
	d.waiting.removeRefused()
}

// countAhead returns the number of waiting requests for the same model or adapter that are ahead of
// r.
func (q *waitQueue) countAhead(r *Request) int {
	n := 0
	for _, w := range q.list {
		if w.req.target() == r.target() && (r.sequence == 0 && w.req.Priority <= r.Priority || r.sequence != 0 && w.req.before(r)) {
			n++
		}
	}
	return n
}

// couldLoadAdapter reports whether a server holds the request's model and only lacks its adapter,
// which is then loaded because the request waits for it.
func (d *Dispatcher) couldLoadAdapter(r *Request, s *backend.Server) bool {
	return r.Adapter != "" && !s.Leaving && !r.excludes(s.ID) && s.Holds(r.Model, "")
}

// couldTake reports whether a server holds what the request needs, is not draining and is not
// excluded.
func (d *Dispatcher) couldTake(r *Request, s *backend.Server) bool {
	return !s.Leaving && !r.excludes(s.ID) && (r.Model == "" || s.Holds(r.Model, r.Adapter))
}
