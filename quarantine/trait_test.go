package quarantine_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/quarantine"
)

// parts returns the traits of a prompt that ends with a part of its own.
func parts(ids ...string) []quarantine.Trait { return quarantine.PartTraits("llm", append(ids, "own")) }

// crash records the crash of a server with traits, all of them on trial or none.
func crash(t *quarantine.Table, server string, onTrial bool, traits ...quarantine.Trait) {
	list := make([]quarantine.Suspect, len(traits))
	for i, x := range traits {
		list[i] = quarantine.Suspect{Trait: x, OnTrial: onTrial}
	}
	t.RecordCrash(server, list...)
}

func isQuarantined(t *quarantine.Table, traits []quarantine.Trait) bool {
	_, _, held := t.Quarantine(traits...)
	return held
}

func TestPartTraits(t *testing.T) {
	tests := map[string]struct {
		ids  []string
		want []string
	}{
		"no header":                    {},
		"only the last":                {ids: []string{"a"}},
		"the last is left out":         {ids: []string{"a", "b", "c"}, want: []string{"a", "b"}},
		"repeated":                     {ids: []string{"a", "a", "b", "c"}, want: []string{"a", "b"}},
		"repeated, the last one too":   {ids: []string{"a", "b", "a"}, want: []string{"a", "b"}},
		"malformed, in the last place": {ids: []string{"a", "b", ""}, want: []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, x := range quarantine.PartTraits("llm", test.ids) {
				assert.Equal(t, x.Kind, quarantine.Part)
				got = append(got, x.Name)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
	var many []string
	for i := range 1000 {
		many = append(many, fmt.Sprint(i))
	}
	assert.Equal(t, len(quarantine.PartTraits("llm", many)), 256)
	assert.Assert(t, quarantine.PartTraits("llm", []string{"a", "b"})[0].Key != quarantine.PartTraits("app", []string{"a", "b"})[0].Key)
}

// TestPartQuarantine checks which crashes and answers lead to the quarantine of a part.
func TestPartQuarantine(t *testing.T) {
	x := parts("x")
	tests := map[string]struct {
		do      func(t *quarantine.Table, c *clocktest.Clock)
		held    bool
		crashes int
	}{
		"many crashes, none in a trial": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			for i := range 20 {
				crash(t, fmt.Sprint("s", i), false, x...)
			}
		}, crashes: 8},
		"one crash and two in trials": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			crash(t, "a", false, x...)
			crash(t, "b", true, x...)
			crash(t, "c", true, x...)
		}, crashes: 3, held: true},
		"two crashes in trials only": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			crash(t, "a", true, x...)
			crash(t, "b", true, x...)
		}, crashes: 2},
		"the trials of one server twice": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			crash(t, "a", false, x...)
			crash(t, "b", false, x...)
			crash(t, "c", true, x...)
			crash(t, "c", true, x...)
		}, crashes: 3},
		"many crashes before the trials": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			for i := range 20 {
				crash(t, fmt.Sprint("s", i), false, x...)
			}
			crash(t, "b", true, x...)
			crash(t, "c", true, x...)
		}, crashes: 8, held: true},
		"an answer between": {do: func(t *quarantine.Table, c *clocktest.Clock) {
			crash(t, "a", false, x...)
			crash(t, "b", true, x...)
			t.RecordAnswer(x...)
			c.Advance(3 * time.Second)
			crash(t, "c", true, x...)
		}, crashes: 1},
		"an answer shortly before": {do: func(t *quarantine.Table, c *clocktest.Clock) {
			t.RecordAnswer(x...)
			c.Advance(time.Second)
			crash(t, "a", false, x...)
			crash(t, "b", false, x...)
		}},
		"an answer shortly before, and crashes go on": {do: func(t *quarantine.Table, c *clocktest.Clock) {
			t.RecordAnswer(x...)
			c.Advance(100 * time.Millisecond)
			crash(t, "a", false, x...)
			c.Advance(time.Second)
			crash(t, "b", false, x...)
		}, crashes: 1},
		"an answer long before": {do: func(t *quarantine.Table, c *clocktest.Clock) {
			t.RecordAnswer(x...)
			c.Advance(3 * time.Second)
			crash(t, "a", false, x...)
		}, crashes: 1},
		"an answer with another part": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			crash(t, "a", false, parts("x", "y")...)
			t.RecordAnswer(parts("y")...)
		}, crashes: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(0, 0))
			var changes []quarantine.Change
			table := newTable(c, &changes)
			test.do(table, c)
			assert.Equal(t, isQuarantined(table, x), test.held)
			assert.Equal(t, table.Crashes(x[0].Key), test.crashes)
			assert.Equal(t, len(table.Suspects(x...)), min(test.crashes, 1))
		})
	}
}

// TestPartQuarantineTime checks that a part is tested again sooner than a content, and that its quarantine doubles with
// each trial that makes a server crash.
func TestPartQuarantineTime(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	var changes []quarantine.Change
	table := newTable(c, &changes)
	x := parts("x")
	crash(table, "a", false, x...)
	crash(table, "b", true, x...)
	crash(table, "c", true, x...)
	for i, want := range []time.Duration{2 * time.Minute, 4 * time.Minute, 8 * time.Minute} {
		trait, until, held := table.Quarantine(x...)
		assert.Assert(t, held)
		assert.DeepEqual(t, trait, x[0])
		assert.Equal(t, until.Sub(c.Now()), want)
		c.Advance(want)
		table.Expire()
		assert.Assert(t, !isQuarantined(table, x))
		assert.Equal(t, len(table.Suspects(x...)), 1, "it is still tested one request at a time")
		crash(table, fmt.Sprint("later", i), true, x...)
	}
}

