package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/quarantine"
)

// hold is the duration of a first quarantine in these tests.
const hold = 10 * time.Minute

// key returns the key of request number i.
func key(i int) quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{Target: fmt.Sprint("/", i)})
}

// suspects returns the contents with the given keys as suspects of a crash.
func suspects(keys ...quarantine.Key) []quarantine.Suspect {
	list := make([]quarantine.Suspect, len(keys))
	for i, k := range keys {
		list[i] = quarantine.Suspect{Trait: quarantine.ContentTrait(k)}
	}
	return list
}

// contents returns the contents with the given keys as traits.
func contents(keys ...quarantine.Key) []quarantine.Trait {
	list := make([]quarantine.Trait, len(keys))
	for i, k := range keys {
		list[i] = quarantine.ContentTrait(k)
	}
	return list
}

// newTable returns a table that appends its changes to a list.
func newTable(c *clocktest.Clock, changes *[]quarantine.Change) *quarantine.Table {
	return quarantine.New(quarantine.Options{
		Clock: c, CrashThreshold: quarantine.DefaultCrashThreshold, Duration: hold,
		OnChange: func(c quarantine.Change) { *changes = append(*changes, c) },
	})
}

func TestCrashes(t *testing.T) {
	tests := map[string]struct {
		do   func(t *quarantine.Table, c *clocktest.Clock)
		held bool
		ends int
	}{
		"none": {do: func(*quarantine.Table, *clocktest.Clock) {}},
		"two servers": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1))...)
			t.RecordCrash("b", suspects(key(1))...)
		}, ends: 2},
		"three servers": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1))...)
			t.RecordCrash("b", suspects(key(1))...)
			t.RecordCrash("c", suspects(key(1))...)
		}, ends: 3, held: true},
		"one server, seen three times": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			for range 3 {
				t.RecordCrash("a", suspects(key(1))...)
			}
		}, ends: 1},
		"under another request": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1), key(2))...)
			t.RecordCrash("b", suspects(key(1), key(2))...)
			t.RecordCrash("c", suspects(key(2))...)
		}, ends: 2},
		"a run that went well between": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1))...)
			t.RecordCrash("b", suspects(key(1))...)
			t.Clear(key(1))
			t.RecordCrash("c", suspects(key(1))...)
		}, ends: 1},
		"a run that went well after": {do: func(t *quarantine.Table, _ *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1))...)
			t.RecordCrash("b", suspects(key(1))...)
			t.RecordCrash("c", suspects(key(1))...)
			t.Clear(key(1))
		}},
		"the time is over": {do: func(t *quarantine.Table, c *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1))...)
			t.RecordCrash("b", suspects(key(1))...)
			t.RecordCrash("c", suspects(key(1))...)
			c.Advance(hold)
		}, ends: 3},
		"one more end after that": {do: func(t *quarantine.Table, c *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1))...)
			t.RecordCrash("b", suspects(key(1))...)
			t.RecordCrash("c", suspects(key(1))...)
			c.Advance(hold)
			t.RecordCrash("d", suspects(key(1))...)
			c.Advance(2*hold - time.Second)
		}, ends: 4, held: true},
		"ends that are too old": {do: func(t *quarantine.Table, c *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1))...)
			t.RecordCrash("b", suspects(key(1))...)
			c.Advance(hold + time.Second)
			t.Expire()
			t.RecordCrash("c", suspects(key(1))...)
		}, ends: 1},
		"a quarantine long ago": {do: func(t *quarantine.Table, c *clocktest.Clock) {
			t.RecordCrash("a", suspects(key(1))...)
			t.RecordCrash("b", suspects(key(1))...)
			t.RecordCrash("c", suspects(key(1))...)
			c.Advance(2*hold + time.Second)
			t.Expire()
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(0, 0))
			var changes []quarantine.Change
			table := newTable(c, &changes)
			test.do(table, c)
			_, _, held := table.Quarantine(quarantine.ContentTrait(key(1)))
			assert.Equal(t, held, test.held)
			assert.Equal(t, table.Crashes(key(1)), test.ends)
		})
	}
}

// TestChanges checks that OnChange is called once for the beginning and once for the end of each quarantine.
func TestChanges(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	var changes []quarantine.Change
	table := newTable(c, &changes)
	for i := range 5 {
		table.RecordCrash(fmt.Sprint("s", i), suspects(key(1), key(2))...)
	}
	assert.Equal(t, len(changes), 2, "one for each request")
	assert.Equal(t, changes[0].Kind, quarantine.Began)
	assert.Equal(t, len(changes[0].Servers), 3)
	held, suspected := table.Counts()
	assert.Equal(t, held, 2)
	assert.Equal(t, suspected, 0)
	assert.Assert(t, table.Clear(key(1)))
	assert.Equal(t, len(changes), 3)
	assert.Equal(t, changes[2].Kind, quarantine.Cleared)
	assert.Assert(t, !table.Clear(key(1)), "there are no ends left")
	c.Advance(4 * hold)
	table.Expire()
	assert.Equal(t, len(changes), 4)
	assert.Equal(t, changes[3].Kind, quarantine.Expired)
	assert.Equal(t, changes[3].Trait.Key, key(2))
}

func TestWatch(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	var changes []quarantine.Change
	table := newTable(c, &changes)
	woken, stopped := 0, 0
	table.Watch(contents(key(1)), func() { woken++ })
	stop := table.Watch(contents(key(1)), func() { stopped++ })
	stop()
	table.Watch(contents(key(2)), func() { t.Error("watcher of another request was called") })
	for i := range 5 {
		table.RecordCrash(fmt.Sprint("s", i), suspects(key(1))...)
	}
	assert.Equal(t, woken, 1)
	assert.Equal(t, stopped, 0)
}

// TestTableIsBounded checks that a table with too many requests keeps those with the most crashes.
func TestTableIsBounded(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	var changes []quarantine.Change
	table := newTable(c, &changes)
	for _, server := range []string{"a", "b", "c"} {
		table.RecordCrash(server, suspects(key(0))...)
	}
	for i := 1; i < 20_000; i++ {
		table.RecordCrash("d", suspects(key(i))...)
	}
	held, suspected := table.Counts()
	assert.Equal(t, held, 1)
	assert.Assert(t, suspected <= 4096, "%d requests are kept", suspected)
	assert.Equal(t, table.List()[0].Key, key(0))
}

// BenchmarkFullTable measures the memory of a nearly full table and the time to record a crash with 64 requests.
// The table, with one crash for each record, takes 0.80 MB (0.54 MB when it held contents only).
func BenchmarkFullTable(b *testing.B) {
	c := clocktest.New(time.Unix(0, 0))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := quarantine.New(quarantine.Options{Clock: c, CrashThreshold: quarantine.DefaultCrashThreshold, Duration: hold})
	for i := range 4000 {
		table.RecordCrash("i-9135902773@1769756790813", suspects(key(i))...)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	keys := make([]quarantine.Key, 64)
	for i := range keys {
		keys[i] = key(i)
	}
	n := 0
	for b.Loop() {
		n++
		table.RecordCrash(fmt.Sprint("s", n), suspects(keys...)...)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	runtime.KeepAlive(table)
}
