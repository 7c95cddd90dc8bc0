package fairqueue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// A Reason says why a request was refused.
type Reason string

// The reasons of a Refusal.
const (
	// ReasonQueueTime: the wait would exceed, or has exceeded, the row's queue time.
	ReasonQueueTime Reason = "queue_time"
	// ReasonQueueFull: the server holds as many waiting requests as it may.
	ReasonQueueFull Reason = "queue_full"
	// ReasonLeaving: the server takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonNotResident: the server no longer has what the request names.
	ReasonNotResident Reason = "not_resident"
)

// Constants of a Queue.
const (
	// defaultMaxWaiting bounds the waiting requests of all rows.
	defaultMaxWaiting = 1024
	// defaultDuration is assumed of a request before one has ended.
	defaultDuration = 500 * time.Millisecond
	// durationGain is how much one request moves the mean duration, 0 to 1.
	durationGain = 0.2
	// minRetryAfter is the shortest time to come back that a refusal gives.
	minRetryAfter = 100 * time.Millisecond
)

// A Grant is the permission to run.
type Grant struct {
	// Slot is what Slots.Take returned for the ticket.
	Slot int
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// A Refusal is the final answer to a request that has not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// A Limit bounds the use of a row.
type Limit struct {
	// Weight is the row's weight with its tier's factor.
	Weight int
	// Running is the greatest number of requests running at once; 0 is no limit.
	Running int
	// QueueTime is the longest wait; 0 refuses whatever cannot run at once.
	QueueTime time.Duration
}

// A Ticket is one waiting or running request.
type Ticket struct {
	// Row is the table row that the request falls under.
	Row string
	// Tokens is the request's expected cost in tokens.
	Tokens int
	// Limit is the row's limit when the request came.
	Limit Limit
	// Granted and Refused are called once, one of the two, from within the queue's calls.
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

// Slots gives out a server's slots, in which requests run.
type Slots interface {
	// Take returns a free slot for the row's model and holds it, or false.
	Take(row string) (slot int, ok bool)
	// Release gives a slot back.
	Release(slot int)
	// Total returns the number of slots that serve the row's model.
	Total(row string) int
}

// A rowState is the queue's account of one row.
type rowState struct {
	waiting []*Ticket
	running int
	// served is the virtual token counter: tokens divided by weight.
	served float64
	weight int
}

func (r *rowState) idle() bool { return len(r.waiting) == 0 && r.running == 0 }

// A Queue holds the requests of one backend server; it is not safe for
// concurrent use.
type Queue struct {
	slots      Slots
	maxWaiting int
	rows       map[string]*rowState
	waiting    int
	running    int
	duration   time.Duration
}

// Options configure a Queue.
type Options struct {
	// MaxWaiting bounds the waiting requests of all rows; zero means 1024.
	MaxWaiting int
}

// New returns an empty Queue over the slots.
func New(s Slots, o Options) *Queue {
	q := &Queue{slots: s, maxWaiting: o.MaxWaiting}
	q.rows = make(map[string]*rowState)
	q.duration = defaultDuration
	if q.maxWaiting <= 0 {
		q.maxWaiting = defaultMaxWaiting
	}
	return q
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Load returns the requests of one row that run or wait.
func (q *Queue) Load(row string) (running, waiting int) {
	r, ok := q.rows[row]
	if !ok {
		return 0, 0
	}
	return r.running, len(r.waiting)
}

// Push adds a request: it is granted, refused or left waiting.
func (q *Queue) Push(t *Ticket, now time.Time) {
	t.arrived = now
	if q.waiting >= q.maxWaiting {
		q.refuse(t, ReasonQueueFull, q.duration)
		return
	}
	r := q.row(t)
	if wait := q.estimate(r, t); wait > t.Limit.QueueTime {
		q.refuse(t, ReasonQueueTime, wait-t.Limit.QueueTime)
		return
	}
	t.state = ticketWaiting
	r.waiting = append(r.waiting, t)
	q.waiting++
	q.Step(now)
	if t.state == ticketWaiting && t.Limit.QueueTime == 0 {
		q.drop(r, t)
		q.refuse(t, ReasonQueueTime, q.duration)
	}
}

// row returns the ticket's row; a row that was idle is lifted to the lowest
// counter in use, so that idling earns no credit.
func (q *Queue) row(t *Ticket) *rowState {
	r, ok := q.rows[t.Row]
	if !ok {
		r = &rowState{}
		q.rows[t.Row] = r
	}
	if r.idle() {
		r.served = max(r.served, q.lowest())
	}
	r.weight = max(t.Limit.Weight, 1)
	return r
}

// lowest returns the lowest counter of a row in use, or 0.
func (q *Queue) lowest() float64 {
	low := math.Inf(1)
	for _, r := range q.rows {
		if !r.idle() {
			low = min(low, r.served)
		}
	}
	if math.IsInf(low, 1) {
		return 0
	}
	return low
}

// estimate returns how long the ticket would wait, from the requests that
// would run before it and the time that a request has lately taken.
func (q *Queue) estimate(r *rowState, t *Ticket) time.Duration {
	total := q.slots.Total(t.Row)
	if total == 0 {
		return 0
	}
	ahead := float64(len(r.waiting))
	for _, o := range q.rows {
		if o == r {
			continue
		}
		part := float64(len(r.waiting)+1) * float64(max(o.weight, 1)) / float64(r.weight)
		ahead += min(float64(len(o.waiting)), part)
	}
	if ahead == 0 {
		return 0
	}
	lanes := total
	if limit := t.Limit.Running; limit > 0 {
		lanes = min(lanes, limit)
	}
	return time.Duration(ahead / float64(lanes) * float64(q.duration))
}

// Step refuses the requests that have waited too long and grants what can run.
func (q *Queue) Step(now time.Time) {
	q.expire(now)
	for q.grantOne(now) {
	}
}

// expire refuses requests that have waited for too long. An edit of the row may have given a later
// request a shorter time than those before it.
func (q *Queue) expire(now time.Time) {
	for _, r := range q.rows {
		for _, t := range slices.Clone(r.waiting) {
			if now.Sub(t.arrived) > t.Limit.QueueTime {
				q.drop(r, t)
				q.refuse(t, ReasonQueueTime, q.duration)
			}
		}
	}
}

// grantOne starts the first request, in the order of the counters, that has a
// slot and keeps its row's limits.
func (q *Queue) grantOne(now time.Time) bool {
	for _, r := range q.order() {
		t := r.waiting[0]
		if limit := t.Limit.Running; limit > 0 && r.running >= limit {
			continue
		}
		slot, ok := q.slots.Take(t.Row)
		if !ok {
			continue
		}
		q.drop(r, t)
		q.start(r, t, slot, now)
		return true
	}
	return false
}

// order returns the rows with waiting requests, the one to serve first first.
func (q *Queue) order() []*rowState {
	var rows []*rowState
	for r := range maps.Values(q.rows) {
		if len(r.waiting) > 0 {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *rowState) int { return cmp.Compare(a.served, b.served) })
	return rows
}

// start grants a request.
func (q *Queue) start(r *rowState, t *Ticket, slot int, now time.Time) {
	t.state, t.slot, t.started = ticketRunning, slot, now
	r.running++
	q.running++
	r.served += float64(t.Tokens) / float64(r.weight)
	t.Granted(Grant{Slot: slot, Waited: now.Sub(t.arrived)})
}

// Done ends a running request that used the given tokens, or takes back one
// that still waits; it may be called twice.
func (q *Queue) Done(t *Ticket, tokens int, now time.Time) {
	r := q.rows[t.Row]
	switch t.state {
	case ticketWaiting:
		q.drop(r, t)
		t.state = ticketDone
	case ticketRunning:
		t.state = ticketDone
		r.running--
		q.running--
		r.served += float64(tokens-t.Tokens) / float64(r.weight)
		q.observe(now.Sub(t.started))
		q.slots.Release(t.slot)
		q.Step(now)
	}
	if r != nil && r.idle() && r.served <= q.lowest() {
		delete(q.rows, t.Row)
	}
}

// observe counts the duration of a request that has ended.
func (q *Queue) observe(d time.Duration) {
	q.duration += time.Duration(durationGain * float64(d-q.duration))
}

// RefuseAll refuses every waiting request for the reason, so that its caller
// can go elsewhere.
func (q *Queue) RefuseAll(reason Reason) {
	for _, r := range q.rows {
		q.refuseWaiting(r, reason)
	}
}

// RefuseRow refuses every waiting request of one row for the reason.
func (q *Queue) RefuseRow(row string, reason Reason) {
	if r, ok := q.rows[row]; ok {
		q.refuseWaiting(r, reason)
	}
}

// refuseWaiting refuses every waiting request of a row.
func (q *Queue) refuseWaiting(r *rowState, reason Reason) {
	for len(r.waiting) > 0 {
		t := r.waiting[0]
		q.drop(r, t)
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

// drop takes a request out of those that wait.
func (q *Queue) drop(r *rowState, t *Ticket) {
	i := slices.Index(r.waiting, t)
	if i < 0 {
		return
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	q.waiting--
}

// refuse refuses a request that is not among those that wait.
func (q *Queue) refuse(t *Ticket, reason Reason, after time.Duration) {
	t.state = ticketDone
	t.Refused(Refusal{Reason: reason, RetryAfter: max(after, minRetryAfter)})
}
