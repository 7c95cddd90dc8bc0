package fairqueue_test

import (
	"fmt"
	"time"

	"rockcleat/fairqueue"
)

// oneSlot is a server with a single slot.
type oneSlot struct{ taken bool }

func (s *oneSlot) Take(string) (int, bool) {
	free := !s.taken
	s.taken = true
	return 0, free
}

func (s *oneSlot) Release(int)      { s.taken = false }
func (s *oneSlot) Total(string) int { return 1 }

// The first request runs, the second waits for its slot, and the third exceeds its queue time.
func Example() {
	now := time.Unix(1000, 0)
	q := fairqueue.New(&oneSlot{}, fairqueue.Options{})
	push := func(name string, queueTime time.Duration) *fairqueue.Ticket {
		t := &fairqueue.Ticket{
			Row: "hint", Tokens: 10, Limit: fairqueue.Limit{Weight: 1, QueueTime: queueTime},
			Granted: func(fairqueue.Grant) { fmt.Println(name, "runs") },
			Refused: func(r fairqueue.Refusal) { fmt.Println(name, "is refused:", r.Reason) },
		}
		q.Push(t, now)
		return t
	}
	first := push("first", time.Second)
	push("second", 10*time.Second)
	push("third", time.Second)
	now = now.Add(2 * time.Second)
	q.Step(now)
	q.Done(first, 10, now)
	// Output:
	// first runs
	// third is refused: queue_time
	// second runs
}
