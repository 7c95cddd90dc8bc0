package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// PathFault is the path at which a stand-in accepts its Faults by PUT.
const PathFault = "/fault"

// Faults selects the failures that a stand-in injects. The zero value injects none.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// DelayMs is the delay of every call, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseResponses is the number of writes to the key-value service that take effect and
	// whose response is lost.
	LoseResponses int `json:"lose_answers"`
	// OrderDelayMs is the delay between the acknowledgement of an order by an engine and its
	// start, in milliseconds.
	OrderDelayMs int `json:"late_orders_ms"`
	// FailLoads is the number of loads that fail after the weights were fetched.
	FailLoads int `json:"fail_loads"`
	// ExitOn, if not empty, ends the process of an engine when it starts a request whose body
	// contains that text.
	ExitOn string `json:"end_on"`
}

// A faultInjector holds the faults of one stand-in.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults in force.
func (b *faultInjector) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

func (b *faultInjector) currentFaults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// takeLostResponse reports whether to drop the response of this write, and if so decrements
// LoseResponses.
func (b *faultInjector) takeLostResponse() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.LoseResponses == 0 {
		return false
	}
	b.faults.LoseResponses--
	return true
}

// takeFailedLoad reports whether to fail this load, and if so decrements FailLoads.
func (b *faultInjector) takeFailedLoad() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.FailLoads == 0 {
		return false
	}
	b.faults.FailLoads--
	return true
}

// register adds the handler of PathFault, and the middleware that injects outages and delays.
func (b *faultInjector) register(e *echo.Echo) {
	e.PUT(PathFault, func(c echo.Context) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}
		b.SetFaults(f)
		return c.NoContent(http.StatusOK)
	})
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if c.Path() == PathFault {
				return next(c)
			}
			f := b.currentFaults()
			if f.Outage {
				return c.NoContent(http.StatusServiceUnavailable)
			}
			if f.DelayMs > 0 && !sleep(c, time.Duration(f.DelayMs)*time.Millisecond) {
				return nil
			}
			return next(c)
		}
	})
}

// sleep waits for d. It reports false if the request was canceled first.
func sleep(c echo.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

// newEcho returns a router that prints no banner.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// abortConnection closes the connection without completing the response.
func abortConnection() error { panic(http.ErrAbortHandler) }
