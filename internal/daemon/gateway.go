package daemon

import (
	"context"
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"

	"rockcleat/internal/config"
	"rockcleat/internal/gateway"
	"rockcleat/internal/telemetry"
)

// A GatewayBuilder constructs a gateway with the adapter of a platform.
type GatewayBuilder func(s config.Gateway, log *zap.Logger) (*gateway.Gateway, error)

// Gateway runs the gateway daemon until SIGTERM or SIGINT and returns its exit code. SIGHUP reloads the
// settings.
func Gateway(args []string, stderr io.Writer, build GatewayBuilder) int {
	signals := notifySignals(true)
	defer signals.stopNotify()
	c := command{
		name: "rockcleat-gateway",
		purpose: "runs one entry process of rockcleat on the users' platform until SIGTERM or SIGINT;\n" +
			"SIGHUP reads the settings again.",
		example: "/etc/rockcleat/gateway.yaml",
	}
	file, ok := c.settingsFile(args, stderr)
	if !ok {
		return ExitSettings
	}
	var s config.Gateway
	if err := config.Read(file, &s); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	sink := telemetry.NewSink(os.Stdout)
	defer sink.Close()
	log, err := telemetry.NewSinkLogger(s.Log, sink, "gateway", s.ID)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	// Lines that the standard library logs, such as net/http about unsolicited responses.
	defer telemetry.RedirectStdLog(log)()
	limitHeap(s.MemoryMB)
	g, err := build(s, log)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return serveGateway(g, file, signals, log)
}

// serveGateway runs the gateway until a signal stops it, and reloads its settings on a reload signal.
func serveGateway(g *gateway.Gateway, file string, signals signals, log *zap.Logger) int {
	if err := g.Start(); err != nil {
		log.Error("start failed", telemetry.Error(err))
		return ExitFailed
	}
	for {
		select {
		case <-signals.reload:
			reloadGateway(g, file, log)
		case <-signals.stop:
			ctx, cancel := context.WithTimeout(context.Background(), g.StopTimeout())
			defer cancel()
			if err := g.Stop(ctx); err != nil {
				return ExitFailed
			}
			return ExitOK
		}
	}
}

// reloadGateway reads and applies the settings file. Invalid settings are logged and change nothing.
func reloadGateway(g *gateway.Gateway, file string, log *zap.Logger) {
	var s config.Gateway
	if err := config.Read(file, &s); err != nil {
		log.Error("settings reload failed", telemetry.Error(err))
		return
	}
	g.Reload(s)
}
