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
	// One of reservation, refused and chooseAgain is set before ready is closed. chooseAgain means that the request has to
	// choose a server again.
	reservation *Reservation
	refused     error
	chooseAgain bool
	ready       chan struct{}
}

// isServed reports whether the request no longer waits and was not refused.
func (w *waiter) isServed() bool { return w.reservation != nil || w.chooseAgain }

// A waitQueue holds the waiting requests, ordered by priority and then by arrival.
//
// Its zero value is empty.
type waitQueue struct {
	list []*waiter
	// lastSequence is the last sequence number assigned. A request keeps its number when it waits
	// again.
	lastSequence uint64
}

func (q *waitQueue) add(w *waiter) {
	if w.req.sequence == 0 {
		q.lastSequence++
		w.req.sequence = q.lastSequence
	}
	i := len(q.list)
	for i > 0 && w.req.isAheadOf(q.list[i-1].req) {
		i--
	}
	q.list = slices.Insert(q.list, i, w)
}

func (q *waitQueue) remove(w *waiter) {
	q.list = slices.DeleteFunc(q.list, func(x *waiter) bool { return x == w })
}

func (q *waitQueue) removeServed() {
	q.list = slices.DeleteFunc(q.list, (*waiter).isServed)
}

func (q *waitQueue) removeRefused() {
	q.list = slices.DeleteFunc(q.list, func(w *waiter) bool { return w.refused != nil })
}

