package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
)

// TestListIsEncodedOnce checks that requests for the same list share one encoded message, and that a change of an entry leads
// to a new one.
func TestListIsEncodedOnce(t *testing.T) {
	store := kvtest.New(clocktest.Real{})
	for i := range 1000 {
		store.Set(fmt.Sprint("a/", i), []byte("1"))
	}
	f := kv.NewFanout(kv.FanoutOptions{Clock: clocktest.Real{}, MaxAge: time.Hour, IsWatcher: func() bool { return true }})
	view := f.View(store, false)
	cache := newListCache(f)
	_, ok, err := cache.list("a/")
	assert.NilError(t, err)
	assert.Assert(t, !ok, "a prefix that is not known was listed")

	list := func() *byte {
		_, _, err := view.ListPrefix(t.Context(), "a/")
		assert.NilError(t, err)
		message, ok, err := cache.list("a/")
		assert.NilError(t, err)
		assert.Assert(t, ok)
		return &message.Body[0]
	}
	first := list()
	assert.Equal(t, list(), first)
	store.Set("a/1", []byte("2"))
	second := list()
	assert.Assert(t, second != first, "a change is missing")
	assert.Equal(t, list(), second)
}
