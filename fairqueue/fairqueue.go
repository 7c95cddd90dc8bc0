package fairqueue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// A Reason is the cause of a refusal.
type Reason string

const (
	// ReasonQueueTime means that the wait would exceed, or has exceeded, the row's queue time.
	ReasonQueueTime Reason = "queue_time"
	// ReasonQueueFull means that the server has the maximum number of waiting requests.
	ReasonQueueFull Reason = "queue_full"
	// ReasonLeaving means that the server is draining and accepts no new requests.
	ReasonLeaving Reason = "leaving"
	// ReasonNotResident means that the server no longer holds the model or adapter.
	ReasonNotResident Reason = "not_resident"
)

const (
	// defaultMaxWaiting is the default of Options.MaxWaiting.
	defaultMaxWaiting = 1024
	// defaultDuration is the initial estimate of a request's duration.
	defaultDuration = 500 * time.Millisecond
	// durationSmoothing is the weight of the latest request in the moving average of durations, 0
	// to 1.
	durationSmoothing = 0.2
	// minRetryAfter is the lower bound of Refusal.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
)

// A Grant permits a request to run.
type Grant struct {
	// Slot is the slot that Slots.Take returned.
	Slot int
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// A Refusal rejects a request that has not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long the client should wait before it retries.
	RetryAfter time.Duration
}

// A Limit holds the limits of one row.
type Limit struct {
	// Weight is the row's share relative to other rows, multiplied by the factor of its tier.
	Weight int
	// Running is the maximum number of concurrent requests; 0 means no limit.
	Running int
	// QueueTime is the maximum wait. If it is 0, a request that cannot run immediately is refused.
	QueueTime time.Duration
}

// A Ticket is one request in a Queue.
type Ticket struct {
	// Row is the name of the table row that the request belongs to.
	Row string
	// Tokens is the estimated cost of the request in tokens.
	Tokens int
	// Limit is the limit of the row at the time of the request's arrival.
	Limit Limit
	// The queue calls either Granted or Refused, at most once, from within one of its own methods.
	Granted func(Grant)
	Refused func(Refusal)

	arrived time.Time
	started time.Time
	slot    int
	state   ticketState
}

type ticketState int

const (
	ticketNew ticketState = iota
	ticketWaiting
	ticketRunning
	ticketDone
)

// Slots provides a server's slots, each of which runs one request at a time.
type Slots interface {
	// Take reserves a free slot for the row's model; ok is false if there is none.
	Take(row string) (slot int, ok bool)
	// Release frees a slot that Take returned.
	Release(slot int)
	// Total returns the number of slots, free or not, that can serve the row's model.
	Total(row string) int
}

// A rowState holds the requests and the counter of one row.
type rowState struct {
	waiting []*Ticket
	running int
	// counter is the virtual token counter: tokens served divided by weight.
	counter float64
	weight  int
}

func (r *rowState) isIdle() bool { return len(r.waiting) == 0 && r.running == 0 }

// A Queue holds the waiting and running requests of one backend server. It is not safe for
// concurrent use.
type Queue struct {
	slots        Slots
	maxWaiting   int
	rows         map[string]*rowState
	waiting      int
	running      int
	meanDuration time.Duration
}

// Options configures a Queue.
type Options struct {
	// MaxWaiting is the maximum number of waiting requests of all rows together. The default is
	// 1024.
	MaxWaiting int
}

