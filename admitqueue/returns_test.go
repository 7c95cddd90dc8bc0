package admitqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestArrival guards against a caller that loses its place although it came back as asked, or gains one by coming earlier.
func TestArrival(t *testing.T) {
	const key = 7
	first, due := start, start.Add(time.Second)
	tests := map[string]struct {
		key     uint64
		arrived time.Time
		want    time.Time
		asTold  bool
	}{
		"as asked":             {key: key, arrived: due, want: first, asTold: true},
		"later":                {key: key, arrived: due.Add(time.Second), want: first, asTold: true},
		"within the tolerance": {key: key, arrived: due.Add(-returnTolerance), want: first, asTold: true},
		"earlier":              {key: key, arrived: due.Add(-ms(500)), want: due},
		"much later":           {key: key, arrived: start.Add(returnRetention), want: start.Add(returnRetention)},
		"another request":      {key: key + 1, arrived: due, want: due},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r Returns
			r.Refused(key, first, due, start)
			order, asTold := r.Arrival(test.key, test.arrived, test.arrived)
			assert.Equal(t, order, test.want)
			assert.Equal(t, asTold, test.asTold)
		})
	}
}

// TestServedIsForgotten guards against a later request with the same content that gets the place of an earlier one.
func TestServedIsForgotten(t *testing.T) {
	var r Returns
	r.Refused(7, start, start.Add(ms(200)), start)
	r.Served(7)
	now := start.Add(time.Second)
	order, asTold := r.Arrival(7, now, now)
	assert.Equal(t, order, now)
	assert.Assert(t, !asTold)
}

// TestReturnsInOrder guards against newcomers that are served before callers who came back as asked, and against callers
// who came back too early and are served before newcomers.
func TestReturnsInOrder(t *testing.T) {
	var r Returns
	r.Refused(1, start, start.Add(ms(300)), start)
	r.Refused(2, start, start.Add(ms(900)), start)
	now := start.Add(ms(400))
	q := NewQueue(NewShares())
	push := func(key uint64, arrived time.Time) *Waiter {
		w := &Waiter{Slack: ms(250)}
		w.Arrived, _ = r.Arrival(key, arrived, now)
		q.Push(w)
		return w
	}
	early, newcomer, asked := push(2, now), push(3, now.Add(-ms(1))), push(1, now)
	assert.Equal(t, q.Ahead(asked, now), 0)
	assert.Equal(t, q.Ahead(newcomer, now), 1)
	assert.Equal(t, q.Ahead(early, now), 2)
}

// TestReturnsAreBounded guards against memory that grows with the number of refused requests, and against a full memory that
// keeps outdated requests.
func TestReturnsAreBounded(t *testing.T) {
	var r Returns
	for key := range uint64(maxReturns + 100) {
		r.Refused(key, start, start, start)
	}
	assert.Equal(t, len(r.refused), maxReturns)
	now := start.Add(returnRetention)
	r.Refused(1<<40, now, now, now)
	assert.Equal(t, len(r.refused), 1)
}

// TestFullReturnsKeepKnownRequests guards against a request that is refused again and is forgotten since the memory is full.
func TestFullReturnsKeepKnownRequests(t *testing.T) {
	var r Returns
	for key := range uint64(maxReturns) {
		r.Refused(key, start, start, start)
	}
	again := start.Add(returnRetention - 1)
	r.Refused(0, start, again.Add(time.Second), again)
	now := again.Add(time.Second)
	order, asTold := r.Arrival(0, now, now)
	assert.Equal(t, order, start)
	assert.Assert(t, asTold)
}

// BenchmarkRefused measures refusals while the memory is full, at 1,000 a second.
func BenchmarkRefused(b *testing.B) {
	var r Returns
	now := start
	for key := range uint64(b.N) {
		now = now.Add(time.Millisecond)
		r.Refused(key, now, now, now)
	}
}

// TestEstimator guards against an estimate that does not follow the server, or ignores its slots.
func TestEstimator(t *testing.T) {
	tests := map[string]struct {
		observed     []time.Duration
		ahead, slots int
		want         time.Duration
	}{
		"nothing known":          {ahead: 5, slots: 2, want: 0},
		"next":                   {observed: repeat(ms(60), 1), slots: 6, want: ms(10)},
		"behind others":          {observed: repeat(ms(60), 30), ahead: 11, slots: 6, want: ms(120)},
		"half after 20 requests": {observed: append(repeat(ms(100), 1), repeat(ms(60), 20)...), slots: 1, want: ms(80)},
		"no slots":               {observed: repeat(ms(60), 1), want: ms(60)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var e Estimator
			for _, d := range test.observed {
				e.Observe(d)
			}
			got := e.Wait(test.ahead, test.slots)
			assert.Assert(t, (got-test.want).Abs() < time.Microsecond, "got %v, want %v", got, test.want)
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}
