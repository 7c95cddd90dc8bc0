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
	if c.State == quarantine.Began {
		log.Warn("request quarantined", zap.Stringer("digest", c.Key), zap.Strings("servers", c.Servers),
			zap.Duration("for", c.Until.Sub(now)))
		return
	}
	log.Info("quarantine ended", zap.Stringer("digest", c.Key), zap.String("reason", string(c.State)))
}

// RegisterQuarantine registers the handlers by which operators list the requests under which servers have
// ended, and lift a quarantine.
func RegisterQuarantine(r Router, t *quarantine.Table) {
	r.GET(wire.PathQuarantine, func(c echo.Context) error {
		return c.JSON(http.StatusOK, wire.QuarantineList{Items: t.List()})
	})
	r.POST(wire.PathQuarantine, func(c echo.Context) error {
		var l wire.QuarantineLift
		if err := c.Bind(&l); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, wire.QuarantineLifted{Known: t.Void(l.Key)})
	})
}
