package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"rockcleat/kv"
)

// maxValueLength is the maximum length of a value, in bytes.
const maxValueLength = 1 << 20

// KVOptions configures a KV.
type KVOptions struct {
	// ReadsPerSecond and WritesPerSecond are rate limits; zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// KVStats holds the counters of a KV.
type KVStats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Limited counts calls refused by a rate limit; Reads and Writes exclude them.
	Limited int64 `json:"limited"`
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// A KV is a fake of the platform's key-value service.
type KV struct {
	faultInjector
	echo   *echo.Echo
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	entries map[string]kv.Entry
	// leaseOf maps each key that is attached to a lease to that lease.
	leaseOf  map[string]kv.LeaseID
	leases   map[kv.LeaseID]*kvLease
	revision kv.Revision
	// changed is closed and replaced at each change of an entry.
	changed chan struct{}
	stats   KVStats
}

// NewKV returns a KV without entries or leases.
func NewKV(o KVOptions) *KV {
	s := &KV{
		echo:    newEcho(),
		reads:   newLimiter(o.ReadsPerSecond),
		writes:  newLimiter(o.WritesPerSecond),
		entries: make(map[string]kv.Entry),
		leaseOf: make(map[string]kv.LeaseID),
		leases:  make(map[kv.LeaseID]*kvLease),
		changed: make(chan struct{}),
	}
	s.register(s.echo)
	s.echo.GET("/v1/kv", s.read(s.get))
	s.echo.GET("/v1/list", s.read(s.list))
	s.echo.GET("/v1/watch", s.read(s.watch))
	s.echo.PUT("/v1/kv", s.write(s.put))
	s.echo.DELETE("/v1/kv", s.write(s.delete))
	s.echo.POST("/v1/lease", s.write(s.grant))
	s.echo.POST("/v1/lease/keepalive", s.write(s.keepAlive))
	s.echo.POST("/v1/lease/revoke", s.write(s.revoke))
	s.echo.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
	return s
}

// newLimiter returns a rate limiter with a burst of one second; a rate of zero means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// ServeHTTP implements http.Handler.
func (s *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Stats returns a copy of the counters.
func (s *KV) Stats() KVStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// read wraps the handler of a read with the read rate limit and counter.
func (s *KV) read(f echo.HandlerFunc) echo.HandlerFunc {
	return s.limited(s.reads, func() { s.stats.Reads++ }, f)
}

// write wraps the handler of a write with the write rate limit and counter. While
// Faults.LoseResponses is above zero, the write takes effect and the connection is then closed
// without a response.
func (s *KV) write(f echo.HandlerFunc) echo.HandlerFunc {
	return s.limited(s.writes, func() { s.stats.Writes++ }, func(c echo.Context) error {
		if !s.takeLostResponse() {
			return f(c)
		}
		c.Response().Writer = discardWriter{c.Response().Writer}
		if err := f(c); err != nil {
			return err
		}
		return abortConnection()
	})
}

// limited wraps a handler with a rate limit and a counter. It expires leases before each call.
// It calls count with s.mu held.
func (s *KV) limited(l *rate.Limiter, count func(), f echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		allowed := l.Allow()
		s.mu.Lock()
		if allowed {
			count()
		} else {
			s.stats.Limited++
		}
		s.expireLeases(time.Now())
		s.mu.Unlock()
		if !allowed {
			return c.NoContent(http.StatusTooManyRequests)
		}
		return f(c)
	}
}

// discardWriter is an http.ResponseWriter that drops the status and the body.
type discardWriter struct{ http.ResponseWriter }

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

// expireLeases removes the leases that have expired by now. s.mu must be held.
func (s *KV) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. s.mu must be held.
func (s *KV) removeLease(id kv.LeaseID) {
	for key := range s.leases[id].keys {
		delete(s.entries, key)
		delete(s.leaseOf, key)
		s.advanceRevision()
	}
	delete(s.leases, id)
}

// advanceRevision increments the revision and wakes the watchers. s.mu must be held.
func (s *KV) advanceRevision() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *KV) get(c echo.Context) error {
	s.mu.Lock()
	e, ok := s.entries[c.QueryParam("key")]
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, e)
}

