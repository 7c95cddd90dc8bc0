package dispatch

import (
	"context"
	"fmt"
	"time"

	"rockcleat/backend"
)

// Permits lets requests through to servers that bound how many they take from all gateways together.
type Permits interface {
	// Any reports whether any server has a limit now.
	Any() bool
	// Limit returns a server's limit in requests a second; ok is false if it has none.
	Limit(server string) (perSecond float64, ok bool)
	// Take asks for the right to send a server one request; wait is when to ask again if it is not granted.
	Take(ctx context.Context, server string) (granted bool, wait time.Duration)
	// GiveBack gives back a right that was granted and not used.
	GiveBack(server string)
}

// A LimitedError says that all servers that could take a request bound how many they take, and that none will take
// it in time.
type LimitedError struct {
	// RetryAfter is when one may.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("dispatch: the servers take no more requests for %s", e.RetryAfter)
}

// permits is what a gateway knows of the requests that it may send to a server with a limit.
type permits struct {
	// asked is the number of requests for which a permit is being asked, deniedUntil until when none is granted.
	asked       int
	deniedUntil time.Time
	// denials counts those that were denied since one was granted.
	denials int
}

// limitOf returns a server's limit; ok is false if it has none.
func (d *Dispatcher) limitOf(server string) (perSecond float64, ok bool) {
	if !d.hasLimits() {
		return 0, false
	}
	return d.opts.Permits.Limit(server)
}

// hasLimits reports whether any server has a limit now.
func (d *Dispatcher) hasLimits() bool { return d.opts.Permits != nil && d.opts.Permits.Any() }

// LimitChanged notes that a server has named, changed or ended its limit: what it denied before says nothing any
// more, and waiting requests are looked at again.
func (d *Dispatcher) LimitChanged(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.loads[server]; l != nil {
		l.permits.deniedUntil, l.permits.denials = time.Time{}, 0
	}
	d.serve()
}

// isBarred reports whether a server with a limit is not to be asked for a request now. Waiting requests are looked
// at again when it may be. For a request that may wait one permit is asked at a time: the rest would be in vain.
func (d *Dispatcher) isBarred(r *Request, server string, now time.Time) bool {
	p := d.load(server).permits
	if now.Before(p.deniedUntil) {
		d.serveAt(p.deniedUntil)
		return true
	}
	return r.Model != "" && p.asked > 0
}

// takePermit asks for the right to send a reservation's request, if its server has a limit, and reports whether it
// may be sent; the reservation is over if not.
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

// endAsking notes that no permit is being asked for the reservation any more. The Dispatcher is locked.
func (r *Reservation) endAsking() {
	if r.asksPermit {
		r.asksPermit = false
		r.load.permits.asked--
	}
}

// dropPermit gives back a permit for a send that is not made.
func (d *Dispatcher) dropPermit(res *Reservation) {
	if res.hasPermit {
		d.opts.Permits.GiveBack(res.server.ID)
	}
}

// limitedWait returns how long a request waits until a server takes it, if all servers that could do so have limits
// and bar it now; ok is false otherwise, and where another server could load the adapter that the request needs.
// ahead is the number of requests that wait here before it for the same model or service. Where other gateways'
// requests wait too, as denials in a row show, this gateway gets an equal part of the server's rate.
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

// minPerSecond keeps the wait at servers that take nothing finite, in requests a second.
const minPerSecond = 0.1

// refuseHopeless ends the wait of requests that only servers with limits could take, and none in time. The
// Dispatcher is locked.
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

// countAhead returns the number of waiting requests for the same model that are served before a request.
func (q *waitQueue) countAhead(r *Request) int {
	n := 0
	for _, w := range q.list {
		if w.req.target() == r.target() && (r.sequence == 0 && w.req.Priority <= r.Priority || r.sequence != 0 && w.req.before(r)) {
			n++
		}
	}
	return n
}

// couldLoadAdapter reports whether a server lacks only the adapter that a request needs: it is loaded soon, since the
// request waits for it.
func (d *Dispatcher) couldLoadAdapter(r *Request, s *backend.Server) bool {
	return r.Adapter != "" && !s.Leaving && !r.excludes(s.ID) && s.Holds(r.Model, "")
}

// couldTake reports whether a server holds what a request needs and stays.
func (d *Dispatcher) couldTake(r *Request, s *backend.Server) bool {
	return !s.Leaving && !r.excludes(s.ID) && (r.Model == "" || s.Holds(r.Model, r.Adapter))
}
