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

// A cutStore is a gateway's view of the store, which becomes unreachable when cut is set.
type cutStore struct {
	kv.PrefixStore
	cut atomic.Bool
}

var errCut = errors.New("store cut off")

// ListPrefix implements kv.PrefixStore.
func (s *cutStore) ListPrefix(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	if s.cut.Load() {
		return nil, 0, errCut
	}
	return s.PrefixStore.ListPrefix(ctx, prefix)
}

// WatchPrefix implements kv.PrefixStore.
func (s *cutStore) WatchPrefix(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Event, kv.Revision, error) {
	if s.cut.Load() {
		return nil, after, errCut
	}
	events, at, err := s.PrefixStore.WatchPrefix(ctx, prefix, after, wait)
	if s.cut.Load() {
		return nil, after, errCut
	}
	return events, at, err
}

// secondGateway starts a second gateway, directs requests to it and returns its view of the store.
func secondGateway(t *testing.T, w *world) *cutStore {
	t.Helper()
	store := &cutStore{PrefixStore: w.store}
	s := gatewaySettings(t, "g2")
	w.startGateway(s, store)
	w.front, w.ready = s.Listen, s.ReadyListen
	w.waitReady(http.StatusOK)
	return store
}

// TestGatewayCutFromTheStoreLearnsOfChanges checks that a gateway without access to the store receives changes of servers
// and of the configuration from the leader.
func TestGatewayCutFromTheStoreLearnsOfChanges(t *testing.T) {
	first, second := newWorker(t, "s1", answer(http.StatusOK, "one")), newWorker(t, "s2", answer(http.StatusOK, "two"))
	w := newWorld(t, first)
	store := secondGateway(t, w)
	assert.Equal(t, w.get(pathSafe).status, http.StatusOK)
	store.cut.Store(true)
	w.putServer(second, false)
	w.putServer(first, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := second.count()
		r := w.get(pathSafe)
		if r.status == http.StatusOK && second.count() > before {
			return poll.Success()
		}
		return poll.Continue("status %d", r.status)
	})
	w.routing.Version++
	w.routing.Routes = w.routing.Routes[:1]
	w.putConfig()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := w.get(pathSafe); r.status != http.StatusNotFound {
			return poll.Continue("status %d", r.status)
		}
		return poll.Success()
	})
}
