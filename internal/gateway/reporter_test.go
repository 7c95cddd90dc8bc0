package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/kv"
)

// A disconnectableStore is a gateway's view of the store, which becomes unreachable when disconnected is set.
type disconnectableStore struct {
	kv.PrefixStore
	disconnected atomic.Bool
}

var errDisconnected = errors.New("store disconnected")

// ListPrefix implements kv.PrefixStore.
func (s *disconnectableStore) ListPrefix(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	if s.disconnected.Load() {
		return nil, 0, errDisconnected
	}
	return s.PrefixStore.ListPrefix(ctx, prefix)
}

// WatchPrefix implements kv.PrefixStore.
func (s *disconnectableStore) WatchPrefix(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Event, kv.Revision, error) {
	if s.disconnected.Load() {
		return nil, after, errDisconnected
	}
	events, at, err := s.PrefixStore.WatchPrefix(ctx, prefix, after, wait)
	if s.disconnected.Load() {
		return nil, after, errDisconnected
	}
	return events, at, err
}

// secondGateway starts a second gateway, directs requests to it and returns its view of the store.
func secondGateway(t *testing.T, env *testEnv) *disconnectableStore {
	t.Helper()
	store := &disconnectableStore{PrefixStore: env.store}
	s := gatewaySettings(t, "g2")
	env.startGateway(s, store)
	env.front, env.ready = s.Listen, s.ReadyListen
	env.awaitReady(http.StatusOK)
	return store
}

// TestGatewayCutFromTheStoreLearnsOfChanges checks that a gateway without access to the store receives changes of
// servers and of the configuration from the leader.
func TestGatewayCutFromTheStoreLearnsOfChanges(t *testing.T) {
	first, second := newFakeServer(t, "s1", respond(http.StatusOK, "one")), newFakeServer(t, "s2", respond(http.StatusOK, "two"))
	env := newTestEnv(t, first)
	store := secondGateway(t, env)
	assert.Equal(t, env.get(pathSafe).status, http.StatusOK)
	store.disconnected.Store(true)
	env.putServer(second, false)
	env.putServer(first, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := second.count()
		r := env.get(pathSafe)
		if r.status == http.StatusOK && second.count() > before {
			return poll.Success()
		}
		return poll.Continue("status %d", r.status)
	})
	env.routing.Version++
	env.routing.Routes = env.routing.Routes[:1]
	env.putConfig()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := env.get(pathSafe); r.status != http.StatusNotFound {
			return poll.Continue("status %d", r.status)
		}
		return poll.Success()
	})
}
