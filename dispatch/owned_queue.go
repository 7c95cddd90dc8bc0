package dispatch

import (
	"time"

	"rockcleat/admission"
	"rockcleat/admitqueue"
	"rockcleat/backend"
)

// A serverQueue holds the requests of all gateways that wait for a server that this gateway owns.
type serverQueue struct {
	// service is the service of the requests. The server's record may come to name another one.
	service string
	// shares divides the capacity of all servers of the service among organisations.
	shares *admitqueue.Shares
	order  *admitqueue.Queue
	// requests holds the waiting requests.
	requests map[*admitqueue.Waiter]*queuedRequest
	// durations estimates waits from the time that requests take at the server.
	durations admitqueue.Estimator
	// lateServed is the rate at which late requests are served.
	lateServed admitqueue.Rate
	// nextServe is when serveQueue is scheduled; zero if it is not.
	nextServe time.Time
}

// A queuedRequest is a request that waits for an owned server.
type queuedRequest struct {
	admitqueue.Waiter
	req *Request
	key uint64
	// ask is set for a request of another gateway.
	ask *queuedAsk
	// reservation is set before ready is closed, for a request of this gateway that has been served.
	reservation *Reservation
	ready       chan struct{}
	served      bool
	// queuedAt is when the request began to wait here, estimated the wait that was expected then.
	queuedAt  time.Time
	estimated time.Duration
}

// A queuedAsk identifies a request of another gateway.
type queuedAsk struct {
	sender string
	epoch  int64
	entry  admission.Entry
	// replying is set until the first reply has been given, which tells the sender of an admission.
	replying bool
}

// An askKey identifies a request for admission: for the sender by the owner, for the owner by the sender.
type askKey struct {
	gateway string
	id      admission.ID
}

// queueOf returns the queue of an owned server for requests of its service. d.mu must be held.
func (d *Dispatcher) queueOf(s *backend.Server) *serverQueue {
	q := d.queues[s.ID]
	if q != nil && q.service != s.Service {
		d.dropQueue(q)
		q = nil
	}
	if q == nil {
		shares := d.shares[s.Service]
		if shares == nil {
			shares = admitqueue.NewShares()
			d.shares[s.Service] = shares
		}
		q = &serverQueue{
			service: s.Service, shares: shares, order: admitqueue.NewQueue(shares), requests: make(map[*admitqueue.Waiter]*queuedRequest),
		}
		d.queues[s.ID] = q
	}
	return q
}

// newQueuedRequest returns the queue's form of a request. d.mu must be held.
func (d *Dispatcher) newQueuedRequest(r *Request, now, until time.Time) *queuedRequest {
	arrived := r.Arrived
	if arrived.IsZero() {
		arrived = now
	}
	order := arrived
	if r.ContentKey != 0 {
		order, _ = d.returns.Arrival(r.ContentKey, arrived, now)
	}
	x := &queuedRequest{req: r, key: r.ContentKey, ready: make(chan struct{})}
	x.Waiter = admitqueue.Waiter{
		Organisation: r.Organisation, Weight: max(r.Weight, 1), Priority: r.Priority, Arrived: order, Until: until, Cost: r.cost(),
	}
	if !r.SendBy.IsZero() {
		x.Slack = r.SendBy.Sub(arrived)
		if !r.MayHaveRun {
			x.SendBy = r.SendBy
		}
	}
	return x
}

// cost returns the service that a request gets: its work in tokens, or 1 for a plain service.
func (r *Request) cost() float64 {
	if r.Model == "" {
		return 1
	}
	return float64(r.PromptTokens + outputTokenWeight*r.MaxOutputTokens)
}

func (q *serverQueue) push(x *queuedRequest) {
	q.order.Push(&x.Waiter)
	q.requests[&x.Waiter] = x
}

func (q *serverQueue) remove(x *queuedRequest) {
	q.order.Remove(&x.Waiter)
	delete(q.requests, &x.Waiter)
}

// first returns the request to serve next, or nil.
func (q *serverQueue) first(now time.Time) *queuedRequest {
	for _, w := range q.order.Expired(now) {
		delete(q.requests, w)
	}
	if w := q.order.First(now); w != nil {
		return q.requests[w]
	}
	return nil
}

