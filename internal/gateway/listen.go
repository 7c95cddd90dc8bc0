package gateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
)

// listeners are the servers of a gateway.
type listeners struct {
	front, ready, peers, metrics *http.Server
	// callers is where front accepts connections.
	callers net.Listener
}

// Bounds of callers' connections that net/http sets before the configuration is known.
const (
	// headerTime bounds the reading of a header.
	headerTime = 10 * time.Second
	// maxHeader bounds a header; the configuration's own bound is checked after it.
	maxHeader = 128 << 10
)

func (g *Gateway) listen() error {
	quiet := zap.NewStdLog(zap.NewNop())
	g.listeners.front = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTime, MaxHeaderBytes: maxHeader, ErrorLog: quiet,
		ConnState: g.conns.note, ConnContext: withConn,
	}
	g.conns.limits = g.connLimits
	g.listeners.ready = &http.Server{Handler: g.readyRouter(), ReadHeaderTimeout: headerTime, ErrorLog: quiet}
	g.listeners.peers = &http.Server{Handler: g.peerRouter(), ReadHeaderTimeout: headerTime, ErrorLog: quiet}
	callers, err := listenTCP(g.settings.Listen)
	if err != nil {
		return err
	}
	g.listeners.callers = callerListener{callers}
	g.serveOn(g.listeners.callers, g.listeners.front)
	for _, l := range []struct {
		addr string
		s    *http.Server
	}{
		{g.settings.ReadyListen, g.listeners.ready},
		{g.settings.PeerListen, g.listeners.peers},
	} {
		if err := g.serve(l.addr, l.s); err != nil {
			return err
		}
	}
	if g.settings.MetricsListen == "" {
		return nil
	}
	g.listeners.metrics = &http.Server{Handler: g.metrics.Handler(), ReadHeaderTimeout: headerTime, ErrorLog: quiet}
	return g.serve(g.settings.MetricsListen, g.listeners.metrics)
}

// serve binds an address and answers on it.
func (g *Gateway) serve(addr string, s *http.Server) error {
	l, err := listenTCP(addr)
	if err != nil {
		return err
	}
	g.serveOn(l, s)
	return nil
}

func (g *Gateway) serveOn(l net.Listener, s *http.Server) {
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.log.Error("listener failed", zap.String("addr", l.Addr().String()), telemetry.Error(err))
		}
	}()
}

func listenTCP(addr string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "gateway: listen on %s", addr)
	}
	return l.(*net.TCPListener), nil
}

// closeFront ends the taking of callers' connections; those that are open stay.
func (l *listeners) closeFront() { _ = l.callers.Close() }

func (l *listeners) close() {
	for _, s := range []*http.Server{l.front, l.ready, l.peers, l.metrics} {
		if s != nil {
			_ = s.Close()
		}
	}
}

func (g *Gateway) readyRouter() http.Handler {
	e := server.NewRouter()
	e.GET(g.readyPath, server.Readiness(g.ready).Answer)
	e.GET(wire.PathHealth, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	return e
}

// connLimits returns how long a caller's connection may rest and how long a
// header may take; 0 is no limit.
func (g *Gateway) connLimits() (idle, header time.Duration) {
	r := g.routing.Load()
	if r == nil {
		return 0, 0
	}
	return r.Limits().IdleTime, r.Limits().HeaderTime
}
