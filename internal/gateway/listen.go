package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/internal/config"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
)

// Limits on requests that the HTTP servers enforce independently of the configuration.
const (
	// headerTimeout is the timeout for reading a header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the size of a header, in bytes, at which http.Server gives up. A callerConn refuses a header over the
	// limit in the configuration long before.
	maxHeaderBytes = 1 << 20
)

type listenerOptions struct {
	settings                     config.Gateway
	log                          *zap.Logger
	conns                        *conns
	proxy, peers, ready, metrics http.Handler
}

// listeners are the HTTP servers of a gateway.
type listeners struct {
	log     *zap.Logger
	servers []boundServer
	// front accepts callers' connections; it is set by start.
	front net.Listener
}

// A boundServer is an HTTP server and its listen address.
type boundServer struct {
	addr   string
	server *http.Server
	// wrap wraps the listener.
	wrap func(net.Listener) net.Listener
	// callers reports whether the connections are those of callers.
	callers bool
}

func newListeners(o listenerOptions) *listeners {
	discard := zap.NewStdLog(zap.NewNop())
	newServer := func(addr string, h http.Handler) boundServer {
		return boundServer{addr: addr, server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: discard}}
	}
	guard := server.NewGuard(o.conns.intake.heads, server.MaxConns(o.settings.MemoryMB))
	newGuarded := func(addr string, h http.Handler) boundServer {
		s := newServer(addr, h)
		guard.Protect(s.server)
		s.wrap = guard.Wrap
		return s
	}
	front := newServer(o.settings.Listen, o.proxy)
	front.server.MaxHeaderBytes = maxHeaderBytes
	front.server.ConnState, front.server.ConnContext = o.conns.stateChanged, withConn
	front.callers = true
	front.wrap = func(l net.Listener) net.Listener {
		return callerListener{TCPListener: l.(*net.TCPListener), clock: o.conns.clock, intake: o.conns.intake}
	}
	servers := []boundServer{front, newGuarded(o.settings.ReadyListen, o.ready), newGuarded(o.settings.PeerListen, o.peers)}
	if o.settings.MetricsListen != "" {
		servers = append(servers, newGuarded(o.settings.MetricsListen, o.metrics))
	}
	return &listeners{log: o.log, servers: servers}
}

// start binds all addresses and serves them in the background.
func (l *listeners) start() error {
	for _, s := range l.servers {
		config := net.ListenConfig{Control: server.LimitReceiveBuffer}
		if s.callers {
			// Keep-alive probes are set for the connections that are taken, since that takes system calls.
			config.KeepAlive = -1
		}
		bound, err := config.Listen(context.Background(), "tcp", s.addr)
		if err != nil {
			return eris.Wrapf(err, "gateway: listen on %s", s.addr)
		}
		bound = s.wrap(bound)
		if s.callers {
			l.front = bound
		}
		go l.serve(bound, s.server)
	}
	return nil
}

func (l *listeners) serve(bound net.Listener, s *http.Server) {
	err := s.Serve(bound)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		l.log.Error("listener failed", zap.String("addr", bound.Addr().String()), telemetry.Error(err))
	}
}

// closeFront stops accepting callers' connections; open connections stay open.
func (l *listeners) closeFront() { l.logClose(l.front.Close()) }

// close closes all servers and their connections.
func (l *listeners) close() {
	for _, s := range l.servers {
		l.logClose(s.server.Close())
	}
}

func (l *listeners) logClose(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn("closing a listener failed", telemetry.Error(err))
	}
}

// readyRouter serves the readiness and health endpoints.
func readyRouter(path string, ready server.Readiness) http.Handler {
	e := server.NewRouter()
	e.GET(path, ready.Handle)
	e.GET(wire.PathHealth, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	return e
}
