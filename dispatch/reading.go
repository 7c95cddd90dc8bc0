package dispatch

import "time"

// A span is the time in which an engine is expected to read one prompt.
type span struct{ from, to time.Time }

// A readingLine is what an engine is expected to read, one prompt after the other.
//
// Its zero value is an empty line.
type prefillQueue struct {
	spans []span
}

// keptSpans is how long spans that are over are kept.
const spanMemory = 2 * time.Second

// end returns when the engine has read everything.
func (l *prefillQueue) end(now time.Time) time.Time {
	if n := len(l.spans); n > 0 && l.spans[n-1].to.After(now) {
		return l.spans[n-1].to
	}
	return now
}

// add puts a prompt at the end of the line and returns when it should be read.
func (l *prefillQueue) add(read time.Duration, now time.Time) time.Time {
	first := 0
	for first < len(l.spans) && now.Sub(l.spans[first].to) > spanMemory {
		first++
	}
	l.spans = append(l.spans[:0], l.spans[first:]...)
	from := l.end(now)
	l.spans = append(l.spans, span{from: from, to: from.Add(read)})
	return from.Add(read)
}

// done tells when a prompt was read that should have been read at another time: the
// line is that much faster or slower.
func (l *prefillQueue) finish(expected, actual time.Time) {
	shift := actual.Sub(expected)
	for i := range l.spans {
		s := &l.spans[i]
		switch {
		case s.from.After(expected) || s.from.Equal(expected):
			s.from, s.to = s.from.Add(shift), s.to.Add(shift)
		case s.to.After(actual) || s.to.Equal(expected):
			s.to = actual
			s.from = earlier(s.from, actual)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// busy returns how long the engine reads other prompts in the time of a length that
// ends when a prompt put at the end of the line now is read.
func (l *prefillQueue) busyWithin(read, length time.Duration, now time.Time) time.Duration {
	start := l.end(now).Add(read - length)
	sum := time.Duration(0)
	for _, s := range l.spans {
		from := s.from
		if from.Before(start) {
			from = start
		}
		sum += max(s.to.Sub(from), 0)
	}
	return sum
}

// freeAfter returns after which time a prompt can be read so that no more than a
// limit is read in a time of a length.
func (l *prefillQueue) nextStart(read, limit, length time.Duration, now time.Time) time.Duration {
	for wait := time.Duration(0); wait < length; wait += minGrantRetry {
		busy := l.busyWithin(read, length, now.Add(wait))
		if busy == 0 || busy+read <= limit {
			return max(wait, minGrantRetry)
		}
	}
	return length
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
