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

// WeightsOptions configures a Weights.
type WeightsOptions struct {
	// LoadsPerSecond is the rate limit of loads; zero means no limit.
	LoadsPerSecond float64
	// FullSpeed is the number of concurrent loads that run at full speed. More loads share
	// the bandwidth of that many; zero means that loads do not slow each other.
	FullSpeed int
	// MiBPerSecond is the full speed of one load.
	MiBPerSecond float64
}

// Weights is a fake of the rate-limited weight store.
type Weights struct {
	faultBox
	echo  *echo.Echo
	opts  WeightsOptions
	limit *rate.Limiter

	mu      sync.Mutex
	sizes   map[string]placement.Size
	running int
}

// NewWeights returns an empty store.
func NewWeights(o WeightsOptions) *Weights {
	s := &Weights{echo: newEcho(), opts: o, limit: limiter(o.LoadsPerSecond), sizes: make(map[string]placement.Size)}
	s.register(s.echo)
	s.echo.GET("/v1/weights", s.catalogue)
	s.echo.PUT("/v1/weights", s.add)
	s.echo.POST("/v1/weights/data", s.load)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Set adds a model or adapter to the store or replaces its size.
func (s *Weights) Set(name string, size placement.Size) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[name] = size
}

// catalogue responds with the sizes of all models and adapters.
func (s *Weights) catalogue(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, inventory.Catalogue{Sizes: s.sizes})
}

func (s *Weights) add(c echo.Context) error {
	var a inventory.Catalogue
	if err := c.Bind(&a); err != nil {
		return err
	}
	for name, size := range a.Sizes {
		s.Set(name, size)
	}
	return c.NoContent(http.StatusOK)
}

// loadStep is the interval at which a load's progress is updated.
const loadStep = 5 * time.Millisecond

// load responds after the time that the weights take at the current speed. It sends no data.
func (s *Weights) load(c echo.Context) error {
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

func (s *Weights) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// speed returns the current speed of each load, in MiB/s.
func (s *Weights) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.FullSpeed > 0 && s.running > s.opts.FullSpeed {
		return s.opts.MiBPerSecond * float64(s.opts.FullSpeed) / float64(s.running)
	}
	return s.opts.MiBPerSecond
}