// estimateQueueWait returns the estimated time until a request is served at an owned server. d.mu must be held.
func (d *Dispatcher) estimateQueueWait(q *serverQueue, s *backend.Server, x *queuedRequest, now time.Time) time.Duration {
	wait := q.durations.Wait(q.order.Ahead(&x.Waiter, now), d.usableSlots(s))
	if x.req.isLate(now) {
		wait = max(wait, q.estimateLateWait(now))
	}
	return wait
}

// estimateLateWait returns the estimated wait of a request that is already late. It gets the capacity that requests in time
// leave, which shows only in the rate at which late ones are served: at least one in the time for which they have waited.
func (q *serverQueue) estimateLateWait(now time.Time) time.Duration {
	n, since := q.order.Late(now)
	if n == 0 {
		return 0
	}
	if last := q.lateServed.Last(); last.After(since) {
		since = last
	}
	perSecond := max(q.lateServed.PerSecond(now), 1/max(now.Sub(since).Seconds(), minLateWait.Seconds()))
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// minLateWait is the least time for which late requests must have waited to tell something about their rate.
const minLateWait = 10 * time.Millisecond

// serveQueue admits requests that wait for an owned server, in their order, while it has capacity. d.mu must be held.
func (d *Dispatcher) serveQueue(id string) {
	q := d.queues[id]
	if q == nil || q.order.Len() == 0 {
		return
	}
	s, ok := d.servers.Server(id)
	if !ok || !d.owners.owns(s) || !s.AcceptsRequests() || s.Service != q.service {
		d.dropQueue(q)
		return
	}
	now := d.opts.Clock.Now()
	for x := q.first(now); x != nil; x = q.first(now) {
		if x.ask != nil && d.ledger.HasEnded(x.ask.sender, x.ask.epoch, x.ask.entry.ID) {
			d.removeAsk(q, x)
			continue
		}
		c := d.candidate(x.req, s, d.opts.CacheTokens(s.Service), now)
		limits := d.limitsFor(x.req, now)
		if !c.canTake(limits, true) {
			if c.hasCapacity(limits) && c.CacheTokens > 0 {
				d.scheduleQueue(q, id, d.admissionDelay(s, c, limits, now))
			}
			return
		}
		d.serveQueued(q, s, x, c, now)
	}
}

// serveQueued admits a queued request. d.mu must be held.
func (d *Dispatcher) serveQueued(q *serverQueue, s *backend.Server, x *queuedRequest, c Candidate, now time.Time) {
	d.removeAsk(q, x)
	q.shares.Serve(x.Organisation, x.Cost, x.Weight)
	d.returns.Served(x.key)
	x.served = true
	if d.opts.OnQueued != nil && !x.queuedAt.IsZero() {
		d.opts.OnQueued(s.Service, x.estimated, now.Sub(x.queuedAt))
	}
	if x.req.isLate(now) {
		q.lateServed.Observe(now)
	}
	if x.ask == nil {
		x.reservation = d.reserve(x.req, s, c)
		close(x.ready)
		return
	}
	if !d.ledger.Add(x.ask.sender, x.ask.epoch, x.ask.entry, now) {
		return
	}
	if x.req.Model != "" {
		d.loadOf(s.ID).recordPrefill(x.req, c, now)
	}
	if !x.ask.replying {
		d.queueGrant(x.ask.sender, x.ask.epoch, x.ask.entry.ID)
	}
}

// removeAsk removes a request from a queue. d.mu must be held.
func (d *Dispatcher) removeAsk(q *serverQueue, x *queuedRequest) {
	q.remove(x)
	if x.ask != nil {
		delete(d.queuedAsks, askKey{gateway: x.ask.sender, id: x.ask.entry.ID})
	}
}

// removeQueuedAsk removes the request of another gateway that has given it up. d.mu must be held.
func (d *Dispatcher) removeQueuedAsk(key askKey, epoch int64) {
	x := d.queuedAsks[key]
	if x == nil || x.ask.epoch != epoch {
		return
	}
	if q := d.queues[x.ask.entry.Server]; q != nil {
		d.removeAsk(q, x)
	}
}

// dropQueue empties a queue whose server cannot be served from here any more. Requests of this gateway choose again;
// those of other gateways do when their time in the queue is over. d.mu must be held.
func (d *Dispatcher) dropQueue(q *serverQueue) {
	for _, x := range q.requests {
		d.removeAsk(q, x)
		if x.ask == nil {
			close(x.ready)
		}
	}
}

// serveQueues serves all queues and drops those of servers that are gone. d.mu must be held.
func (d *Dispatcher) serveQueues() {
	d.freed = nil
	for id, q := range d.queues {
		d.serveQueue(id)
		if !d.servers.Has(id) && q.order.Len() == 0 {
			delete(d.queues, id)
		}
	}
}

// scheduleQueue schedules serveQueue, unless it is scheduled earlier. d.mu must be held.
func (d *Dispatcher) scheduleQueue(q *serverQueue, id string, delay time.Duration) {
	at := d.opts.Clock.Now().Add(delay)
	if !q.nextServe.IsZero() && !at.Before(q.nextServe) {
		return
	}
	q.nextServe = at
	d.opts.Clock.AfterFunc(delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if q.nextServe.Equal(at) {
			q.nextServe = time.Time{}
		}
		d.serveQueue(id)
	})
}

