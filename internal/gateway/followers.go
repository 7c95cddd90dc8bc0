package gateway

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
)

// storeHealth logs when the store becomes unreachable and reachable again. All readers of the store share one, so that
// each change is logged once.
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

// A serverFollower keeps a serverList up to date with the store.
type serverFollower struct {
	*storeHealth
	servers *serverList
	// known holds the names of the servers in the list.
	known map[string]bool
	// unusable maps the names of undecodable entries to the decoding error.
	unusable map[string]string
	// seenLines limits the lines about new servers.
	seenLines *lineLimiter
}

// seenRate and seenBurst limit the lines about new servers, in lines per second and lines. When a fleet starts, each
// gateway sees all servers within seconds.
const (
	seenRate  = 5
	seenBurst = 20
)

func newServerFollower(h *storeHealth, servers *serverList) *serverFollower {
	return &serverFollower{
		storeHealth: h,
		servers:     servers,
		known:       make(map[string]bool),
		unusable:    make(map[string]string),
		seenLines:   newLineLimiter(seenRate, seenBurst),
	}
}

// Replace implements kv.Follower.
func (f *serverFollower) Replace(entries []kv.Entry) {
	list := make([]backend.Server, 0, len(entries))
	var unusable []backend.Change
	for _, e := range entries {
		c := f.decode(e)
		if c.Unusable {
			unusable = append(unusable, c)
			continue
		}
		list = append(list, c.Server)
	}
	f.logMissing(list)
	f.servers.apply(unusable)
	f.servers.replace(list)
}

// logMissing logs the known servers that are not in the new list.
func (f *serverFollower) logMissing(list []backend.Server) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.Name()] = true
	}
	for name := range f.known {
		if !listed[name] {
			f.logGone(name)
		}
	}
	f.known = listed
}

func (f *serverFollower) logGone(name string) {
	f.log.Info("server gone", zap.String("server", name))
}

// Apply implements kv.Follower.
func (f *serverFollower) Apply(events []kv.Event) {
	changes := make([]backend.Change, 0, len(events))
	for _, e := range events {
		changes = append(changes, f.change(e))
	}
	f.servers.apply(changes)
}

// change decodes a change of one server. It logs new servers and changes of their leaving state.
func (f *serverFollower) change(e kv.Event) backend.Change {
	name := f.servers.decoder.ServerID(e.Entry.Key)
	if e.Deleted {
		delete(f.known, name)
		delete(f.unusable, name)
		f.logGone(name)
		return backend.Change{Server: backend.Server{ID: name}, Removed: true}
	}
	c := f.decode(e.Entry)
	if c.Unusable {
		delete(f.known, name)
		return c
	}
	old, known := f.servers.registry.Snapshot().Server(c.ID)
	if !known || old.Leaving != c.Leaving {
		f.logSeen(c)
	}
	f.known[name] = true
	return c
}

// logSeen logs a new server or a change of its leaving state. Lines about new servers are limited in rate.
func (f *serverFollower) logSeen(c backend.Change) {
	suppressed := zap.Skip()
	if !c.Leaving {
		field, ok := f.seenLines.allow(f.servers.clock.Now())
		if !ok {
			return
		}
		suppressed = field
	}
	f.log.Info("server seen", zap.String("server", c.ID), zap.String("service", c.Service), zap.String("version", c.Version),
		zap.String("addr", c.Addr), zap.Bool("leaving", c.Leaving), suppressed)
}

// decode decodes an entry. An undecodable entry is logged once for each distinct error, not for each revision.
func (f *serverFollower) decode(e kv.Entry) backend.Change {
	name := f.servers.decoder.ServerID(e.Key)
	s, err := f.servers.decoder.Server(e.Key, e.Value)
	if err == nil {
		delete(f.unusable, name)
		return backend.Change{Server: s}
	}
	if reason := err.Error(); f.unusable[name] != reason {
		f.unusable[name] = reason
		f.log.Warn("server entry not usable", zap.String("server", name), zap.Int64("revision", int64(e.Revision)),
			telemetry.Error(err))
	}
	return backend.Change{Server: backend.Server{ID: name}, Unusable: true}
}
