package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
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
	for _, l := range []struct {
		addr string
		s    *http.Server
	}{
		{g.settings.Listen, g.listeners.front},
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

func (g *Gateway) serve(addr string, s *http.Server) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "gateway: listen on %s", addr)
	}
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener failed", zap.String("addr", addr), telemetry.Error(err))
		}
	}()
	return nil
}

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

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// A conns closes callers' connections that have rested for too long or whose
// header takes too long. The bounds may change while they last, which the
// settings of http.Server cannot.
type conns struct {
	limits func() (idle, header time.Duration)

	mu   sync.Mutex
	idle map[net.Conn]time.Time
	// reading holds connections on which a header has begun.
	reading map[net.Conn]time.Time
}

func newConns() *conns {
	return &conns{idle: make(map[net.Conn]time.Time), reading: make(map[net.Conn]time.Time)}
}

// note follows the state of connections.
func (c *conns) note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	delete(c.reading, conn)
	switch s {
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateActive:
		c.reading[conn] = time.Now()
	}
}

// read tells that a request's header has been read whole.
func (c *conns) read(ctx context.Context) {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reading, conn)
}

// sweep closes connections that are over their bounds.
func (c *conns) sweep(now time.Time) {
	idle, header := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	closeOlder(c.idle, idle, now)
	closeOlder(c.reading, header, now)
}

func closeOlder(list map[net.Conn]time.Time, limit time.Duration, now time.Time) {
	if limit <= 0 {
		return
	}
	for conn, since := range list {
		if now.Sub(since) > limit {
			delete(list, conn)
			_ = conn.Close()
		}
	}
}