// admitCounted decides, as the owner of a counted server, whether another gateway may send a request to it now, or queues
// the request. d.mu must be held.
func (d *Dispatcher) admitCounted(r AdmissionRequest, s *backend.Server) AdmissionReply {
	ack := d.applyMessage(*r.Account)
	now := d.opts.Clock.Now()
	reply := AdmissionReply{Owned: true, Ack: &ack}
	req := r.request(s, now)
	if d.ledger.IsOpen(r.Account.Sender, r.Account.Epoch, r.ID) {
		// A copy of a request for admission that was granted.
		reply.Admitted = true
		return reply
	}
	if d.ledger.HasEnded(r.Account.Sender, r.Account.Epoch, r.ID) || !s.AcceptsRequests() {
		reply.Load = d.candidate(req, s, d.opts.CacheTokens(s.Service), now).load()
		return reply
	}
	x := d.newQueuedRequest(req, now, now.Add(milliseconds(r.QueueMs)))
	x.ask = &queuedAsk{
		sender: r.Account.Sender, epoch: r.Account.Epoch, replying: true,
		entry: admission.Entry{ID: r.ID, Server: s.ID, Tokens: req.tokens(), TTLMs: r.TTLMs},
	}
	q := d.queueOf(s)
	key := askKey{gateway: x.ask.sender, id: r.ID}
	if old := d.queuedAsks[key]; old != nil {
		d.removeAsk(q, old)
	}
	q.push(x)
	d.queuedAsks[key] = x
	d.serveQueue(s.ID)
	x.ask.replying = false
	reply.Load = d.candidate(req, s, d.opts.CacheTokens(s.Service), now).load()
	if x.served {
		reply.Admitted = true
		return reply
	}
	wait := d.estimateQueueWait(q, s, x, now)
	reply.WaitMs = int(wait.Milliseconds())
	if r.QueueMs <= 0 || now.Add(wait).After(req.WaitUntil) {
		d.removeAsk(q, x)
		d.ledger.End(r.Account.Sender, r.Account.Epoch, r.ID)
		d.refuseQueued(x, wait, now)
		return reply
	}
	x.queuedAt, x.estimated = now, wait
	reply.Queued = true
	return reply
}

// refuseQueued records when the caller of a refused request will come back. d.mu must be held.
func (d *Dispatcher) refuseQueued(x *queuedRequest, wait time.Duration, now time.Time) {
	if x.key != 0 {
		d.returns.Refused(x.key, x.Arrived, now.Add(returnDelay(wait, x.req.Deadline.Sub(now))), now)
	}
}

// callerPatience is the part of its remaining time for which a caller heeds a Retry-After.
const callerPatience = 1.0 / 3

// returnDelay returns the delay after which the caller of a request that would have waited for the given time should come
// back: when there is capacity, but not later than it is willing to.
func returnDelay(wait, remaining time.Duration) time.Duration {
	return max(min(wait, time.Duration(float64(remaining)*callerPatience)), 0)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
