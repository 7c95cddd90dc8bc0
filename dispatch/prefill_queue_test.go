package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock"
)

func TestPrefillQueue(t *testing.T) {
	const window = 300 * time.Millisecond
	type prompt struct {
		at, read int
	}
	tests := map[string]struct {
		line []prompt
		// at is the arrival and read the prefill time of the next prompt; busy is the expected
		// prefill time of other prompts within the window. All are in milliseconds.
		at, read, busy int
	}{
		"nothing":                     {read: 50},
		"in line":                     {line: []prompt{{0, 50}, {0, 60}}, read: 40, busy: 110},
		"just read":                   {line: []prompt{{0, 80}}, at: 100, read: 50, busy: 80},
		"read before":                 {line: []prompt{{0, 80}}, at: 400, read: 50, busy: 0},
		"partly read before":          {line: []prompt{{0, 80}}, at: 300, read: 50, busy: 30},
		"a prompt as long as a pause": {line: []prompt{{0, 80}}, at: 100, read: 300, busy: 0},
		"line longer than a pause":    {line: []prompt{{0, 200}, {0, 200}}, read: 50, busy: 250},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			at := func(n int) time.Time { return start.Add(ms(n)) }
			var q prefillQueue
			for _, p := range test.line {
				q.add(ms(p.read), at(p.at))
			}
			assert.Equal(t, q.busyWithin(ms(test.read), window, at(test.at)), ms(test.busy))
		})
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestPrefillQueueKeepsGaps checks that prompts sent as early as nextStart allows never exceed the
// prefill limit in any window.
func TestPrefillQueueKeepsGaps(t *testing.T) {
	const window, limit = 300 * time.Millisecond, 200 * time.Millisecond
	now := time.Unix(1000, 0)
	var q prefillQueue
	var all []prefillSpan
	for i := range 40 {
		prefill := ms(20 + i*37%120)
		if busy := q.busyWithin(prefill, window, now); busy > 0 && busy+prefill > limit {
			wait := q.nextStart(prefill, limit, window, now)
			assert.Assert(t, wait > 0 && wait <= window)
			now = now.Add(wait)
		}
		q.add(prefill, now)
		all = append(all, q.spans[len(q.spans)-1])
	}
	for _, last := range all {
		sum := time.Duration(0)
		for _, s := range all {
			from, to := clock.Later(s.from, last.to.Add(-window)), clock.Earlier(s.to, last.to)
			sum += max(to.Sub(from), 0)
		}
		assert.Assert(t, sum <= limit, "%v read in %v", sum, window)
	}
}

func TestPrefillQueueFollowsTheEngine(t *testing.T) {
	tests := map[string]struct {
		// took is the actual time for the first of two prompts that are expected to take 100 ms
		// each; end is when both are prefilled. Both are in milliseconds.
		took, end int
	}{
		"as expected": {took: 100, end: 200},
		"faster":      {took: 40, end: 140},
		"slower":      {took: 150, end: 250},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var q prefillQueue
			first := q.add(ms(100), start)
			q.add(ms(100), start)
			q.correct(first, start.Add(ms(test.took)))
			assert.Equal(t, q.end(start).Sub(start), ms(test.end))
			assert.Equal(t, q.busyWithin(0, time.Second, start), ms(test.took+100))
		})
	}
}

func TestGapBudget(t *testing.T) {
	tests := map[string]struct {
		gap     GapBudget
		running int
		want    float64
	}{
		"idle engine":             {gap: GapBudget{MaxGap: 300, StepsPerEvent: 3}, want: 247.5},
		"full engine":             {gap: GapBudget{MaxGap: 300, StepsPerEvent: 3}, running: 40, want: 223.5},
		"pause of a few steps":    {gap: GapBudget{MaxGap: 60, StepsPerEvent: 3}, want: 75},
		"many steps, full engine": {gap: GapBudget{MaxGap: 250, StepsPerEvent: 6}, running: 40, want: 150},
		"steps that are not set":  {gap: GapBudget{MaxGap: 300}, want: 268.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := float64(Candidate{Running: test.running}.prefillPerGap(test.gap))
			assert.Assert(t, got > test.want-0.01 && got < test.want+0.01, "%v", got)
		})
	}
}
