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

// WeightStoreOptions configures a WeightStore.
type WeightStoreOptions struct {
	// LoadsPerSecond is the rate limit of loads; zero means no limit.
	LoadsPerSecond float64
	// FullSpeedLoads is the number of concurrent loads that run at full speed. More loads share
	// the bandwidth of that many; zero means that loads do not slow each other.
	FullSpeedLoads int
	// MiBPerSecond is the full speed of one load.
	MiBPerSecond float64
}

// WeightStore is a fake of the rate-limited weight store.
type WeightStore struct {
	faultInjector
	echo    *echo.Echo
	opts    WeightStoreOptions
	limiter *rate.Limiter

	mu          sync.Mutex
	sizes       map[string]placement.Size
	activeLoads int
}

// NewWeightStore returns an empty store.
func NewWeightStore(o WeightStoreOptions) *WeightStore {
	s := &WeightStore{echo: newEcho(), opts: o, limiter: newLimiter(o.LoadsPerSecond), sizes: make(map[string]placement.Size)}
	s.register(s.echo)
	s.echo.GET("/v1/weights", s.handleCatalogue)
	s.echo.PUT("/v1/weights", s.handleAdd)
	s.echo.POST("/v1/weights/data", s.handleLoad)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Set adds a model or adapter to the store or replaces its size.
func (s *WeightStore) Set(name string, size placement.Size) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[name] = size
}

// handleCatalogue responds with the sizes of all models and adapters.
func (s *WeightStore) handleCatalogue(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, inventory.Catalogue{Sizes: s.sizes})
}

func (s *WeightStore) handleAdd(c echo.Context) error {
	var a inventory.Catalogue
	if err := c.Bind(&a); err != nil {
		return err
	}
	for name, size := range a.Sizes {
		s.Set(name, size)
	}
	return c.NoContent(http.StatusOK)
}

// loadProgressInterval is the interval at which a load's progress is updated.
const loadProgressInterval = 5 * time.Millisecond

// handleLoad responds after the time that the weights take at the current speed. It sends no data.
func (s *WeightStore) handleLoad(c echo.Context) error {
	s.mu.Lock()
	size, ok := s.sizes[c.QueryParam("name")]
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if !s.limiter.Allow() {
		return c.NoContent(http.StatusTooManyRequests)
	}
	s.addActiveLoads(1)
	defer s.addActiveLoads(-1)
	remaining := float64(size.WeightMiB)
	last := time.Now()
	for remaining > 0 {
		if !sleep(c, loadProgressInterval) {
			return nil
		}
		now := time.Now()
		remaining -= s.loadSpeed() * now.Sub(last).Seconds()
		last = now
	}
	return c.NoContent(http.StatusOK)
}

func (s *WeightStore) addActiveLoads(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads += n
}

// loadSpeed returns the current speed of each load, in MiB/s.
func (s *WeightStore) loadSpeed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.FullSpeedLoads > 0 && s.activeLoads > s.opts.FullSpeedLoads {
		return s.opts.MiBPerSecond * float64(s.opts.FullSpeedLoads) / float64(s.activeLoads)
	}
	return s.opts.MiBPerSecond
}
