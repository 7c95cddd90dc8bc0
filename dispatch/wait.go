package dispatch

import (
	"context"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
)

// A waiter is a request in the wait queue.
type waiter struct {
	req *Request
	// Either reservation or refused is set before ready is closed.
	reservation *Reservation
	refused     *LimitedError
	ready       chan struct{}
}

// A waitQueue holds the waiting requests, ordered by priority and then by arrival.
//
// Its zero value is empty.
type waitQueue struct {
	list []*waiter
	// arrivals is the last sequence number given out. A request keeps its number when it waits
	// again.
	arrivals uint64
}

func (q *waitQueue) add(w *waiter) {
	if w.req.sequence == 0 {
		q.arrivals++
		w.req.sequence = q.arrivals
	}
	i := len(q.list)
	for i > 0 && w.req.before(q.list[i-1].req) {
		i--
	}
	q.list = slices.Insert(q.list, i, w)
}

func (q *waitQueue) remove(w *waiter) {
	q.list = slices.DeleteFunc(q.list, func(x *waiter) bool { return x == w })
}

// removeServed removes the requests that have a reservation.
func (q *waitQueue) removeServed() {
	q.list = slices.DeleteFunc(q.list, func(w *waiter) bool { return w.reservation != nil })
}

// removeRefused removes the requests that have been refused.
func (q *waitQueue) removeRefused() {
	q.list = slices.DeleteFunc(q.list, func(w *waiter) bool { return w.refused != nil })
}

// Acquire reserves a server for a request and waits for one until the request's WaitUntil. The
// error is ErrNoServer, ErrShed, ErrWaitTimeout, a *LimitedError or the error of ctx.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Reservation, error) {
	for {
		res, err := d.reserveOrWait(ctx, r)
		if err != nil {
			return nil, err
		}
		if d.confirm(ctx, res) {
			return res, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// reserveOrWait reserves a server according to this gateway's state; a permit or the owner's
// admission may still be required. Requests to plain services never wait.
func (d *Dispatcher) reserveOrWait(ctx context.Context, r *Request) (*Reservation, error) {
	d.mu.Lock()
	if res := d.choose(r); res != nil {
		d.mu.Unlock()
		return res, nil
	}
	if err := d.refusesAtOnce(r); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	w := &waiter{req: r, ready: make(chan struct{})}
	d.enqueue(w)
	d.mu.Unlock()
	return d.wait(ctx, w)
}

// refusesAtOnce returns the reason why a request that no server can take now must not wait, or nil
// if it may. d.mu must be held.
func (d *Dispatcher) refusesAtOnce(r *Request) error {
	now := d.opts.Clock.Now()
	mayWait := r.Model != "" && now.Before(r.WaitUntil)
	if d.hasLimits() {
		wait, ok := d.limitedWait(r, d.waiting.countAhead(r), now)
		if ok && (!mayWait || now.Add(wait).After(r.WaitUntil)) {
			return &LimitedError{RetryAfter: wait}
		}
	}
	switch {
	case !mayWait:
		return ErrNoServer
	case d.sheds(r):
		return ErrShed
	}
	return nil
}

// enqueue adds a request to the wait queue. d.mu must be held.
func (d *Dispatcher) enqueue(w *waiter) {
	d.waiting.add(w)
	d.demand.of(w.req).Waiting++
	if d.opts.OnModelMissing != nil && d.holderCount(w.req) == 0 {
		d.opts.OnModelMissing()
	}
}

// wait blocks until the request has a reservation or is refused, its WaitUntil has passed or ctx is
// done.
func (d *Dispatcher) wait(ctx context.Context, w *waiter) (*Reservation, error) {
	clock.Await(ctx, d.opts.Clock, w.ready, w.req.WaitUntil.Sub(d.opts.Clock.Now()))
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case w.reservation != nil && ctx.Err() == nil:
		return w.reservation, nil
	case w.refused != nil && ctx.Err() == nil:
		return nil, w.refused
	case w.refused != nil:
		return nil, ctx.Err()
	case w.reservation != nil:
		w.reservation.release()
		d.serve()
		return nil, ctx.Err()
	}
	d.waiting.remove(w)
	d.demand.of(w.req).Waiting--
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, ErrWaitTimeout
}

// serve reserves servers for waiting requests, first for those that are not late and then for the
// others, each group in order of priority and arrival. d.mu must be held.
func (d *Dispatcher) serve() {
	if len(d.waiting.list) == 0 {
		return
	}
	now := d.opts.Clock.Now()
	full := make(map[string]bool)
	for _, w := range d.waiting.list {
		if now.Before(w.req.SendBy) {
			d.offer(w, full)
		}
	}
	for _, w := range d.waiting.list {
		if w.reservation == nil {
			d.offer(w, full)
		}
	}
	d.waiting.removeServed()
	d.refuseHopeless(now)
}

// offer reserves a server for a waiting request if one can take it. full records the models and
// adapters for which there was none.
func (d *Dispatcher) offer(w *waiter, full map[string]bool) {
	target := w.req.target()
	if full[target] {
		return
	}
	res := d.choose(w.req)
	if res == nil {
		full[target] = len(w.req.Exclude) == 0
		return
	}
	d.demand.of(w.req).Waiting--
	w.reservation = res
	close(w.ready)
}

// serveAfterPrefill schedules serve for when an engine is expected to have prefilled enough, which
// no event signals.
func (d *Dispatcher) serveAfterPrefill(servers []*backend.Server, list []Candidate, limits Limits, now time.Time) {
	for i, c := range list {
		if c.Owned && c.PrefillInGap > 0 || c.NeedsGrant && c.PrefillAhead > 0 {
			d.serveAt(now.Add(d.admissionDelay(servers[i], c, limits, now)))
		}
	}
}

// serveAt schedules serve for the given time unless it is already scheduled for an earlier one.
// d.mu must be held.
func (d *Dispatcher) serveAt(when time.Time) {
	if !d.nextServe.IsZero() && !when.Before(d.nextServe) {
		return
	}
	d.nextServe = when
	d.opts.Clock.AfterFunc(when.Sub(d.opts.Clock.Now()), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.nextServe.Equal(when) {
			d.nextServe = time.Time{}
		}
		d.serve()
	})
}