// New returns an empty Queue that runs requests in s.
func New(s Slots, o Options) *Queue {
	q := &Queue{slots: s, maxWaiting: o.MaxWaiting}
	q.rows = make(map[string]*rowState)
	q.meanDuration = defaultDuration
	if q.maxWaiting <= 0 {
		q.maxWaiting = defaultMaxWaiting
	}
	return q
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Load returns the number of running and waiting requests of a row.
func (q *Queue) Load(row string) (running, waiting int) {
	r, ok := q.rows[row]
	if !ok {
		return 0, 0
	}
	return r.running, len(r.waiting)
}

// Push adds a request. On return the request is granted, refused or waiting.
func (q *Queue) Push(t *Ticket, now time.Time) {
	t.arrived = now
	if q.waiting >= q.maxWaiting {
		q.refuse(t, ReasonQueueFull, q.meanDuration)
		return
	}
	r := q.activateRow(t)
	if wait := q.estimateWait(r, t); wait > t.Limit.QueueTime {
		q.refuse(t, ReasonQueueTime, wait-t.Limit.QueueTime)
		return
	}
	t.state = ticketWaiting
	r.waiting = append(r.waiting, t)
	q.waiting++
	q.Step(now)
	if t.state == ticketWaiting && t.Limit.QueueTime == 0 {
		q.dequeue(r, t)
		q.refuse(t, ReasonQueueTime, q.meanDuration)
	}
}

// activateRow returns the state of the ticket's row with its weight updated. If the row was idle,
// its counter is raised to the lowest counter of a non-idle row, so that idle time earns no credit.
func (q *Queue) activateRow(t *Ticket) *rowState {
	r, ok := q.rows[t.Row]
	if !ok {
		r = &rowState{}
		q.rows[t.Row] = r
	}
	if r.isIdle() {
		r.counter = max(r.counter, q.lowestCounter())
	}
	r.weight = max(t.Limit.Weight, 1)
	return r
}

// lowestCounter returns the lowest counter of a non-idle row, or 0 if all rows are idle.
func (q *Queue) lowestCounter() float64 {
	low := math.Inf(1)
	for _, r := range q.rows {
		if !r.isIdle() {
			low = min(low, r.counter)
		}
	}
	if math.IsInf(low, 1) {
		return 0
	}
	return low
}

// estimateWait returns the expected wait of a ticket, computed from the requests that would run
// before it and the average duration of recent requests.
func (q *Queue) estimateWait(r *rowState, t *Ticket) time.Duration {
	total := q.slots.Total(t.Row)
	if total == 0 {
		return 0
	}
	ahead := float64(len(r.waiting))
	for _, o := range q.rows {
		if o == r {
			continue
		}
		share := float64(len(r.waiting)+1) * float64(max(o.weight, 1)) / float64(r.weight)
		ahead += min(float64(len(o.waiting)), share)
	}
	if ahead == 0 {
		return 0
	}
	parallelism := total
	if limit := t.Limit.Running; limit > 0 {
		parallelism = min(parallelism, limit)
	}
	return time.Duration(ahead / float64(parallelism) * float64(q.meanDuration))
}

// Step refuses the requests that have exceeded their queue time and starts those that can run.
func (q *Queue) Step(now time.Time) {
	q.expire(now)
	for q.grantOne(now) {
	}
}

// expire refuses the requests that have exceeded their queue time. It checks every request, since a
// change of the row's limit can give a later request a shorter queue time.
func (q *Queue) expire(now time.Time) {
	for _, r := range q.rows {
		for _, t := range slices.Clone(r.waiting) {
			if now.Sub(t.arrived) > t.Limit.QueueTime {
				q.dequeue(r, t)
				q.refuse(t, ReasonQueueTime, q.meanDuration)
			}
		}
	}
}

// grantOne starts the next request for which a slot is free and its row's concurrency limit is not
// reached. It reports whether it started one.
func (q *Queue) grantOne(now time.Time) bool {
	for _, r := range q.rowsInOrder() {
		t := r.waiting[0]
		if limit := t.Limit.Running; limit > 0 && r.running >= limit {
			continue
		}
		slot, ok := q.slots.Take(t.Row)
		if !ok {
			continue
		}
		q.dequeue(r, t)
		q.start(r, t, slot, now)
		return true
	}
	return false
}

// rowsInOrder returns the rows with waiting requests, the lowest counter first.
func (q *Queue) rowsInOrder() []*rowState {
	var rows []*rowState
	for r := range maps.Values(q.rows) {
		if len(r.waiting) > 0 {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *rowState) int { return cmp.Compare(a.counter, b.counter) })
	return rows
}

func (q *Queue) start(r *rowState, t *Ticket, slot int, now time.Time) {
	t.state, t.slot, t.started = ticketRunning, slot, now
	r.running++
	q.running++
	r.counter += float64(t.Tokens) / float64(r.weight)
	t.Granted(Grant{Slot: slot, Waited: now.Sub(t.arrived)})
}

// Done ends a running request, which used the given number of tokens, or withdraws a waiting one.
// Calls after the first have no effect.
func (q *Queue) Done(t *Ticket, tokens int, now time.Time) {
	r := q.rows[t.Row]
	switch t.state {
	case ticketWaiting:
		q.dequeue(r, t)
		t.state = ticketDone
	case ticketRunning:
		t.state = ticketDone
		r.running--
		q.running--
		r.counter += float64(tokens-t.Tokens) / float64(r.weight)
		q.observeDuration(now.Sub(t.started))
		q.slots.Release(t.slot)
		q.Step(now)
	}
	if r != nil && r.isIdle() && r.counter <= q.lowestCounter() {
		delete(q.rows, t.Row)
	}
}

// observeDuration adds the duration of a finished request to the moving average.
func (q *Queue) observeDuration(d time.Duration) {
	q.meanDuration += time.Duration(durationSmoothing * float64(d-q.meanDuration))
}

// RefuseAll refuses all waiting requests with the given reason.
func (q *Queue) RefuseAll(reason Reason) {
	for _, r := range q.rows {
		q.refuseWaiting(r, reason)
	}
}

// RefuseRow refuses all waiting requests of a row with the given reason.
func (q *Queue) RefuseRow(row string, reason Reason) {
	if r, ok := q.rows[row]; ok {
		q.refuseWaiting(r, reason)
	}
}

func (q *Queue) refuseWaiting(r *rowState, reason Reason) {
	for len(r.waiting) > 0 {
		t := r.waiting[0]
		q.dequeue(r, t)
		q.refuse(t, reason, 0)
	}
}

// Rows returns the names of the rows with waiting requests.
func (q *Queue) Rows() []string {
	var names []string
	for name, r := range q.rows {
		if len(r.waiting) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// dequeue removes a request from its row's queue, if it is there.
func (q *Queue) dequeue(r *rowState, t *Ticket) {
	i := slices.Index(r.waiting, t)
	if i < 0 {
		return
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	q.waiting--
}

// refuse refuses a request that is not in its row's queue.
func (q *Queue) refuse(t *Ticket, reason Reason, retryAfter time.Duration) {
	t.state = ticketDone
	t.Refused(Refusal{Reason: reason, RetryAfter: max(retryAfter, minRetryAfter)})
}
