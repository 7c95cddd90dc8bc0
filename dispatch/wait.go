package dispatch

import (
	"context"
	"slices"
	"time"
)

// Acquire returns a ticket for a server, waiting for one until the request's limit.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Reservation, error) {
	for {
		t, err := d.reserve(ctx, r)
		if err != nil {
			return nil, err
		}
		if d.confirm(ctx, t) {
			return t, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// reserve returns a ticket for a server as far as this gateway knows.
func (d *Dispatcher) reserve(ctx context.Context, r *Request) (*Reservation, error) {
	d.mu.Lock()
	if t := d.choose(r); t != nil {
		d.mu.Unlock()
		return t, nil
	}
	if r.Model == "" || !d.opts.Clock.Now().Before(r.WaitUntil) {
		d.mu.Unlock()
		return nil, ErrNoServer
	}
	if d.sheds(r) {
		d.mu.Unlock()
		return nil, ErrShed
	}
	w := &waiter{req: r, ready: make(chan struct{})}
	d.enqueue(w)
	d.mu.Unlock()
	return d.wait(ctx, w)
}

// enqueue puts a request among those that wait, by urgency and arrival.
func (d *Dispatcher) enqueue(w *waiter) {
	if w.req.sequence == 0 {
		d.arrivals++
		w.req.sequence = d.arrivals
	}
	i := len(d.waiting)
	for i > 0 && w.req.before(d.waiting[i-1].req) {
		i--
	}
	d.waiting = slices.Insert(d.waiting, i, w)
	d.demandOf(w.req).Waiting++
	if d.opts.OnModelMissing != nil && !d.held(w.req) {
		d.opts.OnModelMissing()
	}
}

// before reports whether the request goes before another one that waits.
func (r *Request) before(o *Request) bool {
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.sequence < o.sequence
}

// held reports whether any server has the model and adapter ready.
func (d *Dispatcher) held(r *Request) bool { return d.holders(r) > 0 }

// holders returns how many servers that stay have the model and adapter ready.
func (d *Dispatcher) holders(r *Request) int {
	n := 0
	for _, s := range d.servers.Holding(r.Service, r.Model) {
		if !s.Leaving && (r.Model == "" || s.Holds(r.Model, r.Adapter)) {
			n++
		}
	}
	return n
}

// Holders returns how many servers that stay could serve the request now, were
// they not full: 0 tells that it was refused for want of a server or a model.
func (d *Dispatcher) HolderCount(r *Request) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holders(r)
}

func (d *Dispatcher) wait(ctx context.Context, w *waiter) (*Reservation, error) {
	timer := time.NewTimer(w.req.WaitUntil.Sub(d.opts.Clock.Now()))
	defer timer.Stop()
	err := ErrWaitTimeout
	select {
	case <-w.ready:
		return w.reservation, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.reservation != nil {
		if ctx.Err() == nil {
			return w.reservation, nil
		}
		w.reservation.release()
		d.serve()
		return nil, err
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(x *waiter) bool { return x == w })
	d.demandOf(w.req).Waiting--
	return nil, err
}

// serve gives servers to waiting requests: first to those that can still be in
// time, the most urgent first, then to the others.
func (d *Dispatcher) serve() {
	if len(d.waiting) == 0 {
		return
	}
	now := d.opts.Clock.Now()
	full := make(map[string]bool)
	for _, w := range d.waiting {
		if now.Before(w.req.SendBy) {
			d.offer(w, full)
		}
	}
	for _, w := range d.waiting {
		if w.reservation == nil {
			d.offer(w, full)
		}
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waiter) bool { return w.reservation != nil })
}

// offer gives a waiting request a server if one can take it; full remembers the
// models for which there was none.
func (d *Dispatcher) offer(w *waiter, full map[string]bool) {
	name := w.req.name()
	if full[name] {
		return
	}
	t := d.choose(w.req)
	if t == nil {
		full[name] = len(w.req.Exclude) == 0
		return
	}
	d.demandOf(w.req).Waiting--
	w.reservation = t
	close(w.ready)
}
