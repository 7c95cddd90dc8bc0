package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestStoreComesBackFromACopy restores the store from a backup with an older configuration, different servers and no lease.
// No gateway may use the old configuration or the removed server, the new server must be used, the next leader must get
// a higher token, and the number of calls to the store must stay bounded.
func TestStoreComesBackFromACopy(t *testing.T) {
	stays, gone := newWorker(t, "stays", answer(http.StatusOK, "yes")), newWorker(t, "gone", answer(http.StatusOK, "yes"))
	w := newWorld(t, stays, gone)
	members := startFleet(t, w, 2)
	copied := w.store.Copy()
	for range 60 {
		w.store.Set("other", nil)
	}
	w.store.Remove(prefix + gone.id)
	comes := newWorker(t, "comes", answer(http.StatusOK, "yes"))
	w.putServer(comes, false)
	w.routing.Version++
	w.routing.Routes = w.routing.Routes[:2]
	w.putConfig()
	for _, m := range members {
		m.await(t, w, pathStream, http.StatusNotFound)
	}
	w.waitLines("leadership gained", 1)
	first := w.lastToken()

	w.store.Restore(copied)
	calls := w.storeCalls()
	began := time.Now()
	before := gone.count()
	for time.Since(began) < 3*time.Second {
		for _, m := range members {
			m.await(t, w, pathSafe, http.StatusOK)
			m.await(t, w, pathStream, http.StatusNotFound)
		}
	}
	assert.Equal(t, gone.count(), before, "it had gone")
	for _, line := range w.logs.FilterMessage("server gone").All() {
		assert.Assert(t, line.ContextMap()["server"] != comes.id, "it was known before")
	}
	assert.Assert(t, w.storeCalls()-calls < 150, "%d calls in 3 s", w.storeCalls()-calls)
	w.waitLines("store came back from a copy", 3)

	w.putServer(comes, false)
	w.putConfig()
	w.waitLines("leadership gained", 2)
	assert.Assert(t, w.lastToken() > first, "%d after %d", w.lastToken(), first)
	later := newWorker(t, "later", answer(http.StatusOK, "yes"))
	w.putServer(later, false)
	w.putServer(stays, true)
	w.putServer(comes, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		used := later.count()
		for _, m := range members {
			m.await(t, w, pathSafe, http.StatusOK)
		}
		if later.count() < used+len(members) {
			return poll.Continue("the new server is not used by all")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// TestPriceOfACopy checks that a restore of the store causes at most twice as many calls to it as the loss of the leader.
func TestPriceOfACopy(t *testing.T) {
	// after covers the time without a leader and the first round of the next one.
	const after = 6 * time.Second
	disturbances := map[string]func(w *world){
		"leader stops": func(w *world) { stopNow(w) },
		"copy": func(w *world) {
			value, err := w.store.Get(w.t.Context(), keyConfig)
			assert.NilError(w.t, err)
			w.store.Restore(w.store.Copy())
			w.store.Set(keyConfig, value.Value)
		},
	}
	for _, gateways := range []int{6, 24} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			calls := make(map[string]int)
			for name, disturb := range disturbances {
				x := newWorker(t, "a", answer(http.StatusOK, "yes"))
				w := newWorld(t, x)
				startFleet(t, w, gateways-1)
				w.waitLines("leadership gained", 1)
				before := w.storeCalls()
				disturb(w)
				<-time.After(after)
				w.waitLines("leadership gained", 2)
				calls[name] = w.storeCalls() - before
			}
			t.Logf("calls in %s: %v", after, calls)
			assert.Assert(t, calls["copy"] <= 2*calls["leader stops"], "%v", calls)
		})
	}
}

// storeCalls returns the total number of calls to the store.
func (w *world) storeCalls() int {
	sum := 0
	for _, call := range storeCalls {
		sum += w.store.Calls(call)
	}
	return sum
}

// lastToken returns the token of the most recent leader.
func (w *world) lastToken() int64 {
	lines := w.logs.FilterMessage("leadership gained").All()
	return lines[len(lines)-1].ContextMap()["token"].(int64)
}
