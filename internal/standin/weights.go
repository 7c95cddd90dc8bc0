package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"rockcleat/internal/inventory"
	"rockcleat/placement"
)

// WeightStoreOptions configure a WeightStore.
type WeightStoreOptions struct {
	// LoadsPerSecond is the rate of loads; above it a load is refused.
	LoadsPerSecond float64
	// FullSpeedLoads is the number of loads at once that run at full speed; more share it.
	FullSpeedLoads int
	// MiBPerSecond is the speed of one load.
	MiBPerSecond float64
}

// WeightStore stands in for the rate-limited weight store.
type WeightStore struct {
	faultBox
	echo  *echo.Echo
	opts  WeightStoreOptions
	limit *rate.Limiter

	mu      sync.Mutex
	sizes   map[string]placement.Size
	running int
}

// NewWeightStore returns a store that holds nothing.
func NewWeightStore(o WeightStoreOptions) *WeightStore {
	s := &WeightStore{echo: newEcho(), opts: o, limit: limiter(o.LoadsPerSecond), sizes: make(map[string]placement.Size)}
	s.register(s.echo)
	s.echo.GET("/v1/weights", s.catalogue)
	s.echo.PUT("/v1/weights", s.add)
	s.echo.POST("/v1/weights/data", s.load)
	return s
}

// ServeHTTP makes WeightStore an http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Set puts a model or adapter into the store.
func (s *WeightStore) Set(name string, size placement.Size) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[name] = size
}

// catalogue answers with what the store holds.
func (s *WeightStore) catalogue(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, inventory.Catalogue{Sizes: s.sizes})
}

// add puts models and adapters into the store.
func (s *WeightStore) add(c echo.Context) error {
	var a inventory.Catalogue
	if err := c.Bind(&a); err != nil {
		return err
	}
	for name, size := range a.Sizes {
		s.Set(name, size)
	}
	return c.NoContent(http.StatusOK)
}

// loadStep is how often a load's progress is counted.
const loadStep = 5 * time.Millisecond

// load takes as long as the weights need at the store's present speed.
func (s *WeightStore) load(c echo.Context) error {
	s.mu.Lock()
	size, ok := s.sizes[c.QueryParam("name")]
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if !s.limit.Allow() {
		return c.NoContent(http.StatusTooManyRequests)
	}
	s.count(1)
	defer s.count(-1)
	left := float64(size.WeightMiB)
	last := time.Now()
	for left > 0 {
		if !pause(c, loadStep) {
			return nil
		}
		now := time.Now()
		left -= s.speed() * now.Sub(last).Seconds()
		last = now
	}
	return c.NoContent(http.StatusOK)
}

// count changes the number of loads in progress.
func (s *WeightStore) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// speed returns a load's share of the store's speed in MiB/s.
func (s *WeightStore) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.FullSpeedLoads > 0 && s.running > s.opts.FullSpeedLoads {
		return s.opts.MiBPerSecond * float64(s.opts.FullSpeedLoads) / float64(s.running)
	}
	return s.opts.MiBPerSecond
}
