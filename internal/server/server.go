package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
)

// Timeouts of a connection.
const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
)

// NewRouter returns an echo router without startup messages.
func NewRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// A Listener is an HTTP server on one address.
type Listener struct {
	http *http.Server
	net  net.Listener
	log  *zap.Logger
}

// Listen binds addr for the handler h. g bounds what its connections hold, t counts their bytes. Requests are accepted once
// Serve is called.
func Listen(addr string, h http.Handler, g *Guard, t *wire.TrafficCounter, log *zap.Logger) (*Listener, error) {
	config := net.ListenConfig{Control: LimitReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "server: listen on %s", addr)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(log),
	}
	g.Protect(s)
	return &Listener{http: s, net: g.Wrap(t.WrapListener(l)), log: log}, nil
}

// Addr returns the bound address.
func (l *Listener) Addr() string { return l.net.Addr().String() }

// Serve handles requests until Shutdown or Close.
func (l *Listener) Serve() {
	if err := l.http.Serve(l.net); err != nil && !errors.Is(err, http.ErrServerClosed) {
		l.log.Error("listener failed", zap.String("addr", l.Addr()), zap.Error(err))
	}
}

// Shutdown stops accepting connections and waits for the requests in progress until ctx is done.
func (l *Listener) Shutdown(ctx context.Context) error {
	return eris.Wrap(l.http.Shutdown(ctx), "server: shut down")
}

// Close closes the listener and all connections.
func (l *Listener) Close() error { return eris.Wrap(l.http.Close(), "server: close") }

// RequireSecret returns middleware that refuses and counts requests without the shared secret.
func RequireSecret(secret string, m *telemetry.Metrics) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if wire.Authorized(c.Request(), secret) {
				return next(c)
			}
			m.Unauthorized(c.Path())
			response := wire.ErrorResponse{
				Status: http.StatusUnauthorized, Outcome: wire.OutcomeNotRun, Type: wire.TypeInvalidRequest,
				Code: "unauthorized", Message: "the shared secret is missing or wrong",
			}
			return response.Write(c)
		}
	}
}

// A Readiness reports whether a process may receive requests, and the reason if not.
type Readiness func() (ready bool, reason string)

// RegisterHealth registers the handlers for health, readiness and metrics.
func RegisterHealth(e *echo.Echo, ready Readiness, m *telemetry.Metrics) {
	e.GET(wire.PathHealth, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(wire.PathReady, ready.Handle)
	e.GET(wire.PathMetrics, echo.WrapHandler(m.Handler()))
}

// Handle handles a readiness check of the load balancer: it responds with 200, or with 503 and the reason.
func (r Readiness) Handle(c echo.Context) error {
	ok, reason := r()
	if !ok {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
