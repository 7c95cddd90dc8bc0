package gateway_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/dispatch"
	"rockcleat/internal/config"
	"rockcleat/internal/placer"
	"rockcleat/kv/kvtest"
	"rockcleat/table"
)

// keyGateways is the store key of the list of gateways.
const keyGateways = "gateways"

// A storedFleet is the value stored under keyGateways.
type storedFleet struct {
	Gateways []placer.Gateway `json:"gateways"`
}

func (env *testEnv) storedGateways() []placer.Gateway {
	e, err := env.store.Get(env.t.Context(), keyGateways)
	if err != nil {
		return nil
	}
	var stored storedFleet
	assert.NilError(env.t, json.Unmarshal(e.Value, &stored))
	return stored.Gateways
}

// TestListOfGatewaysIsKept checks that the leader writes the list of gateways to the store.
func TestListOfGatewaysIsKept(t *testing.T) {
	env := newTestEnv(t, newFakeServer(t, "s1", respond(http.StatusOK, "one")))
	startFleet(t, env, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(env.storedGateways()); n != 4 {
			return poll.Continue("%d gateways are listed", n)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestLimitAfterTheLossOfAllGateways checks that a gateway started after the loss of all gateways, while the former
// leader's lease is still valid, gets its share of a rate limit from the stored list.
func TestLimitAfterTheLossOfAllGateways(t *testing.T) {
	env := newKeyEnv(t, func(*config.Gateway) {}, newFakeServer(t, "s1", respond(http.StatusOK, "one")))
	env.routing.Organisations[0].RateLimit = table.RateLimit{Unit: table.UnitRequests, PerSecond: 10, Burst: 10}
	env.putConfig()
	s := gatewaySettings(t, "again")
	s.FirstStart = false
	lost := placer.Gateway{Gateway: dispatch.Gateway{ID: "lost", Hall: s.Hall}, Addr: freeAddr()}
	former, err := json.Marshal(storedFleet{Gateways: []placer.Gateway{
		{Gateway: dispatch.Gateway{ID: s.ID, Hall: s.Hall}, Addr: s.PeerListen}, lost,
	}})
	assert.NilError(t, err)
	env.store = env.copyStore()
	env.store.Set(keyGateways, former)
	env.store.Set("lease/placer", []byte(`{"holder":"lost","addr":"`+lost.Addr+`"}`))
	env.front = s.Listen
	env.startGateway(s, env.store)
	env.awaitStatus(http.StatusOK, guildKey)
	assert.Equal(t, env.logs.FilterMessage("leadership gained").Len(), 1, "by the gateway before")
	assert.Equal(t, env.logs.FilterMessage("list of gateways read").Len(), 1)
}

// copyStore returns a new store with the configuration and servers of env's store.
func (env *testEnv) copyStore() *kvtest.Store {
	env.t.Helper()
	s := kvtest.New(env.clock)
	for _, p := range []string{keyConfig, prefix} {
		entries, err := env.store.List(env.t.Context(), p)
		assert.NilError(env.t, err)
		for _, e := range entries {
			s.Set(e.Key, e.Value)
		}
	}
	return s
}