// Acquire reserves a server for a request and waits for one until the request's WaitUntil. The
// error is ErrNoServer, ErrNoHall, ErrNoneAccepts, ErrNoVersion, ErrShed, ErrWaitTimeout, a
// *RateLimitError, a *PausedError, a *BusyError or the error of ctx.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Reservation, error) {
	for {
		res, err := d.reserveOrWait(ctx, r)
		if err != nil {
			return nil, err
		}
		if res != nil && d.obtainApprovals(ctx, res) && d.confirm(res) {
			return res, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// confirm reports whether the reserved server still takes the request: its approvals take time, during
// which it may have announced that it is leaving, or have asked for a pause. If it does not, the
// reservation has been released.
func (d *Dispatcher) confirm(res *Reservation) bool {
	if d.isStillAllowed(res) {
		return true
	}
	res.Cancel()
	return false
}

// isStillAllowed reports whether a reserved server is listed, takes the request and has not asked for a pause.
func (d *Dispatcher) isStillAllowed(res *Reservation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers.Server(res.server.ID)
	return ok && res.req.allows(s) && !d.opts.Clock.Now().Before(res.load.pause.endsAt)
}

// reserveOrWait reserves a server according to this gateway's state; a permit or the owner's
// admission may still be required. Requests to plain services that are not counted wait only for the end of a pause.
// It returns neither a reservation nor an error if the request has to choose again.
func (d *Dispatcher) reserveOrWait(ctx context.Context, r *Request) (*Reservation, error) {
	d.mu.Lock()
	if d.isCounted(r.Service) {
		d.mu.Unlock()
		return d.acquireCounted(ctx, r)
	}
	if res := d.tryReserve(r); res != nil {
		d.mu.Unlock()
		return res, nil
	}
	return d.waitForServer(ctx, r)
}

// waitForServer waits in this gateway's queue for a server, if the request may wait. It unlocks d.mu.
func (d *Dispatcher) waitForServer(ctx context.Context, r *Request) (*Reservation, error) {
	if err := d.checkMayWait(r); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	w := &waiter{req: r, ready: make(chan struct{})}
	d.enqueue(w)
	d.mu.Unlock()
	return d.awaitReservation(ctx, w)
}

// checkMayWait returns the reason why a request that no server can take now must not wait, or nil
// if it may. d.mu must be held.
func (d *Dispatcher) checkMayWait(r *Request) error {
	now := d.opts.Clock.Now()
	mayWait := (r.Model != "" || d.isCounted(r.Service)) && now.Before(r.WaitUntil)
	if e := d.estimateWait(r, d.queue.countAhead(r), now); e.blocked {
		mayWait = mayWait || e.paused
		if !mayWait || now.Add(e.wait).After(r.WaitUntil) {
			return e.err()
		}
	}
	switch {
	case d.noneAccepts(r.Service):
		return ErrNoneAccepts
	case d.lacksVersion(r):
		return ErrNoVersion
	case r.Halls != nil && d.holderCount(r) == 0:
		return ErrNoHall
	case !mayWait:
		return ErrNoServer
	case d.shouldShed(r):
		return ErrShed
	}
	return nil
}

// lacksVersion reports whether the request needs a software version that no server of its service that
// accepts requests runs. d.mu must be held.
func (d *Dispatcher) lacksVersion(r *Request) bool {
	return r.Version != nil && !slices.ContainsFunc(d.servers.Service(r.Service), r.allows)
}

// noneAccepts reports whether the service has servers, but none of them accepts requests. d.mu must
// be held.
func (d *Dispatcher) noneAccepts(service string) bool {
	servers := d.servers.Service(service)
	return len(servers) > 0 && !slices.ContainsFunc(servers, (*backend.Server).AcceptsRequests)
}

// enqueue adds a request to the wait queue. d.mu must be held.
func (d *Dispatcher) enqueue(w *waiter) {
	d.queue.add(w)
	d.addWaiting(w.req, 1)
	if d.opts.OnModelMissing != nil && w.req.Model != "" && d.isMissing(w.req) {
		d.opts.OnModelMissing()
	}
}

// awaitReservation blocks until the request has a reservation or is refused, its WaitUntil has
// passed or ctx is done.
func (d *Dispatcher) awaitReservation(ctx context.Context, w *waiter) (*Reservation, error) {
	w.req.beginWait()
	clock.Await(ctx, d.opts.Clock, w.ready, w.req.WaitUntil.Sub(d.opts.Clock.Now()))
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case w.refused != nil && ctx.Err() == nil:
		return nil, w.refused
	case w.refused != nil:
		return nil, ctx.Err()
	case w.isServed():
		return d.finishWait(ctx, w.reservation)
	}
	d.queue.remove(w)
	d.addWaiting(w.req, -1)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, ErrWaitTimeout
}

// finishWait returns the reservation of a request that has waited, or nil if it has none, unless its caller has left. d.mu
// must be held.
func (d *Dispatcher) finishWait(ctx context.Context, res *Reservation) (*Reservation, error) {
	if ctx.Err() == nil {
		return res, nil
	}
	if res != nil {
		res.release()
		d.serveWaiting()
	}
	return nil, ctx.Err()
}

// serveWaiting reserves servers for waiting requests: first for those that need a software version, which
// have fewer servers to go to, then for those whose SendBy has not passed and then for the others, each
// group in order of priority and arrival. d.mu must be held.
func (d *Dispatcher) serveWaiting() {
	if len(d.queue.list) == 0 {
		return
	}
	now := d.opts.Clock.Now()
	full := make(map[queueKey]bool)
	for _, w := range d.queue.list {
		if w.req.Version != nil {
			d.reserveForWaiter(w, full)
		}
	}
	for _, w := range d.queue.list {
		if !w.isServed() && now.Before(w.req.SendBy) {
			d.reserveForWaiter(w, full)
		}
	}
	for _, w := range d.queue.list {
		if !w.isServed() {
			d.reserveForWaiter(w, full)
		}
	}
	d.queue.removeServed()
	d.refuseUnservable(now)
}

// reserveForWaiter reserves a server for a waiting request if one can take it. full records the
// services, models and adapters for which there was none.
func (d *Dispatcher) reserveForWaiter(w *waiter, full map[queueKey]bool) {
	key := w.req.queueKey()
	if full[key] {
		return
	}
	if d.isCounted(w.req.Service) {
		d.wakeCounted(w, full)
		return
	}
	res := d.tryReserve(w.req)
	if res == nil {
		full[key] = !w.req.isRestricted()
		return
	}
	d.addWaiting(w.req, -1)
	w.reservation = res
	close(w.ready)
}

// wakeCounted makes a waiting request of a counted service choose again if there is a server for it. full is that of
// reserveForWaiter. d.mu must be held.
func (d *Dispatcher) wakeCounted(w *waiter, full map[queueKey]bool) {
	now := d.opts.Clock.Now()
	servers, list := d.candidates(w.req, now)
	if d.chooseCounted(w.req, servers, list, now) < 0 {
		full[w.req.queueKey()] = !w.req.isRestricted()
		return
	}
	d.addWaiting(w.req, -1)
	w.chooseAgain = true
	close(w.ready)
}

// scheduleAfterPrefill schedules serveWaiting for when an engine is expected to have prefilled
// enough to admit the request, since no event signals this.
func (d *Dispatcher) scheduleAfterPrefill(servers []*backend.Server, list []Candidate, limits Limits, now time.Time) {
	for i, c := range list {
		if c.Owned && c.PrefillInGap > 0 || c.NeedsAdmission && c.PrefillAhead > 0 {
			d.scheduleServe(now.Add(d.admissionDelay(servers[i], c, limits, now)))
		}
	}
}

// scheduleServe schedules serveWaiting for the given time unless it is already scheduled for an
// earlier one. d.mu must be held.
func (d *Dispatcher) scheduleServe(at time.Time) {
	if !d.nextServe.IsZero() && !at.Before(d.nextServe) {
		return
	}
	d.nextServe = at
	d.opts.Clock.AfterFunc(at.Sub(d.opts.Clock.Now()), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.nextServe.Equal(at) {
			d.nextServe = time.Time{}
		}
		d.serveWaiting()
	})
}
