package dispatch

import (
	"time"

	"rockcleat/clock"
)

// A prefillSpan is the interval in which an engine is expected to prefill one prompt.
type prefillSpan struct{ from, to time.Time }

// A prefillQueue holds the prompts that an engine is expected to prefill, one after the other.
//
// Its zero value is empty.
type prefillQueue struct {
	spans []prefillSpan
}

// spanRetention is how long finished spans are kept, since they count towards the gap in which they
// fall. It must exceed the longest gap that a route allows.
const spanRetention = 2 * time.Second

// end returns when the engine is expected to have prefilled all prompts.
func (q *prefillQueue) end(now time.Time) time.Time {
	if n := len(q.spans); n > 0 && q.spans[n-1].to.After(now) {
		return q.spans[n-1].to
	}
	return now
}

// add appends a prompt and returns when the engine is expected to have prefilled it. It drops spans
// older than spanRetention.
func (q *prefillQueue) add(prefill time.Duration, now time.Time) time.Time {
	first := 0
	for first < len(q.spans) && now.Sub(q.spans[first].to) > spanRetention {
		first++
	}
	q.spans = append(q.spans[:0], q.spans[first:]...)
	from := q.end(now)
	q.spans = append(q.spans, prefillSpan{from: from, to: from.Add(prefill)})
	return from.Add(prefill)
}

// correct adjusts the queue when the prompt that was expected to be prefilled at one time was
// prefilled at another. Later spans shift by the difference.
func (q *prefillQueue) correct(expected, actual time.Time) {
	shift := actual.Sub(expected)
	for i := range q.spans {
		s := &q.spans[i]
		switch {
		case s.from.After(expected) || s.from.Equal(expected):
			s.from, s.to = s.from.Add(shift), s.to.Add(shift)
		case s.to.After(actual) || s.to.Equal(expected):
			s.to = actual
			s.from = clock.Earlier(s.from, actual)
		}
	}
}

// busyWithin returns how long the engine prefills other prompts within a window that ends when a
// prompt appended now would be prefilled.
func (q *prefillQueue) busyWithin(prefill, window time.Duration, now time.Time) time.Duration {
	start := q.end(now).Add(prefill - window)
	sum := time.Duration(0)
	for _, s := range q.spans {
		from := s.from
		if from.Before(start) {
			from = start
		}
		sum += max(s.to.Sub(from), 0)
	}
	return sum
}

// nextStart returns how long to wait until a prompt can be appended such that prefill within any
// window stays within the limit. The result is at least minAdmissionRetry and at most window.
func (q *prefillQueue) nextStart(prefill, limit, window time.Duration, now time.Time) time.Duration {
	for wait := time.Duration(0); wait < window; wait += minAdmissionRetry {
		busy := q.busyWithin(prefill, window, now.Add(wait))
		if busy == 0 || busy+prefill <= limit {
			return max(wait, minAdmissionRetry)
		}
	}
	return window
}
