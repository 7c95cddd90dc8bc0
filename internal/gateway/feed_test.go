package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/kv"
	"rockcleat/relay"
)

// A countingStore counts a gateway's calls to the store.
type countingStore struct {
	kv.PrefixStore
	calls atomic.Int64
}

// ListPrefix implements kv.PrefixStore.
func (s *countingStore) ListPrefix(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	s.calls.Add(1)
	return s.PrefixStore.ListPrefix(ctx, prefix)
}

// WatchPrefix implements kv.PrefixStore.
func (s *countingStore) WatchPrefix(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Event, kv.Revision, error) {
	s.calls.Add(1)
	return s.PrefixStore.WatchPrefix(ctx, prefix, after, wait)
}

// A fleetMember is one gateway of a fleet.
type fleetMember struct {
	front, ready, peer string
	store              *disconnectableStore
	counted            *countingStore
}

// startFleet starts n gateways in addition to that of env, which is the seed of all of them.
func startFleet(t *testing.T, env *testEnv, n int) []*fleetMember {
	t.Helper()
	members := make([]*fleetMember, n)
	for i := range members {
		members[i] = startMember(t, env, fmt.Sprint("g", i), env.peer)
	}
	for _, m := range members {
		m.await(t, env, pathSafe, http.StatusOK)
	}
	return members
}

func startMember(t *testing.T, env *testEnv, id, seed string) *fleetMember {
	t.Helper()
	s := gatewaySettings(t, id)
	s.Seeds = []string{seed}
	m := &fleetMember{front: s.Listen, ready: s.ReadyListen, peer: s.PeerListen}
	m.counted = &countingStore{PrefixStore: env.store}
	m.store = &disconnectableStore{PrefixStore: m.counted}
	env.startGateway(s, m.store)
	return m
}

// await waits until a request to the gateway gets a response with status.
func (m *fleetMember) await(t *testing.T, env *testEnv, path string, status int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		req, err := http.NewRequest(http.MethodGet, "http://"+m.front+path, nil)
		assert.NilError(t, err)
		req.Host = host
		req.Header.Set(names.RequestID, "id-1")
		if r := env.do(req); r.status != status {
			return poll.Continue("status %d, %v", r.status, r.err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestFleetFollowsTheStoreThroughOneGateway checks that changes reach all gateways of a fleet with more than one tree
// level, while gateways that do not lead make almost no calls to the store.
func TestFleetFollowsTheStoreThroughOneGateway(t *testing.T) {
	env := newTestEnv(t, newFakeServer(t, "s1", respond(http.StatusOK, "one")))
	members := startFleet(t, env, relay.Fanout+4)
	calls := func() (sum int64) {
		for _, m := range members {
			sum += m.counted.calls.Load()
		}
		return sum
	}
	before := calls()
	const changes = 10
	for i := range changes {
		env.routing.Version++
		env.routing.Routes = routes()
		status := http.StatusOK
		if i%2 == 0 {
			env.routing.Routes = env.routing.Routes[:1]
			status = http.StatusNotFound
		}
		env.putConfig()
		for _, m := range members {
			m.await(t, env, pathSafe, status)
		}
	}
	assert.Assert(t, calls()-before < int64(len(members)), "%d calls to the store by gateways that do not lead", calls()-before)
}

// TestGatewayStartsWithoutTheStore checks that a gateway without access to the store gets its state from another
// gateway.
func TestGatewayStartsWithoutTheStore(t *testing.T) {
	env := newTestEnv(t, newFakeServer(t, "s1", respond(http.StatusOK, "one")))
	s := gatewaySettings(t, "late")
	s.Seeds = []string{env.peer}
	m := &fleetMember{front: s.Listen}
	store := &disconnectableStore{PrefixStore: env.store}
	store.disconnected.Store(true)
	env.startGateway(s, store)
	m.await(t, env, pathSafe, http.StatusOK)
}

// TestFleetWithoutItsLeader checks that a change reaches all other gateways after the leader has stopped.
func TestFleetWithoutItsLeader(t *testing.T) {
	env := newTestEnv(t, newFakeServer(t, "s1", respond(http.StatusOK, "one")))
	members := startFleet(t, env, relay.Fanout+4)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = env.gateway.Stop(ctx)
	env.routing.Version++
	env.routing.Routes = env.routing.Routes[:1]
	env.putConfig()
	for _, m := range members {
		m.await(t, env, pathSafe, http.StatusNotFound)
	}
}