// TestAnswerElsewhereClearsPart checks that a process that has answered a request with a part clears its crashes
// everywhere, if the answer came after the crash or shortly before it.
func TestAnswerElsewhereClearsPart(t *testing.T) {
	tests := map[string]struct {
		answered, crashed, exchanged time.Duration
		cleared                      bool
	}{
		"after the crash":       {answered: 1 * time.Second, crashed: 500 * time.Millisecond, exchanged: 2 * time.Second, cleared: true},
		"shortly before it":     {answered: 500 * time.Millisecond, crashed: 1 * time.Second, exchanged: 2 * time.Second, cleared: true},
		"long before it":        {answered: 0, crashed: 4 * time.Second, exchanged: 5 * time.Second},
		"long before the reply": {answered: 1 * time.Second, crashed: 500 * time.Millisecond, exchanged: 8 * time.Second, cleared: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(100, 0))
			hub, a, b := newNode(c), newNode(c), newNode(c)
			x := parts("x")
			start := c.Now()
			for at := time.Duration(0); at <= test.exchanged; at += 100 * time.Millisecond {
				c.Advance(start.Add(at).Sub(c.Now()))
				if at == test.answered {
					b.table.RecordAnswer(x...)
				}
				if at == test.crashed {
					crash(a.table, "s", false, x...)
				}
			}
			for range 3 {
				a.exchange("hub", hub, false)
				b.exchange("hub", hub, false)
			}
			for i, n := range []*node{hub, a, b} {
				assert.Equal(t, n.table.Crashes(x[0].Key) == 0, test.cleared, "process %d", i)
			}
		})
	}
}

// TestRecordsOfEarlierVersion checks that a record that lost its kind, name and trials on the way through a process of an
// earlier version takes nothing from a table that has them.
func TestRecordsOfEarlierVersion(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	a := newNode(c)
	x := parts("x")
	crash(a.table, "a", false, x...)
	crash(a.table, "b", true, x...)
	crash(a.table, "c", true, x...)
	r, _ := a.table.Record(x[0].Key)
	stripped := quarantine.Record{Key: r.Key, Generation: r.Generation, Servers: r.Servers, AgeMs: r.AgeMs}
	a.table.Merge([]quarantine.Record{stripped})
	assert.Assert(t, isQuarantined(a.table, x))
	b := newNode(c)
	b.table.Merge([]quarantine.Record{stripped})
	b.table.Merge([]quarantine.Record{r})
	assert.Assert(t, isQuarantined(b.table, x))
	got, _ := b.table.Record(x[0].Key)
	assert.DeepEqual(t, got, r)
}

// TestPartRecordsMergeInAnyOrder checks that processes agree on parts after random crashes, answers, lost replies and
// merges, once the records have been exchanged.
func TestPartRecordsMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			c := clocktest.New(time.Unix(0, 0))
			hub := newNode(c)
			nodes := []*node{newNode(c), newNode(c), newNode(c), newNode(c)}
			for step := range 200 {
				c.Advance(time.Duration(r.IntN(300)) * time.Millisecond)
				n := nodes[r.IntN(len(nodes))]
				x := parts(fmt.Sprint("p", r.IntN(4)))
				switch r.IntN(6) {
				case 0, 1:
					crash(n.table, fmt.Sprint("s", step), r.IntN(2) == 0, x...)
				case 2:
					if r.IntN(3) == 0 {
						n.table.RecordAnswer(x...)
					}
				default:
					n.exchange("hub", hub, r.IntN(3) == 0)
				}
			}
			// No answer is remembered any more, and all records are exchanged.
			c.Advance(11 * time.Second)
			for range 3 {
				for _, n := range nodes {
					n.table.Expire()
					n.exchange("hub", hub, false)
				}
			}
			for i := range 4 {
				x := parts(fmt.Sprint("p", i))
				want, _ := hub.table.Record(x[0].Key)
				for _, n := range nodes {
					got, _ := n.table.Record(x[0].Key)
					assert.Equal(t, got.Generation, want.Generation)
					assert.Equal(t, isQuarantined(n.table, x), isQuarantined(hub.table, x))
				}
			}
		})
	}
}

// BenchmarkAnsweredPrompt measures what an answered request with three shared parts costs: its traits, the checks before
// it is sent, and its answer. Requests cost none of this when the quarantine knew only contents.
func BenchmarkAnsweredPrompt(b *testing.B) {
	c := clocktest.New(time.Unix(0, 0))
	var changes []quarantine.Change
	table := newTable(c, &changes)
	for b.Loop() {
		x := parts("5c1e07a2", "91bd3f06", "e4402b7d")
		stop := table.Watch(x, func() {})
		table.Quarantine(x...)
		table.Suspects(x...)
		table.RecordAnswer(x...)
		stop()
	}
}

// BenchmarkPartRecord measures the size of the record of a part with one crash and with three.
func BenchmarkPartRecord(b *testing.B) {
	c := clocktest.New(time.Unix(0, 0))
	var changes []quarantine.Change
	table := newTable(c, &changes)
	x := parts("91bd3f06")
	size := func() float64 {
		r, _ := table.Record(x[0].Key)
		encoded, err := json.Marshal(r)
		assert.NilError(b, err)
		return float64(len(encoded))
	}
	crash(table, "i-9135902773@1769756790813", false, x...)
	one := size()
	crash(table, "i-9135902774@1769756790813", true, x...)
	crash(table, "i-9135902775@1769756790813", true, x...)
	for b.Loop() {
		table.Record(x[0].Key)
	}
	b.ReportMetric(one, "B/1crash")
	b.ReportMetric(size(), "B/3crashes")
}
