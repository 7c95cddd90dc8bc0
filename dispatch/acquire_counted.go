package dispatch

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"rockcleat/admission"
	"rockcleat/backend"
	"rockcleat/clock"
)

const (
	// maxQueueTime is for how long a request is queued at one server. After that it goes to the server with the shortest
	// wait then, with the place that it had.
	maxQueueTime = 400 * time.Millisecond
	// maxRefusingOwners is the number of owners that may say that a request cannot be served in time before it is refused.
	maxRefusingOwners = 3
	// unknownWait is the assumed wait at a server that looks full.
	unknownWait Milliseconds = 50.0
)

// A BusyError means that all servers that could take the request are in use, and that none is expected to take it before
// its WaitUntil.
type BusyError struct {
	// RetryAfter is the estimated time until a server can take the request.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *BusyError) Error() string {
	return fmt.Sprintf("dispatch: the servers are in use for %s", e.RetryAfter)
}

// An askedRequest is a request for which an owner has been asked, and which it may have queued.
type askedRequest struct {
	req    *Request
	server *backend.Server
	owner  string
	id     admission.ID
	// reservation is set before ready is closed.
	reservation *Reservation
	ready       chan struct{}
}

// acquireCounted reserves a server of a counted service, or waits for one in its owner's queue. It returns neither a
// reservation nor an error if the request has to choose again.
func (d *Dispatcher) acquireCounted(ctx context.Context, r *Request) (*Reservation, error) {
	d.mu.Lock()
	now := d.opts.Clock.Now()
	servers, list := d.candidates(r, now)
	i := d.chooseCounted(r, servers, list, now)
	if i < 0 && len(r.refusedBy) > 0 {
		d.mu.Unlock()
		return nil, &BusyError{RetryAfter: r.shortestWait}
	}
	if i < 0 {
		return d.waitForServer(ctx, r)
	}
	s, c := servers[i], list[i]
	switch {
	case c.Owned || d.opts.Owners == nil:
		return d.acquireOwned(ctx, r, s)
	case c.NeedsAdmission:
		return d.acquireFromOwner(ctx, r, s)
	}
	res := d.reserve(r, s, c)
	res.candidateCount = len(list)
	d.beginUnadmitted(res, d.owners.ownerOf(s), now)
	d.mu.Unlock()
	return res, nil
}

