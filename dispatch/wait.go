package dispatch

import (
	"context"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
)

// A waiter is a request that waits for a server.
type waiter struct {
	req *Request
	// reservation or refused is set before ready is closed.
	reservation *Reservation
	refused     *LimitedError
	ready       chan struct{}
}

// A waitQueue holds the waiting requests in the order of priority and arrival.
//
// Its zero value is empty.
type waitQueue struct {
	list []*waiter
	// arrivals counts requests, so that those that wait again keep their order.
	arrivals uint64
}

// add puts a request among those that wait.
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

// remove takes a request out.
func (q *waitQueue) remove(w *waiter) {
	q.list = slices.DeleteFunc(q.list, func(x *waiter) bool { return x == w })
}

// removeServed takes out all requests that have a reservation.
func (q *waitQueue) removeServed() {
	q.list = slices.DeleteFunc(q.list, func(w *waiter) bool { return w.reservation != nil })
}

// removeRefused takes out all requests whose wait was ended.
func (q *waitQueue) removeRefused() {
	q.list = slices.DeleteFunc(q.list, func(w *waiter) bool { return w.refused != nil })
}

// Acquire reserves a server for a request, waiting for one until the request's WaitUntil.
// The error is ErrNoServer, ErrShed, ErrWaitTimeout, a *LimitedError or that of ctx.
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

// reserveOrWait reserves a server by what this gateway knows; another one may still have to
// admit the request. Requests of plain services never wait.
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

// refusesAtOnce returns why a request that no server takes now must not wait; nil if it may. The Dispatcher is
// locked.
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

// enqueue makes a request wait; the Dispatcher is locked.
func (d *Dispatcher) enqueue(w *waiter) {
	d.waiting.add(w)
	d.demand.of(w.req).Waiting++
	if d.opts.OnModelMissing != nil && d.holderCount(w.req) == 0 {
		d.opts.OnModelMissing()
	}
}

// wait waits for a reservation until the request's WaitUntil and ctx end.
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

// serve gives servers to waiting requests: first to those that can still be in time, the
// most urgent first, then to the others. The Dispatcher is locked.
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

// offer gives a waiting request a server if one admits it; full remembers the models and
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

// serveAfterPrefill looks at waiting requests again when an engine should have prefilled
// enough, since no event says so.
func (d *Dispatcher) serveAfterPrefill(servers []*backend.Server, list []Candidate, limits Limits, now time.Time) {
	for i, c := range list {
		if c.Owned && c.PrefillInGap > 0 || c.NeedsGrant && c.PrefillAhead > 0 {
			d.serveAt(now.Add(d.admissionDelay(servers[i], c, limits, now)))
		}
	}
}

// serveAt looks for servers for waiting requests at a time, unless that is to be done before.
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
