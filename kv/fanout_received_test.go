package kv_test

import (
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
)

// TestFanoutListUsesForwardedData checks that lists which wait for forwarded data use it as soon as it comes, and do
// not find it without the time at which it was current, which would send them to the service.
func TestFanoutListUsesForwardedData(t *testing.T) {
	const processes = 20_000
	away := &slowListStore{err: errors.New("the service was asked")}
	source := kv.NewFanout(kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: time.Hour, IsWatcher: func() bool { return true }})
	_, _, err := source.View(&fixedListStore{entries: []kv.Entry{{Key: "a/1", Revision: 1}}, at: 5}, false).ListPrefix(t.Context(), "a/")
	assert.NilError(t, err)
	batch, ok := source.List("a/")
	assert.Assert(t, ok)
	var lists sync.WaitGroup
	for range processes {
		f := kv.NewFanout(kv.FanoutOptions{
			Clock: clocktest.Real{}, MaxAge: time.Hour, IsWatcher: func() bool { return false },
			ListWait: func() time.Duration { return time.Hour },
		})
		lists.Go(func() {
			_, at, err := f.View(away, false).ListPrefix(t.Context(), "a/")
			assert.Check(t, err)
			assert.Check(t, at == kv.Revision(5))
		})
		lists.Go(func() { f.Apply(map[string]kv.Batch{"a/": batch}, time.Now()) })
	}
	lists.Wait()
}
