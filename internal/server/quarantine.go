package server

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// A Router takes handlers; an echo.Echo and an echo.Group do.
type Router interface {
	GET(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route
	POST(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route
}

// RegisterQuarantine lets operators list the requests under which servers have ended, and lift a quarantine.
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
