package standin

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// EffectsResponse is the response of /effects: how often calls took effect.
type EffectsResponse struct {
	Total int `json:"total"`
	// Effects counts the effects of each idempotency key.
	Effects map[string]int `json:"effects"`
	// Requests counts the effects of each request ID.
	Requests map[string]int `json:"requests"`
}

// A Service is a fake plain service. Each call other than a GET takes effect.
type Service struct {
	faultInjector
	echo  *echo.Echo
	delay time.Duration

	mu    sync.Mutex
	total int
	// effectsByKey counts by idempotency key, effectsByID by request ID.
	effectsByKey map[string]int
	effectsByID  map[string]int
}

// NewService returns a service whose calls take delay.
func NewService(delay time.Duration) *Service {
	s := &Service{echo: newEcho(), delay: delay, effectsByKey: make(map[string]int), effectsByID: make(map[string]int)}
	s.register(s.echo)
	s.echo.GET("/effects", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Effects()) })
	s.echo.Any("/*", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Effects returns a copy of the counters.
func (s *Service) Effects() EffectsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return EffectsResponse{Total: s.total, Effects: maps.Clone(s.effectsByKey), Requests: maps.Clone(s.effectsByID)}
}

// serviceResponse is the response of a call. Effect is the call's number among those that took
// effect, zero for a GET.
type serviceResponse struct {
	Path   string `json:"path"`
	Body   string `json:"body"`
	Effect int    `json:"effect"`
}

// maxEchoedBody is the maximum length of the body that a call echoes, in bytes.
const maxEchoedBody = 1 << 20

// serve counts the effect of a call, waits for the delay and echoes the path and the body.
func (s *Service) serve(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxEchoedBody))
	if err != nil {
		return err
	}
	a := serviceResponse{Path: c.Request().URL.Path, Body: string(body)}
	if c.Request().Method != http.MethodGet {
		s.mu.Lock()
		s.total++
		s.effectsByKey[c.Request().Header.Get("Idempotency-Key")]++
		s.effectsByID[c.Request().Header.Get("X-Request-Id")]++
		a.Effect = s.total
		s.mu.Unlock()
	}
	if s.delay > 0 && !sleep(c, s.delay) {
		return nil
	}
	return c.JSON(http.StatusOK, a)
}