// list responds with the entries whose keys have the prefix, sorted by key.
func (s *KV) list(c echo.Context) error {
	prefix := c.QueryParam("prefix")
	var a kv.ListResponse
	s.mu.Lock()
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			a.Entries = append(a.Entries, e)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Entries, func(x, y kv.Entry) int { return strings.Compare(x.Key, y.Key) })
	return c.JSON(http.StatusOK, a)
}

// watch responds with an entry once its revision is greater than after, or when wait_ms have
// passed.
func (s *KV) watch(c echo.Context) error {
	key := c.QueryParam("key")
	after, _ := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	wait, _ := strconv.Atoi(c.QueryParam("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		e, ok := s.entries[key]
		changed := s.changed
		s.mu.Unlock()
		if ok && int64(e.Revision) > after {
			return c.JSON(http.StatusOK, e)
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		case <-deadline:
			if !ok {
				return c.NoContent(http.StatusNotFound)
			}
			return c.JSON(http.StatusOK, e)
		}
	}
}

// put writes an entry if its current revision is the expected one.
func (s *KV) put(c echo.Context) error {
	var w kv.Write
	if err := c.Bind(&w); err != nil {
		return err
	}
	if len(w.Value) > maxValueLength {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Expect != kv.Any && s.entries[w.Key].Revision != w.Expect {
		return c.NoContent(http.StatusConflict)
	}
	if w.Lease != 0 && s.leases[w.Lease] == nil {
		return c.NoContent(http.StatusGone)
	}
	s.advanceRevision()
	e := kv.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	s.entries[w.Key] = e
	s.attachLease(w.Key, w.Lease)
	return c.JSON(http.StatusOK, kv.Entry{Key: w.Key, Revision: s.revision})
}

// attachLease attaches a key to a lease and detaches it from its former one; a lease of zero only
// detaches. s.mu must be held.
func (s *KV) attachLease(key string, id kv.LeaseID) {
	if old, ok := s.leaseOf[key]; ok {
		delete(s.leases[old].keys, key)
		delete(s.leaseOf, key)
	}
	if id != 0 {
		s.leases[id].keys[key] = true
		s.leaseOf[key] = id
	}
}

// delete removes an entry if its current revision is the expected one.
func (s *KV) delete(c echo.Context) error {
	key := c.QueryParam("key")
	expect, err := strconv.ParseInt(c.QueryParam("expect"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if kv.Revision(expect) != kv.Any && e.Revision != kv.Revision(expect) {
		return c.NoContent(http.StatusConflict)
	}
	s.attachLease(key, 0)
	delete(s.entries, key)
	s.advanceRevision()
	return c.NoContent(http.StatusOK)
}

// grant creates a lease. Its ID is the next revision.
func (s *KV) grant(c echo.Context) error {
	var m kv.LeaseMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := kv.LeaseID(s.revision)
	ttl := time.Duration(m.TTL) * time.Millisecond
	s.leases[id] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]bool)}
	return c.JSON(http.StatusOK, kv.LeaseMessage{ID: id})
}

func (s *KV) keepAlive(c echo.Context) error {
	return s.withLease(c, func(l *kvLease) { l.expires = time.Now().Add(l.ttl) })
}

// revoke removes a lease and its keys.
func (s *KV) revoke(c echo.Context) error {
	return s.withLease(c, func(l *kvLease) { l.expires = time.Time{} })
}

// withLease calls f with the lease that the message names and with s.mu held, then expires
// leases. It responds with status 410 if there is no such lease.
func (s *KV) withLease(c echo.Context, f func(*kvLease)) error {
	var m kv.LeaseMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[m.ID]
	if !ok {
		return c.NoContent(http.StatusGone)
	}
	f(l)
	s.expireLeases(time.Now())
	return c.JSON(http.StatusOK, m)
}
