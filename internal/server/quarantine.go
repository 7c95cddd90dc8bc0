package server

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// A Router registers handlers, as echo.Echo and echo.Group do.
type Router interface {
	GET(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route
	POST(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route
}

// LogQuarantine logs that a request's quarantine began or ended, at the time now.
func LogQuarantine(log *zap.Logger, c quarantine.Change, now time.Time) {
	fields := []zap.Field{zap.Stringer("digest", c.Trait.Key), zap.Stringer("kind", c.Trait.Kind)}
	if c.Trait.Name != "" {
		fields = append(fields, zap.String("part", c.Trait.Name))
	}
	if c.Kind == quarantine.Began {
		log.Warn("request quarantined", append(fields, zap.Strings("servers", c.Servers), zap.Duration("for", c.Until.Sub(now)))...)
		return
	}
	log.Info("quarantine ended", append(fields, zap.String("reason", string(c.Kind)))...)
}

// RegisterQuarantine registers the handlers by which operators list the requests with which servers have
// crashed, and lift a quarantine.
func RegisterQuarantine(r Router, t *quarantine.Table) {
	r.GET(wire.PathQuarantine, func(c echo.Context) error {
		return c.JSON(http.StatusOK, wire.QuarantineList{Items: t.List()})
	})
	r.POST(wire.PathQuarantine, func(c echo.Context) error {
		var l wire.LiftRequest
		if err := c.Bind(&l); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, wire.LiftResponse{Known: t.Clear(l.Key)})
	})
}
