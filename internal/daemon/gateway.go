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

// A GatewayBuilder makes a gateway with a platform's adapter.
type GatewayBuilder func(s config.Gateway, log *zap.Logger) (*gateway.Gateway, error)

// Gateway runs the gateway daemon until a signal and returns its exit code.
func Gateway(args []string, stderr io.Writer, build GatewayBuilder) int {
	signals := takeSignals(true)
	defer signals.release()
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
	// The standard library's own lines, such as those on stray answers.
	defer zap.RedirectStdLog(log)()
	g, err := build(s, log)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return serveGateway(g, file, signals, log)
}

// serveGateway runs the gateway until a signal stops it; a signal to reload is
// answered by reading the settings again.
func serveGateway(g *gateway.Gateway, file string, signals signals, log *zap.Logger) int {
	if err := g.Start(); err != nil {
		log.Error("not started", telemetry.Error(err))
		return ExitFailed
	}
	for {
		select {
		case <-signals.reload:
			reloadGateway(g, file, log)
		case <-signals.stop:
			ctx, cancel := context.WithTimeout(context.Background(), g.Grace())
			defer cancel()
			if err := g.Stop(ctx); err != nil {
				return ExitFailed
			}
			return ExitOK
		}
	}
}

// reloadGateway reads the settings again; wrong ones change nothing.
func reloadGateway(g *gateway.Gateway, file string, log *zap.Logger) {
	var s config.Gateway
	if err := config.Read(file, &s); err != nil {
		log.Error("settings not reloaded", telemetry.Error(err))
		return
	}
	g.Reload(s)
}