// chooseCounted returns the candidate with the least expected time to the first byte, the wait for a slot included, or -1
// if there is none. Servers whose owners have refused the request are left out. d.mu must be held.
func (d *Dispatcher) chooseCounted(r *Request, servers []*backend.Server, list []Candidate, now time.Time) int {
	if len(r.refusedBy) >= maxRefusingOwners {
		return -1
	}
	limits := d.limitsFor(r, now)
	best := -1
	bestCost := Milliseconds(0)
	for i, c := range list {
		if slices.Contains(r.refusedBy, servers[i].ID) {
			continue
		}
		cost := c.cost()
		if !c.canTake(limits, true) {
			if !c.Owned && !c.NeedsAdmission {
				// The owner is suspended.
				d.scheduleServe(d.owners.availableFrom(servers[i]))
				continue
			}
			cost += waitCost(d.expectedWait(servers[i], c, now))
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// maxWaitCost is the upper bound of the cost of a wait. It is less than the cost of one failure: a server that fails requests
// has free slots, and a request that waits is better off.
const maxWaitCost Milliseconds = 500.0

// waitCost returns the cost of a wait for a slot. It grows with the wait, up to maxWaitCost.
func waitCost(wait Milliseconds) Milliseconds {
	return maxWaitCost * Milliseconds(1-math.Exp(-float64(wait/maxWaitCost)))
}

// expectedWait returns the expected wait for a slot of a server that looks full. d.mu must be held.
func (d *Dispatcher) expectedWait(s *backend.Server, c Candidate, now time.Time) Milliseconds {
	if q := d.queues[s.ID]; c.Owned && q != nil {
		return InMilliseconds(q.durations.Wait(q.order.Len(), d.usableSlots(s)))
	}
	if until := d.loadOf(s.ID).queueWaitUntil; until.After(now) {
		return InMilliseconds(until.Sub(now))
	}
	return unknownWait
}

// queueUntil returns until when a request is queued at one server. It chooses again when it becomes late, since it is then
// served only with the capacity that other requests leave.
func (r *Request) queueUntil(now time.Time) time.Time {
	until := clock.Earlier(now.Add(maxQueueTime), r.WaitUntil)
	if r.SendBy.After(now) && !r.MayHaveRun {
		until = clock.Earlier(until, r.SendBy)
	}
	return until
}

// acquireOwned reserves a slot of an owned server, or waits in its queue. It unlocks d.mu.
func (d *Dispatcher) acquireOwned(ctx context.Context, r *Request, s *backend.Server) (*Reservation, error) {
	now := d.opts.Clock.Now()
	until := r.queueUntil(now)
	q := d.queueOf(s)
	// A request that must not wait is queued for an instant.
	x := d.newQueuedRequest(r, now, now.Add(max(until.Sub(now), time.Nanosecond)))
	q.push(x)
	d.serveQueue(s.ID)
	if x.reservation != nil {
		d.mu.Unlock()
		return x.reservation, nil
	}
	wait := d.estimateQueueWait(q, s, x, now)
	if now.Add(wait).After(r.WaitUntil) || !now.Before(r.WaitUntil) {
		d.removeAsk(q, x)
		d.refuseQueued(x, wait, now)
		r.refused(s.ID, wait)
		d.mu.Unlock()
		return nil, nil
	}
	x.queuedAt, x.estimated = now, wait
	return d.awaitQueued(ctx, r, x.ready, until, func() *Reservation {
		q.remove(x)
		return x.reservation
	})
}

// acquireFromOwner asks a server's owner to admit a request, and waits for the grant if the owner queues it. It unlocks
// d.mu.
func (d *Dispatcher) acquireFromOwner(ctx context.Context, r *Request, s *backend.Server) (*Reservation, error) {
	now := d.opts.Clock.Now()
	owner := d.owners.ownerOf(s)
	until := r.queueUntil(now)
	x := &askedRequest{req: r, server: s, owner: owner, ready: make(chan struct{})}
	x.id = d.outbox.Ask(owner, s.ID, r.tokens(), r.endsBy(now))
	key := askKey{gateway: owner, id: x.id}
	d.asked[key] = x
	m := d.outbox.Message(owner, now)
	ask := r.countedAdmissionRequest(s.ID, now)
	ask.Account, ask.ID, ask.QueueMs = &m, x.id, int(max(until.Sub(now), 0).Milliseconds())
	l := d.loadOf(s.ID)
	l.asking++
	d.mu.Unlock()

	r.AdmissionsRequested++
	reply, err := d.opts.Owners.Admit(ctx, owner, ask)

	d.mu.Lock()
	l.asking--
	now = d.opts.Clock.Now()
	if err == nil && reply.Ack != nil {
		d.outbox.Acknowledged(owner, m, *reply.Ack)
	}
	if d.outbox.IsPending(owner) {
		d.scheduleNotice(owner, busyNoticeDelay)
	}
	if err == nil && reply.Owned {
		d.owners.recordReply(owner)
		d.remote[s.ID] = remoteLoad{Load: reply.Load.minus(l.Load), reportedAt: now}
		l.queueWaitUntil = now.Add(milliseconds(reply.WaitMs))
	}
	switch {
	case x.reservation != nil:
		// The grant has overtaken the reply.
	case err != nil || !reply.Owned:
		if ctx.Err() == nil {
			d.suspendOwner(owner, now, d.owners.nextSuspension(owner), err)
		}
		d.giveUp(x)
	case reply.Admitted:
		d.admitted(x)
	case reply.Queued:
		return d.awaitQueued(ctx, r, x.ready, until, func() *Reservation {
			if x.reservation == nil {
				d.giveUp(x)
			}
			return x.reservation
		})
	case reply.Ack != nil && reply.Ack.Current != 0:
		// The owner knows the former process of this gateway. It accepts the next message.
		delete(d.asked, key)
		d.outbox.Denied(owner, x.id)
	default:
		delete(d.asked, key)
		d.outbox.Denied(owner, x.id)
		r.AdmissionsDenied++
		r.refused(s.ID, milliseconds(reply.WaitMs))
	}
	defer d.mu.Unlock()
	return d.finishWait(ctx, x.reservation)
}

// admitted reserves the server for a request that its owner has admitted. If the server's record has come to name another
// service since, the request chooses again. d.mu must be held.
func (d *Dispatcher) admitted(x *askedRequest) {
	if s, ok := d.servers.Server(x.server.ID); ok && s.Service != x.req.Service {
		d.giveUp(x)
		close(x.ready)
		return
	}
	delete(d.asked, askKey{gateway: x.owner, id: x.id})
	if !d.outbox.Admitted(x.owner, x.id) {
		return
	}
	x.req.AdmissionsGranted++
	now := d.opts.Clock.Now()
	c := d.candidate(x.req, x.server, d.opts.CacheTokens(x.server.Service), now)
	res := d.reserve(x.req, x.server, c)
	res.owner, res.account = "", account{owner: x.owner, id: x.id}
	if x.req.Model != "" {
		res.load.prefixes.touch(x.req.targetKey(), x.req.Prefix)
	}
	// The server may have got another owner since.
	d.moveAccount(res, now)
	x.reservation = res
	close(x.ready)
}

// giveUp ends a request for admission that the owner may have granted or queued. d.mu must be held.
func (d *Dispatcher) giveUp(x *askedRequest) {
	delete(d.asked, askKey{gateway: x.owner, id: x.id})
	d.outbox.End(x.owner, x.id)
	d.scheduleNotice(x.owner, busyNoticeDelay)
}

// awaitQueued waits for a queued request. It unlocks d.mu. leave, which is called with d.mu held, takes the request out of the
// queue and returns its reservation, if it has one.
func (d *Dispatcher) awaitQueued(ctx context.Context, r *Request, ready <-chan struct{}, until time.Time, leave func() *Reservation) (*Reservation, error) {
	d.addWaiting(r, 1)
	wait := until.Sub(d.opts.Clock.Now())
	d.mu.Unlock()
	r.beginWait()
	clock.Await(ctx, d.opts.Clock, ready, wait)
	d.mu.Lock()
	d.addWaiting(r, -1)
	r.refusedBy = nil
	res := leave()
	if res == nil && ctx.Err() == nil && !d.opts.Clock.Now().Before(r.WaitUntil) {
		d.mu.Unlock()
		return nil, ErrWaitTimeout
	}
	defer d.mu.Unlock()
	return d.finishWait(ctx, res)
}

// refused records that a server's owner does not expect to admit the request in time.
func (r *Request) refused(server string, wait time.Duration) {
	if len(r.refusedBy) == 0 || wait < r.shortestWait {
		r.shortestWait = wait
	}
	r.refusedBy = append(r.refusedBy, server)
}

// noticeDelay returns the delay of the notice that a request has ended at a server, which took the given time. d.mu must be
// held.
func (d *Dispatcher) noticeDelay(l *serverLoad, s *backend.Server, took time.Duration) time.Duration {
	longest := idleNoticeDelay
	if 2*(l.Running+d.remote[s.ID].Running) >= s.Slots {
		longest = busyNoticeDelay
	}
	return min(longest, time.Duration(float64(took)*noticeDelayShare))
}
