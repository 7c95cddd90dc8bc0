package gateway

import (
	"fmt"
	"hash/fnv"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
)

// A configFollower takes in configurations.
type configFollower struct{ g *Gateway }

// Replace implements kv.Follower.
func (f *configFollower) Replace(entries []kv.Entry) {
	for _, e := range entries {
		f.take(e)
	}
}

// Apply implements kv.Follower.
func (f *configFollower) Apply(events []kv.Event) {
	for _, e := range events {
		if !e.Deleted {
			f.take(e.Entry)
		}
	}
}

func (f *configFollower) take(e kv.Entry) {
	if e.Key == f.g.decoder.ConfigKey() {
		f.g.offerConfig(e.Value, "store")
	}
}

// Lost implements kv.Follower.
func (f *configFollower) Unreachable(err error) { f.g.storeLost(err) }

// Heard implements kv.Follower.
func (f *configFollower) Reachable() { f.g.storeHeard() }

// offerConfig puts a configuration in force if it is newer than the one that is.
func (g *Gateway) offerConfig(value []byte, from string) {
	r, err := g.decoder.Routing(value)
	if err != nil {
		g.log.Error("configuration not understood", zap.String("from", from), telemetry.Error(err))
		return
	}
	for {
		old := g.routing.Load()
		if old != nil && old.Version() >= r.Version() {
			return
		}
		if g.routing.CompareAndSwap(old, r) {
			break
		}
	}
	g.config.Store(&value)
	g.log.Info("configuration in force", zap.Uint64("version", r.Version()), zap.Int("routes", r.Len()), zap.String("from", from))
	g.dispatcher.SetServers(g.registry.Snapshot())
}

// A serverFollower takes in the list of backend servers.
type serverFollower struct {
	g *Gateway
	// known holds the ids of the servers that were last told.
	known map[string]bool
}

// Replace implements kv.Follower.
func (f *serverFollower) Replace(entries []kv.Entry) {
	list := make([]backend.Server, 0, len(entries))
	for _, e := range entries {
		s, err := f.g.decoder.Server(e.Key, e.Value)
		if err != nil {
			f.g.log.Error("server not understood", zap.String("key", e.Key), telemetry.Error(err))
			continue
		}
		list = append(list, s)
	}
	f.g.registry.Replace(list, f.g.clock.Now())
	f.g.listed.Store(true)
	f.logMissing(list)
	f.g.log.Info("servers listed", zap.Int("count", len(list)))
	f.g.dispatcher.SetServers(f.g.registry.Snapshot())
}

// logMissing tells of servers that were known before and are not in a new list.
func (f *serverFollower) logMissing(list []backend.Server) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
	}
	for id := range f.known {
		if !listed[id] {
			f.g.log.Info("server gone", zap.String("server", id))
		}
	}
	f.known = listed
}

// Apply implements kv.Follower.
func (f *serverFollower) Apply(events []kv.Event) {
	changes := make([]backend.Change, 0, len(events))
	for _, e := range events {
		if c, ok := f.change(e); ok {
			changes = append(changes, c)
		}
	}
	f.g.registry.Apply(changes, f.g.clock.Now())
	f.g.dispatcher.SetServers(f.g.registry.Snapshot())
}

// change decodes a change of one server and tells of it.
func (f *serverFollower) change(e kv.Event) (backend.Change, bool) {
	id := f.g.decoder.ServerID(e.Entry.Key)
	if e.Deleted {
		delete(f.known, id)
		f.g.log.Info("server gone", zap.String("server", id))
		return backend.Change{Server: backend.Server{ID: id}, Gone: true}, true
	}
	s, err := f.g.decoder.Server(e.Entry.Key, e.Entry.Value)
	if err != nil {
		f.g.log.Error("server not understood", zap.String("key", e.Entry.Key), telemetry.Error(err))
		return backend.Change{}, false
	}
	old, known := f.g.registry.Snapshot().Server(id)
	if !known || old.Leaving != s.Leaving {
		f.g.log.Info("server seen", zap.String("server", id), zap.String("service", s.Service),
			zap.String("addr", s.Addr), zap.Bool("leaving", s.Leaving))
	}
	f.known[id] = true
	return backend.Change{Server: s}, true
}

// Lost implements kv.Follower.
func (f *serverFollower) Unreachable(err error) { f.g.storeLost(err) }

// Heard implements kv.Follower.
func (f *serverFollower) Reachable() { f.g.storeHeard() }

// digest returns a digest of what other gateways need to know of an entry: of a
// server all but what it holds, since the holder of orders tells that.
func (g *Gateway) digest(prefix string, e kv.Entry) uint64 {
	if prefix != g.decoder.ServerPrefix() {
		return uint64(e.Revision)
	}
	s, err := g.decoder.Server(e.Key, e.Value)
	if err != nil {
		return uint64(e.Revision)
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00%d\x00%t", s.Service, s.Addr, s.Hall, s.Slots, s.Leaving)
	return h.Sum64()
}

func (g *Gateway) storeLost(err error) {
	if g.ctx.Err() == nil && !g.storeDown.Swap(true) {
		g.log.Warn("store lost", telemetry.Error(err))
	}
}

func (g *Gateway) storeHeard() {
	if g.storeDown.Swap(false) {
		g.log.Info("store heard again")
	}
}
