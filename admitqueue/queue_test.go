package admitqueue

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestOrder guards against an order in which a less important rule decides before a more important one. The first waiter of
// each case is pushed last.
func TestOrder(t *testing.T) {
	late := start.Add(-ms(1))
	servedB, servedNone := map[string]float64{"b": 5}, map[string]float64{"": 5}
	tests := map[string]struct {
		first, second Waiter
		// served is the service that organisations have had.
		served map[string]float64
	}{
		"in time before late":                 {first: Waiter{Priority: 2, Organisation: "b"}, second: Waiter{SendBy: late}, served: servedB},
		"late at its time":                    {first: Waiter{SendBy: start.Add(1), Slack: ms(9)}, second: Waiter{SendBy: start}},
		"priority before service":             {first: Waiter{Organisation: "b"}, second: Waiter{Priority: 1, Organisation: "a"}, served: servedB},
		"service before due time":             {first: Waiter{Organisation: "a", Slack: ms(9)}, second: Waiter{Organisation: "b", Slack: ms(1)}, served: servedB},
		"due time before arrival":             {first: Waiter{Arrived: start.Add(ms(2)), Slack: ms(1)}, second: Waiter{Arrived: start, Slack: ms(9)}},
		"due time of one organisation":        {first: Waiter{Organisation: "b", Slack: ms(1)}, second: Waiter{Organisation: "b", Slack: ms(9)}, served: servedB},
		"arrival":                             {first: Waiter{Arrived: start, Slack: ms(9)}, second: Waiter{Arrived: start.Add(ms(1)), Slack: ms(8)}},
		"late ones by priority":               {first: Waiter{SendBy: late, Priority: 1}, second: Waiter{SendBy: late, Priority: 2}},
		"no organisation is one organisation": {first: Waiter{Organisation: "a", Slack: ms(9)}, second: Waiter{Slack: ms(1)}, served: servedNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shares := NewShares()
			q := NewQueue(shares)
			first, second := &test.first, &test.second
			q.Push(second)
			q.Push(first)
			for organisation, service := range test.served {
				shares.Serve(organisation, service, 1)
			}
			assert.Equal(t, q.First(start), first)
			assert.Equal(t, q.Ahead(first, start), 0)
			assert.Equal(t, q.Ahead(second, start), 1)
		})
	}
}

// TestEqualWaiters guards against equal requests that overtake each other.
func TestEqualWaiters(t *testing.T) {
	q := NewQueue(NewShares())
	var pushed, served []*Waiter
	for range 5 {
		w := &Waiter{}
		pushed = append(pushed, w)
		q.Push(w)
	}
	for q.Len() > 0 {
		w := q.First(start)
		served = append(served, w)
		assert.Assert(t, q.Remove(w))
	}
	assert.Assert(t, slices.Equal(served, pushed))
	assert.Assert(t, !q.Remove(pushed[0]))
}

// TestExpired guards against a request that stays in the queue after its sender asks elsewhere.
func TestExpired(t *testing.T) {
	q := NewQueue(NewShares())
	gone, stays := &Waiter{Until: start}, &Waiter{Until: start.Add(1)}
	q.Push(gone)
	q.Push(stays)
	assert.DeepEqual(t, len(q.Expired(start.Add(-1))), 0)
	assert.Assert(t, slices.Equal(q.Expired(start), []*Waiter{gone}))
	assert.Equal(t, q.First(start), stays)
}

// drawWaiter draws a request of an organisation.
func drawWaiter(t *rapid.T, organisation string) *Waiter {
	w := &Waiter{Organisation: organisation, Cost: float64(rapid.IntRange(1, 100).Draw(t, "cost"))}
	w.Arrived = start.Add(ms(rapid.IntRange(0, 20).Draw(t, "arrived")))
	w.Slack = ms(rapid.IntRange(0, 20).Draw(t, "slack"))
	return w
}

// TestWorkConserving guards against a request that is never served, or a queue whose estimate does not fit its order: each
// waiter is served after those that were ahead.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(NewShares())
		var waiters []*Waiter
		for range rapid.IntRange(0, 12).Draw(t, "waiters") {
			w := drawWaiter(t, rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "organisation"))
			w.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			if rapid.Bool().Draw(t, "objective") {
				w.SendBy = w.Arrived.Add(w.Slack)
			}
			waiters = append(waiters, w)
			q.Push(w)
		}
		now := start.Add(ms(15))
		ahead := make(map[*Waiter]int)
		for _, w := range waiters {
			ahead[w] = q.Ahead(w, now)
		}
		for i := range waiters {
			w := q.First(now)
			assert.Assert(t, w != nil)
			assert.Equal(t, ahead[w], i)
			assert.Assert(t, q.Remove(w))
		}
		assert.Equal(t, q.Len(), 0)
		assert.Assert(t, q.First(now) == nil)
	})
}

