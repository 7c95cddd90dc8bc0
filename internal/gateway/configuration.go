package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rockcleat/internal/configsync"
	"rockcleat/table"
)

// A configuration holds the operators' configuration in force. Its version never decreases. Only one goroutine may
// call Apply; all other methods are safe for concurrent use.
type configuration struct {
	decoder Decoder
	log     *zap.Logger
	current atomic.Pointer[table.Routing]
	// onChange, if not nil, is called after a new configuration has taken effect.
	onChange func()
}

func newConfiguration(d Decoder, log *zap.Logger) *configuration {
	return &configuration{decoder: d, log: log}
}

// routing returns the configuration in force, or nil if none has been received yet.
func (c *configuration) routing() *table.Routing { return c.current.Load() }

// Apply implements configsync.Applier.
func (c *configuration) Apply(value []byte, from configsync.Origin) (uint64, error) {
	r, err := c.decoder.Routing(value)
	if err != nil {
		return 0, err
	}
	if old := c.current.Load(); old != nil && old.Version() >= r.Version() {
		return r.Version(), nil
	}
	c.current.Store(r)
	c.log.Info("configuration in force", zap.Uint64("version", r.Version()), zap.Int("routes", r.Len()),
		zap.Int("bytes", len(value)), zap.String("from", string(from)))
	if c.onChange != nil {
		c.onChange()
	}
	return r.Version(), nil
}

// cacheTokens returns the cache capacity, in tokens, of a service's engines. It returns 0 for a service without
// engines and while there is no configuration.
func (c *configuration) cacheTokens(service string) int {
	s := c.service(service)
	if s.Engine == nil {
		return 0
	}
	return s.Engine.CacheTokens
}

// warmupTime returns the warm-up time of a service's servers. It returns 0 while there is no configuration.
func (c *configuration) warmupTime(service string) time.Duration {
	return c.service(service).WarmupTime
}

// warmupRate returns the requests per second that a service's server accepts while it warms up; 0 if it has no such
// limit, and while there is no configuration.
func (c *configuration) warmupRate(service string) float64 { return c.service(service).WarmupRate }

// service returns the service with a name, or the zero Service if it is not configured.
func (c *configuration) service(name string) table.Service {
	r := c.current.Load()
	if r == nil {
		return table.Service{}
	}
	s, _ := r.Service(name)
	return s
}

// connLimits returns the idle timeout of callers' connections and the timeout for reading a header; 0 means no
// limit.
func (c *configuration) connLimits() (idle, header time.Duration) {
	r := c.current.Load()
	if r == nil {
		return 0, 0
	}
	return r.Limits().IdleTime, r.Limits().HeaderTime
}

// headerLimit returns the limit on the header of a request, in bytes; 0 if there is none or no configuration.
func (c *configuration) headerLimit() int {
	r := c.current.Load()
	if r == nil {
		return 0
	}
	return r.Limits().HeaderBytes
}
