package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rockcleat/internal/telemetry"
	"rockcleat/table"
)

// Where a configuration came from, as the log names it.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// A configuration holds the operators' configuration in force; versions only rise. It is
// safe for concurrent use.
type configuration struct {
	decoder Decoder
	log     *zap.Logger
	current atomic.Pointer[table.Routing]
	// encoded is the current one in the store's format, for other gateways.
	encoded atomic.Pointer[[]byte]
}

func newConfiguration(d Decoder, log *zap.Logger) *configuration {
	return &configuration{decoder: d, log: log}
}

// routing returns the configuration in force, or nil before there is one.
func (c *configuration) routing() *table.Routing { return c.current.Load() }

// version returns the version in force, 0 before there is one.
func (c *configuration) version() uint64 {
	if r := c.current.Load(); r != nil {
		return r.Version()
	}
	return 0
}

// newerThan returns the configuration in the store's format, if it is newer.
func (c *configuration) newerThan(version uint64) []byte {
	value := c.encoded.Load()
	if c.version() <= version || value == nil {
		return nil
	}
	return *value
}

// offer puts a configuration in force if it is newer than the one that is, and reports
// whether it did. One that cannot be decoded is logged and changes nothing.
func (c *configuration) offer(value []byte, from string) bool {
	r, err := c.decoder.Routing(value)
	if err != nil {
		c.log.Error("configuration not understood", zap.String("from", from), telemetry.Error(err))
		return false
	}
	for {
		old := c.current.Load()
		if old != nil && old.Version() >= r.Version() {
			return false
		}
		if c.current.CompareAndSwap(old, r) {
			break
		}
	}
	c.encoded.Store(&value)
	c.log.Info("configuration in force", zap.Uint64("version", r.Version()), zap.Int("routes", r.Len()), zap.String("from", from))
	return true
}

// cacheTokens returns the cache memory of a service's engines in tokens; 0 for a plain
// service and before there is a configuration.
func (c *configuration) cacheTokens(service string) int {
	r := c.current.Load()
	if r == nil {
		return 0
	}
	s, ok := r.Service(service)
	if !ok || s.Engine == nil {
		return 0
	}
	return s.Engine.CacheTokens
}

// connLimits returns how long a caller's connection may rest and how long a header may
// take; 0 is no limit.
func (c *configuration) connLimits() (idle, header time.Duration) {
	r := c.current.Load()
	if r == nil {
		return 0, 0
	}
	return r.Limits().IdleTime, r.Limits().HeaderTime
}
