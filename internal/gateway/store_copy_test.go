package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestStoreRestore restores the store from a backup with an older configuration, different servers and no lease.
// No gateway may use the old configuration or the removed server, the new server must be used, the next leader must get
// a higher token, and the number of calls to the store must stay bounded.
func TestStoreRestore(t *testing.T) {
	// restoreGrace is how long the gateways keep a server that the restored store lacks.
	const restoreGrace = 3 * time.Second

	kept, removed := newFakeServer(t, "stays", respond(http.StatusOK, "yes")), newFakeServer(t, "gone", respond(http.StatusOK, "yes"))
	env := newTestEnv(t, kept, removed)
	members := startFleet(t, env, 2)
	backup := env.store.Backup()
	for range 60 {
		env.store.Set("other", nil)
	}
	env.store.Remove(prefix + removed.id)
	added := newFakeServer(t, "comes", respond(http.StatusOK, "yes"))
	env.putServer(added, false)
	env.routing.Version++
	env.routing.Routes = env.routing.Routes[:2]
	env.putConfig()
	for _, m := range members {
		m.await(t, env, pathStream, http.StatusNotFound)
	}
	env.awaitLines("leadership gained", 1)
	env.awaitLines("server gone", 1+len(members))
	first := env.lastToken()

	began := time.Now()
	env.store.Restore(backup)
	calls := env.storeCalls()
	before := removed.count()
	for time.Since(began) < restoreGrace {
		for _, m := range members {
			m.await(t, env, pathSafe, http.StatusOK)
			m.await(t, env, pathStream, http.StatusNotFound)
		}
	}
	assert.Equal(t, removed.count(), before, "it had gone")
	for _, line := range env.logs.FilterMessage("server gone").All() {
		after := line.Time.Sub(began)
		assert.Assert(t, line.ContextMap()["server"] != added.id || after >= restoreGrace, "dropped after %v: it was known before", after)
	}
	assert.Assert(t, env.storeCalls()-calls < 150, "%d calls in 3 s", env.storeCalls()-calls)
	env.awaitLines("store restored from a backup", 3)

	env.putServer(added, false)
	env.putConfig()
	env.awaitLines("leadership gained", 2)
	assert.Assert(t, env.lastToken() > first, "%d after %d", env.lastToken(), first)
	newest := newFakeServer(t, "later", respond(http.StatusOK, "yes"))
	env.putServer(newest, false)
	env.putServer(kept, true)
	env.putServer(added, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		used := newest.count()
		for _, m := range members {
			m.await(t, env, pathSafe, http.StatusOK)
		}
		if newest.count() < used+len(members) {
			return poll.Continue("the new server is not used by all")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// TestStoreCallsAfterRestore checks that a restore of the store causes at most twice as many calls to it as a stop of
// the leader.
func TestStoreCallsAfterRestore(t *testing.T) {
	// after covers the time without a leader and the new leader's first calls to the store.
	const after = 6 * time.Second
	disturbances := map[string]func(env *testEnv){
		"leader stops": func(env *testEnv) { stopNow(env) },
		"copy": func(env *testEnv) {
			value, err := env.store.Get(env.t.Context(), keyConfig)
			assert.NilError(env.t, err)
			env.store.Restore(env.store.Backup())
			env.store.Set(keyConfig, value.Value)
		},
	}
	for _, gateways := range []int{6, 24} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			calls := make(map[string]int)
			for name, disturb := range disturbances {
				server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
				env := newTestEnv(t, server)
				startFleet(t, env, gateways-1)
				env.awaitLines("leadership gained", 1)
				before := env.storeCalls()
				disturb(env)
				<-time.After(after)
				env.awaitLines("leadership gained", 2)
				calls[name] = env.storeCalls() - before
			}
			t.Logf("calls in %s: %v", after, calls)
			assert.Assert(t, calls["copy"] <= 2*calls["leader stops"], "%v", calls)
		})
	}
}

// storeCalls returns the total number of calls to the store.
func (env *testEnv) storeCalls() int {
	sum := 0
	for _, call := range storeCalls {
		sum += env.store.Calls(call)
	}
	return sum
}

// lastToken returns the token of the most recent leader.
func (env *testEnv) lastToken() int64 {
	lines := env.logs.FilterMessage("leadership gained").All()
	return lines[len(lines)-1].ContextMap()["token"].(int64)
}
