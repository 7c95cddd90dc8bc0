package standin

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// EffectsResponse says how often calls with each idempotency key took effect.
type EffectsResponse struct {
	Total   int            `json:"total"`
	Effects map[string]int `json:"effects"`
	// Requests counts the effects of each request id.
	Requests map[string]int `json:"requests"`
}

// A Service stands in for a plain service; each call other than GET has an effect.
type Service struct {
	faultBox
	echo  *echo.Echo
	delay time.Duration

	mu      sync.Mutex
	total   int
	effects map[string]int
	byID    map[string]int
}

// NewService returns a service whose calls take the given time.
func NewService(delay time.Duration) *Service {
	s := &Service{echo: newEcho(), delay: delay, effects: make(map[string]int), byID: make(map[string]int)}
	s.register(s.echo)
	s.echo.GET("/effects", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Effects()) })
	s.echo.Any("/*", s.serve)
	return s
}

// ServeHTTP makes Service an http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Effects returns the effects so far.
func (s *Service) Effects() EffectsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return EffectsResponse{Total: s.total, Effects: maps.Clone(s.effects), Requests: maps.Clone(s.byID)}
}

// serviceAnswer is what a call answers.
type serviceAnswer struct {
	Path   string `json:"path"`
	Body   string `json:"body"`
	Effect int    `json:"effect"`
}

// maxServiceBody bounds the body that a call echoes, in bytes.
const maxServiceBody = 1 << 20

// serve answers a call and counts its effect.
func (s *Service) serve(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxServiceBody))
	if err != nil {
		return err
	}
	a := serviceAnswer{Path: c.Request().URL.Path, Body: string(body)}
	if c.Request().Method != http.MethodGet {
		s.mu.Lock()
		s.total++
		s.effects[c.Request().Header.Get("Idempotency-Key")]++
		s.byID[c.Request().Header.Get("X-Request-Id")]++
		a.Effect = s.total
		s.mu.Unlock()
	}
	if s.delay > 0 && !pause(c, s.delay) {
		return nil
	}
	return c.JSON(http.StatusOK, a)
}
