package serverlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/serverlimit"
)

// Limit headers used by the tests.
var (
	none = serverlimit.Reading{Kind: serverlimit.None}
	two  = serverlimit.Reading{Kind: serverlimit.Named, PerSecond: 2}
	five = serverlimit.Reading{Kind: serverlimit.Named, PerSecond: 5}
)

const testServer = "s1"

// A process is the table of one process with its clock and the changes reported.
type process struct {
	*serverlimit.Table
	clock   *clocktest.Clock
	changes []serverlimit.Change
}

func newProcess() *process {
	p := &process{clock: clocktest.New(time.Unix(1000, 0))}
	p.Table = serverlimit.New(serverlimit.Options{
		Clock: p.clock, OnChange: func(c serverlimit.Change) { p.changes = append(p.changes, c) },
	})
	return p
}

// ago returns the time a number of milliseconds before now.
func (p *process) ago(ms int) time.Time {
	return p.clock.Now().Add(-time.Duration(ms) * time.Millisecond)
}

// limit returns the limit of testServer, or -1 if it has none.
func (p *process) limit() float64 {
	if l, ok := p.Limit(testServer); ok {
		return l
	}
	return -1
}

// A responseStep is one response of the server.
type responseStep struct {
	// afterMs is the time since the previous response.
	afterMs int
	// tookMs is the time since the request was sent.
	tookMs  int
	reading serverlimit.Reading
}

func TestOrderOfAnswers(t *testing.T) {
	unreadable := serverlimit.Reading{Kind: serverlimit.Unreadable}
	tests := map[string]struct {
		steps []responseStep
		want  float64
	}{
		"named":                                 {steps: []responseStep{{0, 10, two}}, want: 2},
		"never named":                           {steps: []responseStep{{0, 10, none}}, want: -1},
		"named after none, though sent before":  {steps: []responseStep{{0, 10, none}, {1, 500, two}}, want: 2},
		"ended by what was sent after":          {steps: []responseStep{{0, 10, two}, {20, 10, none}}, want: -1},
		"not ended by what was sent before":     {steps: []responseStep{{0, 10, two}, {20, 30, none}}, want: 2},
		"raised by what was sent after":         {steps: []responseStep{{0, 10, two}, {20, 10, five}}, want: 5},
		"not raised by what was sent before":    {steps: []responseStep{{0, 10, two}, {20, 30, five}}, want: 2},
		"lowered at once":                       {steps: []responseStep{{0, 10, five}, {20, 30, two}}, want: 2},
		"not brought back by a late answer":     {steps: []responseStep{{0, 10, two}, {20, 10, none}, {5, 100, two}}, want: -1},
		"brought back by what was sent after":   {steps: []responseStep{{0, 10, two}, {20, 10, none}, {50, 10, two}}, want: 2},
		"neither set nor ended by what is none": {steps: []responseStep{{0, 10, two}, {20, 10, unreadable}}, want: 2},
		"unreadable alone":                      {steps: []responseStep{{0, 10, unreadable}}, want: -1},
		"zero":                                  {steps: []responseStep{{0, 10, serverlimit.Reading{Kind: serverlimit.Named}}}, want: 0},
		"not ended by an answer sent before it was named again": {
			steps: []responseStep{{0, 10, two}, {1000, 10, two}, {10, 20, none}}, want: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newProcess()
			for _, s := range test.steps {
				p.clock.Advance(time.Duration(s.afterMs) * time.Millisecond)
				p.Observe(testServer, s.reading, p.ago(s.tookMs))
			}
			assert.Equal(t, p.limit(), test.want)
		})
	}
}

// TestLimitExpires checks that a limit expires after limitTTL without a response that states it, and not before.
func TestLimitExpires(t *testing.T) {
	p := newProcess()
	p.Observe(testServer, two, p.ago(10))
	p.clock.Advance(20 * time.Second)
	p.Observe(testServer, two, p.ago(10))
	p.clock.Advance(20 * time.Second)
	p.Expire()
	assert.Equal(t, p.limit(), 2.0, "it was named 20 s ago")
	p.clock.Advance(11 * time.Second)
	p.Expire()
	assert.Equal(t, p.limit(), -1.0)
	assert.Equal(t, p.changes[len(p.changes)-1].State, serverlimit.Unheard)
}

// TestChangesAreReported checks that each change of a limit is reported once.
func TestChangesAreReported(t *testing.T) {
	p := newProcess()
	for _, r := range []serverlimit.Reading{two, two, five, none, none} {
		p.clock.Advance(time.Second)
		p.Observe(testServer, r, p.ago(10))
	}
	var states []serverlimit.State
	for _, c := range p.changes {
		states = append(states, c.State)
	}
	assert.DeepEqual(t, states, []serverlimit.State{serverlimit.Began, serverlimit.Changed, serverlimit.Ended})
}