// A competition is a number of queues with the same shares. The organisations a and b wait in each of them.
type competition struct {
	t       *rapid.T
	shares  *Shares
	queues  []*Queue
	weights map[string]float64
	// served is the service for its weight that each organisation had, largest the largest service for its weight of a
	// request of a or b.
	served  map[string]float64
	largest float64
}

func newCompetition(t *rapid.T) *competition {
	c := &competition{t: t, shares: NewShares(), weights: make(map[string]float64), served: make(map[string]float64)}
	for _, organisation := range []string{"a", "b", "c", "d"} {
		c.weights[organisation] = float64(rapid.IntRange(1, 40).Draw(t, "weight")) / 4
	}
	for range rapid.IntRange(1, 3).Draw(t, "queues") {
		c.queues = append(c.queues, NewQueue(c.shares))
	}
	return c
}

// push has a request of an organisation wait in a queue.
func (c *competition) push(q *Queue, organisation string) {
	w := drawWaiter(c.t, organisation)
	w.Weight = c.weights[organisation]
	q.Push(w)
}

// serve serves a queue. Organisations a and b have another request waiting then.
func (c *competition) serve(q *Queue) {
	w := q.First(start)
	if w.Organisation == "a" || w.Organisation == "b" {
		c.push(q, w.Organisation)
		c.largest = max(c.largest, w.Cost/w.Weight)
	}
	if rapid.Bool().Draw(c.t, "remove first") {
		q.Remove(w)
		c.shares.Serve(w.Organisation, w.Cost, w.Weight)
	} else {
		c.shares.Serve(w.Organisation, w.Cost, w.Weight)
		q.Remove(w)
	}
	c.served[w.Organisation] += w.Cost / w.Weight
}

// compete serves the queues a drawn number of times, among requests of others that come and go.
func (c *competition) compete() {
	for range rapid.IntRange(1, 60).Draw(c.t, "steps") {
		q := c.queues[rapid.IntRange(0, len(c.queues)-1).Draw(c.t, "queue")]
		if rapid.IntRange(0, 3).Draw(c.t, "arrival") == 0 {
			c.push(q, rapid.SampledFrom([]string{"c", "d"}).Draw(c.t, "other"))
		}
		c.serve(q)
		difference := math.Abs(c.served["a"] - c.served["b"])
		assert.Assert(c.t, difference <= 2*c.largest+1e-9, "difference %v, largest request %v", difference, c.largest)
	}
}

// TestFairShares guards against an organisation that gets more than its share: of two that wait all the time, the service
// for their weight differs by twice the largest request at most.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCompetition(t)
		for _, q := range c.queues {
			c.push(q, "a")
			c.push(q, "b")
		}
		c.compete()
	})
}

// TestNoCreditWhileIdle guards against an organisation that saves up service while it does not wait, and then shuts out
// others.
func TestNoCreditWhileIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCompetition(t)
		for _, q := range c.queues {
			c.push(q, "a")
		}
		if rapid.Bool().Draw(t, "b was there before") {
			c.push(c.queues[0], "b")
			c.queues[0].Remove(c.queues[0].list[len(c.queues[0].list)-1])
		}
		for range rapid.IntRange(0, 30).Draw(t, "served alone") {
			c.serve(c.queues[0])
		}
		clear(c.served)
		for _, q := range c.queues {
			c.push(q, "b")
		}
		c.compete()
	})
}

// TestServiceWithoutWaiting guards against a charge for capacity that no other organisation needed.
func TestServiceWithoutWaiting(t *testing.T) {
	shares := NewShares()
	shares.Serve("a", 100, 1)
	q := NewQueue(shares)
	b := &Waiter{Organisation: "b", Slack: 2}
	a := &Waiter{Organisation: "a", Slack: 1}
	q.Push(b)
	q.Push(a)
	assert.Equal(t, q.First(start), a)
}

// TestDebtIsKept guards against an organisation that loses its debt between two requests while others wait.
func TestDebtIsKept(t *testing.T) {
	shares := NewShares()
	q := NewQueue(shares)
	b := &Waiter{Organisation: "b", Slack: 2}
	q.Push(b)
	a := &Waiter{Organisation: "a"}
	q.Push(a)
	q.Remove(a)
	shares.Serve("a", 100, 1)
	q.Push(a)
	assert.Equal(t, q.First(start), b)
}
