// Command rockcleat-gateway runs a gateway of rockcleat on the users' platform.
package main

import (
	"os"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/internal/config"
	"rockcleat/internal/daemon"
	"rockcleat/internal/gateway"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/platform"
)

func main() { os.Exit(daemon.Gateway(os.Args[1:], os.Stderr, buildGateway)) }

// buildGateway returns a gateway that uses the adapter of the users' platform.
func buildGateway(s config.Gateway, log *zap.Logger) (*gateway.Gateway, error) {
	metrics, err := telemetry.NewGatewayMetrics()
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(s.Store, s.StoreTimeout.Std(), wire.CheckResponses(wire.NewDirectTransport(storeIdleTimeout)), metrics.StoreCall)
	engines := platform.NewEngineClient(s.ID, s.EngineTimeout.Std(), wire.NewDirectTransport(s.IdleTimeout.Std()))
	return gateway.New(gateway.Options{
		Settings:    s,
		Names:       platform.HeaderNames(),
		ReadyPath:   platform.PathReady,
		Store:       store,
		AllKeys:     store,
		ProductKeys: store.ProductKeys(),
		Eras:        store,
		Decoder:     platform.Decoder{},
		Engines:     engines,
		Calls:       engines,
		Clock:       clock.NewSystem(),
		Log:         log,
		Metrics:     metrics,
	}), nil
}

// storeIdleTimeout is the idle timeout of connections to the store.
const storeIdleTimeout = 10 * time.Second
