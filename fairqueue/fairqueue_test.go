package fairqueue_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/fairqueue"
)

var start = time.Unix(1000, 0)

// slotPool is a set of slots that serve every row.
type slotPool struct{ free, total int }

func (p *slotPool) Take(string) (int, bool) {
	if p.free == 0 {
		return 0, false
	}
	p.free--
	return p.free, true
}
func (p *slotPool) Release(int)      { p.free++ }
func (p *slotPool) Total(string) int { return p.total }

// request is a ticket and its outcome.
type request struct {
	*fairqueue.Ticket
	granted bool
	refusal *fairqueue.Refusal
}

func (r *request) isGranted() bool { return r.granted }

func newRequest(row string, weight, running int, queueTime time.Duration) *request {
	r := &request{}
	r.Ticket = &fairqueue.Ticket{
		Row: row, Tokens: 10,
		Limit:   fairqueue.Limit{Weight: weight, Running: running, QueueTime: queueTime},
		Granted: func(fairqueue.Grant) { r.granted = true },
		Refused: func(x fairqueue.Refusal) { r.refusal = &x },
	}
	return r
}

func newQueue(slots int, o fairqueue.Options) *fairqueue.Queue {
	return fairqueue.New(&slotPool{free: slots, total: slots}, o)
}

// TestWeights checks that freed slots are divided in proportion to the rows' weights while all rows
// have waiting requests.
func TestWeights(t *testing.T) {
	tests := map[string]struct {
		weights map[string]int
		want    map[string]int
	}{
		"equal":       {weights: map[string]int{"a": 1, "b": 1}, want: map[string]int{"a": 50, "b": 50}},
		"three to 1":  {weights: map[string]int{"a": 3, "b": 1}, want: map[string]int{"a": 75, "b": 25}},
		"sixteen":     {weights: map[string]int{"a": 16, "b": 4, "c": 1}, want: map[string]int{"a": 76, "b": 19, "c": 5}},
		"no row dies": {weights: map[string]int{"a": 99, "b": 1}, want: map[string]int{"a": 99, "b": 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQueue(1, fairqueue.Options{})
			now := start
			blocker := newRequest("z", 1, 0, time.Hour)
			q.Push(blocker.Ticket, now)
			waiting := make(map[*request]bool)
			for range 100 {
				for _, row := range []string{"a", "b", "c"} {
					if w := tc.weights[row]; w > 0 {
						r := newRequest(row, w, 0, time.Hour)
						q.Push(r.Ticket, now)
						waiting[r] = true
						now = now.Add(time.Millisecond)
					}
				}
			}
			got := make(map[string]int)
			running := blocker
			for range 100 {
				q.Done(running.Ticket, running.Tokens, now)
				for r := range waiting {
					if r.granted {
						delete(waiting, r)
						got[r.Row]++
						running = r
					}
				}
			}
			for row, want := range tc.want {
				assert.Assert(t, got[row] >= want-1 && got[row] <= want+1, "%s: got %d of 100, want %d", row, got[row], want)
			}
		})
	}
}

// TestIdleRowEarnsNoCredit checks that a row which was idle does not starve the others when it
// becomes active.
func TestIdleRowEarnsNoCredit(t *testing.T) {
	q := newQueue(1, fairqueue.Options{})
	now := start
	running := newRequest("busy", 1, 0, time.Hour)
	q.Push(running.Ticket, now)
	for range 50 {
		next := newRequest("busy", 1, 0, time.Hour)
		q.Push(next.Ticket, now)
		q.Done(running.Ticket, 10, now)
		running = next
	}
	var late, busy []*request
	for range 10 {
		l, b := newRequest("late", 1, 0, time.Hour), newRequest("busy", 1, 0, time.Hour)
		q.Push(l.Ticket, now)
		q.Push(b.Ticket, now)
		late, busy = append(late, l), append(busy, b)
	}
	served := 0
	for range 10 {
		q.Done(running.Ticket, 10, now)
		if i := slices.IndexFunc(late, (*request).isGranted); i >= 0 {
			running = late[i]
			late = slices.Delete(late, i, i+1)
			continue
		}
		i := slices.IndexFunc(busy, (*request).isGranted)
		running = busy[i]
		busy = slices.Delete(busy, i, i+1)
		served++
	}
	assert.Assert(t, served >= 4, "the busy row was served %d of 10 times", served)
}

func TestLimits(t *testing.T) {
	tests := map[string]struct {
		slots, running, pushed int
		queueTime              time.Duration
		granted, refused       int
	}{
		"slots bound":                   {slots: 2, pushed: 4, queueTime: time.Hour, granted: 2},
		"concurrency below slots":       {slots: 8, running: 3, pushed: 5, queueTime: time.Hour, granted: 3},
		"no queue time: refused":        {slots: 1, pushed: 3, queueTime: 0, granted: 1, refused: 2},
		"wait beyond queue time":        {slots: 1, pushed: 5, queueTime: time.Second, granted: 1, refused: 1},
		"estimate counts concurrency":   {slots: 8, running: 1, pushed: 5, queueTime: time.Second, granted: 1, refused: 1},
		"queue time long enough for it": {slots: 1, pushed: 5, queueTime: 2 * time.Second, granted: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQueue(tc.slots, fairqueue.Options{})
			granted, refused := 0, 0
			var all []*request
			for range tc.pushed {
				r := newRequest("a", 1, tc.running, tc.queueTime)
				q.Push(r.Ticket, start)
				all = append(all, r)
			}
			for _, r := range all {
				if r.granted {
					granted++
				}
				if r.refusal != nil {
					refused++
					assert.Equal(t, r.refusal.Reason, fairqueue.ReasonQueueTime)
					assert.Assert(t, r.refusal.RetryAfter > 0)
				}
			}
			assert.Equal(t, granted, tc.granted)
			assert.Equal(t, refused, tc.refused)
		})
	}
}

func TestMaxWaiting(t *testing.T) {
	q := newQueue(1, fairqueue.Options{MaxWaiting: 2})
	var last *request
	for range 4 {
		last = newRequest("a", 1, 0, time.Hour)
		q.Push(last.Ticket, start)
	}
	assert.Equal(t, last.refusal.Reason, fairqueue.ReasonQueueFull)
	assert.Equal(t, q.Waiting(), 2)
}

func TestExpiry(t *testing.T) {
	q := newQueue(1, fairqueue.Options{})
	first := newRequest("a", 1, 0, time.Second)
	second := newRequest("a", 1, 0, time.Second)
	q.Push(first.Ticket, start)
	q.Push(second.Ticket, start)
	q.Step(start.Add(time.Second))
	assert.Assert(t, second.refusal == nil)
	q.Step(start.Add(time.Second + time.Millisecond))
	assert.Equal(t, second.refusal.Reason, fairqueue.ReasonQueueTime)
	q.Done(first.Ticket, 10, start)
	q.Done(first.Ticket, 10, start)
	assert.Equal(t, q.Running(), 0)
}

func TestRefuseAll(t *testing.T) {
	q := newQueue(1, fairqueue.Options{})
	running := newRequest("a", 1, 0, time.Hour)
	waiting := newRequest("a", 1, 0, time.Hour)
	q.Push(running.Ticket, start)
	q.Push(waiting.Ticket, start)
	q.RefuseAll(fairqueue.ReasonLeaving)
	assert.Equal(t, waiting.refusal.Reason, fairqueue.ReasonLeaving)
	assert.Assert(t, running.refusal == nil)
	assert.Equal(t, q.Running(), 1)
}
