package admitqueue

import (
	"cmp"
	"slices"
	"time"
)

// A Waiter is a request that waits for capacity.
type Waiter struct {
	// Organisation pays for the request; empty if none does. Weight is its part of scarce capacity relative to
	// other organisations.
	Organisation string
	Weight       float64
	// Priority is the rank of the request, 0 is the most urgent.
	Priority int
	// SendBy is the latest time at which the request can be sent to be in time; zero if it always is.
	SendBy time.Time
	// Arrived is the time of arrival by which the request is ordered. Slack is how long after it the request
	// has to be sent to be in time.
	Arrived time.Time
	Slack   time.Duration
	// Cost is the service that the request gets, in the unit of the weights' rates.
	Cost float64
	// Until is when the request stops waiting here.
	Until time.Time

	sequence uint64
}

// isLate reports whether the request can no longer be in time.
func (w *Waiter) isLate(now time.Time) bool { return !w.SendBy.IsZero() && !now.Before(w.SendBy) }

// due is the time by which the request should be sent.
func (w *Waiter) due() time.Time { return w.Arrived.Add(w.Slack) }

// A Queue holds the requests that wait for one server.
type Queue struct {
	shares       *Shares
	list         []*Waiter
	lastSequence uint64
}

// NewQueue returns an empty queue. Queues of servers that divide their capacity among the same organisations have the
// same shares.
func NewQueue(s *Shares) *Queue { return &Queue{shares: s} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.list) }

// Push adds a request.
func (q *Queue) Push(w *Waiter) {
	q.lastSequence++
	w.sequence = q.lastSequence
	q.list = append(q.list, w)
	q.shares.join(w.Organisation)
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	i := slices.Index(q.list, w)
	if i < 0 {
		return false
	}
	q.list = slices.Delete(q.list, i, i+1)
	q.shares.leave(w.Organisation)
	return true
}

// First returns the request to serve next, or nil if none waits.
func (q *Queue) First(now time.Time) *Waiter {
	o := q.order(now)
	var first *Waiter
	for _, w := range q.list {
		if first == nil || o.compare(w, first) < 0 {
			first = w
		}
	}
	return first
}

// Expired removes and returns the requests that have stopped waiting.
func (q *Queue) Expired(now time.Time) []*Waiter {
	var expired []*Waiter
	for _, w := range q.list {
		if !now.Before(w.Until) {
			expired = append(expired, w)
		}
	}
	for _, w := range expired {
		q.Remove(w)
	}
	return expired
}

// Ahead returns the number of requests that would be served before w, which does not need to be in the queue.
func (q *Queue) Ahead(w *Waiter, now time.Time) int {
	o := q.order(now)
	n := 0
	for _, x := range q.list {
		if x != w && o.compare(x, w) < 0 {
			n++
		}
	}
	return n
}

// Late returns the number of waiting requests that can no longer be in time, and when the first of them became late.
func (q *Queue) Late(now time.Time) (n int, since time.Time) {
	for _, w := range q.list {
		if !w.isLate(now) {
			continue
		}
		if n == 0 || w.SendBy.Before(since) {
			since = w.SendBy
		}
		n++
	}
	return n, since
}

// An order is the order of the requests at one time, while none joins or leaves.
type order struct {
	shares *Shares
	// lowest is shares.lowest(), which takes as long as there are organisations.
	lowest float64
	now    time.Time
}

func (q *Queue) order(now time.Time) order {
	return order{shares: q.shares, lowest: q.shares.lowest(), now: now}
}

// compare orders the requests: those that can be in time, by priority, by the service that their organisation has
// had, by the time by which they should be sent, and by arrival. A request that can wait longer gives its place to one
// that cannot, since both may then be in time.
func (o order) compare(a, b *Waiter) int {
	return cmp.Or(
		compareBools(a.isLate(o.now), b.isLate(o.now)),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(o.shares.service(a.Organisation, o.lowest), o.shares.service(b.Organisation, o.lowest)),
		a.due().Compare(b.due()),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
