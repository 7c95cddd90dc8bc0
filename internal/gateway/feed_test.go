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

// A countedStore counts a gateway's calls to the store.
type countedStore struct {
	kv.PrefixStore
	calls atomic.Int64
}

// ListPrefix implements kv.PrefixStore.
func (s *countedStore) ListPrefix(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	s.calls.Add(1)
	return s.PrefixStore.ListPrefix(ctx, prefix)
}

// WatchPrefix implements kv.PrefixStore.
func (s *countedStore) WatchPrefix(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Event, kv.Revision, error) {
	s.calls.Add(1)
	return s.PrefixStore.WatchPrefix(ctx, prefix, after, wait)
}

// A member is one gateway of a fleet.
type member struct {
	front, ready, peer string
	store              *cutStore
	counted            *countedStore
}

// startFleet starts n gateways in addition to that of w. All of them have w's gateway as a seed.
func startFleet(t *testing.T, w *world, n int) []*member {
	t.Helper()
	members := make([]*member, n)
	for i := range members {
		members[i] = startMember(t, w, fmt.Sprint("g", i), w.peer)
	}
	for _, m := range members {
		m.await(t, w, pathSafe, http.StatusOK)
	}
	return members
}

func startMember(t *testing.T, w *world, id, seed string) *member {
	t.Helper()
	s := gatewaySettings(t, id)
	s.Seeds = []string{seed}
	m := &member{front: s.Listen, ready: s.ReadyListen, peer: s.PeerListen}
	m.counted = &countedStore{PrefixStore: w.store}
	m.store = &cutStore{PrefixStore: m.counted}
	w.startGateway(s, m.store)
	return m
}

// await waits until a request to the gateway is answered with status.
func (m *member) await(t *testing.T, w *world, path string, status int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		req, err := http.NewRequest(http.MethodGet, "http://"+m.front+path, nil)
		assert.NilError(t, err)
		req.Host = host
		req.Header.Set(names.RequestID, "id-1")
		if r := w.do(req); r.status != status {
			return poll.Continue("status %d, %v", r.status, r.err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestFleetFollowsTheStoreThroughOneGateway checks that changes reach all gateways of a fleet with more than one tree
// level, while gateways that do not lead make almost no calls to the store.
func TestFleetFollowsTheStoreThroughOneGateway(t *testing.T) {
	w := newWorld(t, newWorker(t, "s1", answer(http.StatusOK, "one")))
	members := startFleet(t, w, relay.Width+4)
	calls := func() (sum int64) {
		for _, m := range members {
			sum += m.counted.calls.Load()
		}
		return sum
	}
	before := calls()
	const changes = 10
	for i := range changes {
		w.routing.Version++
		w.routing.Routes = routes()
		status := http.StatusOK
		if i%2 == 0 {
			w.routing.Routes = w.routing.Routes[:1]
			status = http.StatusNotFound
		}
		w.putConfig()
		for _, m := range members {
			m.await(t, w, pathSafe, status)
		}
	}
	assert.Assert(t, calls()-before < int64(len(members)), "%d calls to the store by gateways that do not lead", calls()-before)
}

// TestGatewayStartsWithoutTheStore checks that a gateway without access to the store gets its state from another gateway.
func TestGatewayStartsWithoutTheStore(t *testing.T) {
	w := newWorld(t, newWorker(t, "s1", answer(http.StatusOK, "one")))
	s := gatewaySettings(t, "late")
	s.Seeds = []string{w.peer}
	m := &member{front: s.Listen}
	store := &cutStore{PrefixStore: w.store}
	store.cut.Store(true)
	w.startGateway(s, store)
	m.await(t, w, pathSafe, http.StatusOK)
}

// TestFleetWithoutItsLeader checks that a change reaches all other gateways after the leader was stopped.
func TestFleetWithoutItsLeader(t *testing.T) {
	w := newWorld(t, newWorker(t, "s1", answer(http.StatusOK, "one")))
	members := startFleet(t, w, relay.Width+4)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = w.gateway.Stop(ctx)
	w.routing.Version++
	w.routing.Routes = w.routing.Routes[:1]
	w.putConfig()
	for _, m := range members {
		m.await(t, w, pathSafe, http.StatusNotFound)
	}
}
