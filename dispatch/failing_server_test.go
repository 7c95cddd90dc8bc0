package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

func TestStalledServer(t *testing.T) {
	c := clocktest.New(time.Now())
	d := dispatcher(c, engine("a"), engine("b"))
	first, err := d.Acquire(canceledContext(), request(c))
	assert.NilError(t, err)
	c.Advance(3 * time.Second)
	for range 5 {
		res, err := d.Acquire(canceledContext(), request(c))
		assert.NilError(t, err)
		assert.Assert(t, res.Server().ID != first.Server().ID)
		res.FirstByte()
	}
	first.FirstByte()
	res, err := d.Acquire(canceledContext(), request(c))
	assert.NilError(t, err)
	assert.Equal(t, res.Server().ID, first.Server().ID, "a server that spoke again is chosen again")
}

func TestFailingServerReturns(t *testing.T) {
	c := clocktest.New(time.Now())
	d := dispatcher(c, engine("a"), engine("b"))
	bad, err := d.Acquire(canceledContext(), request(c))
	assert.NilError(t, err)
	bad.Done(dispatch.Failed)
	for range 3 {
		res, err := d.Acquire(canceledContext(), request(c))
		assert.NilError(t, err)
		assert.Assert(t, res.Server().ID != bad.Server().ID)
	}
	c.Advance(30 * time.Second)
	seen := make(map[string]bool)
	for range 4 {
		res, err := d.Acquire(canceledContext(), request(c))
		assert.NilError(t, err)
		seen[res.Server().ID] = true
	}
	assert.Assert(t, seen[bad.Server().ID], "a server that failed long ago is tried again")
}

// TestMisdirectedRequest checks that an engine that refused a model it does not hold is not asked
// for it for a while but still receives requests for other models, and that a request waits if
// there is no other engine.
func TestMisdirectedRequest(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	e := engine("e1")
	e.Residents = append(e.Residents, backend.Resident{Model: "other"})
	d := dispatcher(c, e)
	res, err := d.Acquire(canceledContext(), request(c))
	assert.NilError(t, err)
	res.Done(dispatch.Misdirected)
	other := request(c)
	other.Model = "other"
	res, err = d.Acquire(canceledContext(), other)
	assert.NilError(t, err)
	res.Done(dispatch.Answered)
	got := acquire(d, request(c))
	poll.WaitOn(t, waiting(d, 1))
	c.Advance(2 * time.Second)
	assert.Assert(t, <-got != nil)
}
