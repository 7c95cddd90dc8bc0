package entry

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
)

// Stop turns readiness off, gives roles back, answers new requests for the leave
// time, lets requests end until ctx does, and closes.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.log.Info("leaving", zap.Int64("requests", e.proxy.inFlight.Load()))
	e.planner.Stop(ctx)
	clock.Sleep(ctx, e.clock, e.settings.LeaveTime.Std())
	err := e.requests.Shutdown(ctx)
	e.claims.stop(ctx)
	e.halt()
	if err != nil {
		e.log.Error("requests cut by the end of the drain time", zap.Error(err))
		// What is left is cut; an error of closing changes nothing of that.
		_ = e.requests.Close()
	}
	if cerr := e.control.Close(); cerr != nil {
		return cerr
	}
	return eris.Wrap(err, "entry: stop")
}

// halt ends everything that goes on in the background.
func (e *Entry) halt() {
	e.done()
	for _, stop := range e.stops {
		stop()
	}
}
