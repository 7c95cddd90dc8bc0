package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// PathFault is where a stand-in takes its Faults by PUT.
const PathFault = "/fault"

// Faults are the failures that a stand-in can be given.
type Faults struct {
	// Outage refuses every call with status 503.
	Outage bool `json:"outage"`
	// DelayMs delays every call.
	DelayMs int `json:"delay_ms"`
	// LoseResponses is the number of writes that take effect while their answer is lost.
	LoseResponses int `json:"lose_answers"`
	// LateOrders delays orders to an engine by so many milliseconds after they were
	// acknowledged as received.
	OrderDelayMs int `json:"late_orders_ms"`
	// FailLoads is the number of loads that fail half-way.
	FailLoads int `json:"fail_loads"`
	// ExitOn, if not empty, ends the process of an engine that begins to run a request whose body has
	// that text.
	ExitOn string `json:"end_on"`
}

// A faultBox holds the faults of one stand-in.
type faultBox struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults.
func (b *faultBox) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// get returns the faults.
func (b *faultBox) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// loseAnswer reports whether the answer of a write is to be lost.
func (b *faultBox) loseAnswer() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.LoseResponses == 0 {
		return false
	}
	b.faults.LoseResponses--
	return true
}

// failLoad reports whether a load is to fail.
func (b *faultBox) failLoad() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.FailLoads == 0 {
		return false
	}
	b.faults.FailLoads--
	return true
}

// register adds the path that sets the faults and the middleware that applies them.
func (b *faultBox) register(e *echo.Echo) {
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
			f := b.get()
			if f.Outage {
				return c.NoContent(http.StatusServiceUnavailable)
			}
			if f.DelayMs > 0 && !pause(c, time.Duration(f.DelayMs)*time.Millisecond) {
				return nil
			}
			return next(c)
		}
	})
}

// pause waits and reports whether the caller is still there.
func pause(c echo.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

// newEcho returns a quiet router.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// abort drops the connection so that the caller gets no answer.
func abort() error { panic(http.ErrAbortHandler) }
