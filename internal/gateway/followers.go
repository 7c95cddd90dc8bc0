package gateway

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
)

// storeHealth logs when the store becomes unreachable and reachable again; whoever reads the
// store shares one, so that each change is logged once.
type storeHealth struct {
	ctx  context.Context
	log  *zap.Logger
	down atomic.Bool
}

func newStoreHealth(ctx context.Context, log *zap.Logger) *storeHealth {
	return &storeHealth{ctx: ctx, log: log}
}

// Unreachable implements a part of kv.Follower.
func (h *storeHealth) Unreachable(err error) {
	if h.ctx.Err() == nil && !h.down.Swap(true) {
		h.log.Warn("store unreachable", telemetry.Error(err))
	}
}

// Reachable implements a part of kv.Follower.
func (h *storeHealth) Reachable() {
	if h.down.Swap(false) {
		h.log.Info("store reachable")
	}
}

// A serverFollower keeps the list of backend servers.
type serverFollower struct {
	*storeHealth
	servers *serverList
	// known holds the ids of the servers that were listed last.
	known map[string]bool
}

// Replace implements kv.Follower.
func (f *serverFollower) Replace(entries []kv.Entry) {
	list := make([]backend.Server, 0, len(entries))
	for _, e := range entries {
		if s, ok := f.servers.decode(e); ok {
			list = append(list, s)
		}
	}
	f.logMissing(list)
	f.servers.replace(list)
}

// logMissing logs the servers that were known before and are not in a new list.
func (f *serverFollower) logMissing(list []backend.Server) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
	}
	for id := range f.known {
		if !listed[id] {
			f.logGone(id)
		}
	}
	f.known = listed
}

func (f *serverFollower) logGone(id string) {
	f.log.Info("server gone", zap.String("server", id))
}

// Apply implements kv.Follower.
func (f *serverFollower) Apply(events []kv.Event) {
	changes := make([]backend.Change, 0, len(events))
	for _, e := range events {
		if c, ok := f.change(e); ok {
			changes = append(changes, c)
		}
	}
	f.servers.apply(changes)
}

// change decodes a change of one server and logs it, if more than what it holds changes.
func (f *serverFollower) change(e kv.Event) (backend.Change, bool) {
	id := f.servers.decoder.ServerID(e.Entry.Key)
	if e.Deleted {
		delete(f.known, id)
		f.logGone(id)
		return backend.Change{Server: backend.Server{ID: id}, Gone: true}, true
	}
	s, ok := f.servers.decode(e.Entry)
	if !ok {
		return backend.Change{}, false
	}
	old, known := f.servers.registry.Snapshot().Server(id)
	if !known || old.Leaving != s.Leaving {
		f.log.Info("server seen", zap.String("server", id), zap.String("service", s.Service),
			zap.String("addr", s.Addr), zap.Bool("leaving", s.Leaving))
	}
	f.known[id] = true
	return backend.Change{Server: s}, true
}
