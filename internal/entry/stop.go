package entry

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
)

// Stop reports the entry as not ready, releases the planner's leases and continues to accept
// requests for the leave time. It then waits for the requests in progress until ctx is done,
// releases the claim shards and closes the listeners.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.log.Info("leaving", zap.Int64("requests", e.proxy.inFlight.Load()))
	e.planner.Stop(ctx)
	clock.Sleep(ctx, e.clock, e.settings.LeaveTime.Std())
	err := e.requests.Shutdown(ctx)
	e.claims.stop(ctx)
	e.stopBackground()
	if err != nil {
		e.log.Error("drain time exceeded; dropping the remaining requests", zap.Error(err))
		// The remaining requests are dropped in any case, so the error is ignored.
		_ = e.requests.Close()
	}
	if cerr := e.control.Close(); cerr != nil {
		return cerr
	}
	return eris.Wrap(err, "entry: stop")
}

// stopBackground stops the background tasks.
func (e *Entry) stopBackground() {
	e.cancel()
	for _, stop := range e.unsubscribe {
		stop()
	}
}
