package serverlimit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/clock/clocktest"
	"rockcleat/serverlimit"
)

// A group is a number of processes. All but the first one exchange with the first one.
type group struct {
	clock     *clocktest.Clock
	processes []*process
	links     []*serverlimit.Link
}

func newGroup(n int) *group {
	g := &group{clock: clocktest.New(time.Unix(1000, 0))}
	for range n {
		p := &process{clock: g.clock}
		p.Table = serverlimit.New(serverlimit.Options{
			Clock: g.clock, OnChange: func(c serverlimit.Change) { p.changes = append(p.changes, c) },
		})
		g.processes = append(g.processes, p)
		g.links = append(g.links, serverlimit.NewLink(p.Table))
	}
	return g
}

// exchange sends one message from process i to the first one and, unless lost is set, applies the reply.
func (g *group) exchange(i int, lost bool) {
	reply := g.processes[0].Answer(g.links[i].Message("first"))
	if !lost {
		g.links[i].Apply(reply)
	}
}

// exchangeAll lets each process exchange twice, so that the updates of each process reach all.
func (g *group) exchangeAll() {
	for range 2 {
		for i := range g.processes[1:] {
			g.exchange(i+1, false)
		}
	}
}

// checkAll checks that all processes have the same limit; -1 means none.
func (g *group) checkAll(t *testing.T, want float64) {
	t.Helper()
	for i, p := range g.processes {
		assert.Equal(t, p.limit(), want, "process %d", i)
	}
}

// TestUpdateReachesAll checks that a limit begins, changes and ends at all processes if one of them receives the
// responses that say so.
func TestUpdateReachesAll(t *testing.T) {
	g := newGroup(5)
	for _, step := range []struct {
		reading serverlimit.Reading
		want    float64
	}{{two, 2}, {five, 5}, {none, -1}, {two, 2}} {
		g.clock.Advance(time.Second)
		g.processes[3].Observe(testServer, step.reading, g.processes[3].ago(10))
		g.exchangeAll()
		g.checkAll(t, step.want)
	}
}

// TestConflictingUpdates checks that a limit that one process sees removed and another one still sees stated applies
// until the response to a later request removes it.
func TestConflictingUpdates(t *testing.T) {
	g := newGroup(3)
	a, b := g.processes[1], g.processes[2]
	a.Observe(testServer, two, a.ago(10))
	g.exchangeAll()
	g.clock.Advance(6 * time.Second)
	a.Observe(testServer, none, a.ago(10))
	b.Observe(testServer, two, b.ago(100))
	g.exchangeAll()
	g.checkAll(t, 2)
	g.clock.Advance(50 * time.Millisecond)
	a.Observe(testServer, none, a.ago(10))
	g.exchangeAll()
	g.checkAll(t, -1)
}

// TestRepeatedLimitApplies checks that a limit applies at all processes for as long as one process sees it stated.
func TestRepeatedLimitApplies(t *testing.T) {
	g := newGroup(3)
	for range 60 {
		g.processes[1].Observe(testServer, two, g.processes[1].ago(10))
		g.exchangeAll()
		g.clock.Advance(time.Second)
		for _, p := range g.processes {
			p.Expire()
		}
		g.checkAll(t, 2)
	}
	for _, p := range g.processes {
		assert.Equal(t, len(p.changes), 1, "it began once")
	}
}

// TestMergeIgnoresRecords checks that Merge ignores records that are invalid, too old or replaced.
func TestMergeIgnoresRecords(t *testing.T) {
	tests := map[string]serverlimit.Record{
		"no server":    {Sequence: 9, Limited: true, PerSecond: 1},
		"negative":     {Server: testServer, Sequence: 9, Limited: true, PerSecond: -1},
		"huge":         {Server: testServer, Sequence: 9, Limited: true, PerSecond: 1e300},
		"of later on":  {Server: testServer, Sequence: 9, Limited: true, PerSecond: 1, AgeMs: -5},
		"too old":      {Server: testServer, Sequence: 9, Limited: true, PerSecond: 1, AgeMs: 31_000},
		"older word":   {Server: testServer, Sequence: 1, Limited: true, PerSecond: 1},
		"no record":    {},
		"an older end": {Server: testServer, Sequence: 2},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			p := newProcess()
			p.Observe(testServer, two, p.ago(10))
			p.clock.Advance(time.Second)
			p.Observe(testServer, five, p.ago(10))
			p.Merge([]serverlimit.Record{r})
			assert.Equal(t, p.limit(), 5.0)
		})
	}
}

// TestManyServers checks that more records than fit in one message all arrive.
func TestManyServers(t *testing.T) {
	const servers = 730
	g := newGroup(2)
	for i := range servers {
		g.processes[1].Observe(fmt.Sprint("s", i), two, g.processes[1].ago(10))
	}
	for range 4 {
		g.exchange(1, false)
	}
	assert.Equal(t, len(g.processes[0].List()), servers)
}

// TestAnyOrderOfExchanges checks with random responses, exchanges, lost replies and delays that all processes agree on
// the limit once the server states only that one and all have exchanged.
func TestAnyOrderOfExchanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(4)
		readings := []serverlimit.Reading{none, two, five}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			g.clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(1, 3).Draw(t, "process")
			if rapid.Bool().Draw(t, "exchanges") {
				g.exchange(i, rapid.Bool().Draw(t, "lost"))
				continue
			}
			took := rapid.IntRange(0, 2000).Draw(t, "took")
			g.processes[i].Observe(testServer, rapid.SampledFrom(readings).Draw(t, "reading"), g.processes[i].ago(took))
		}
		last := rapid.SampledFrom(readings).Draw(t, "last")
		for range 2 {
			for i := range g.processes {
				g.clock.Advance(10 * time.Millisecond)
				g.processes[i].Observe(testServer, last, g.processes[i].ago(1))
			}
			for range 2 {
				for i := range g.processes[1:] {
					g.exchange(i+1, false)
				}
			}
		}
		want := last.PerSecond
		if last.Kind == serverlimit.None {
			want = -1
		}
		for i, p := range g.processes {
			if p.limit() != want {
				t.Fatalf("process %d has limit %v, want %v", i, p.limit(), want)
			}
		}
	})
}
