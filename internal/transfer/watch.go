package transfer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// maxTransferTime is the time that a call may take in addition to the time allowed for its response to
// begin. It prevents a peer that sends single bytes from blocking its caller indefinitely. It suffices
// for 12 MB at 10 Mbit/s.
const maxTransferTime = 10 * time.Second

// A Watch cancels the context of one call when its response does not begin in time or stalls.
type Watch struct {
	cancel       context.CancelFunc
	stallTimeout time.Duration
	stallTimer   *time.Timer
	totalTimer   *time.Timer
}

// Start returns a context for a call and the call's Watch. The context is canceled if ReadAll has not
// been called within responseTimeout, if ReadAll then receives no data for stallTimeout, or if the call
// exceeds the maximum total time. Its cause is then context.DeadlineExceeded. The caller must call Stop
// when the call is over.
func Start(ctx context.Context, responseTimeout, stallTimeout time.Duration) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	expire := func() { cancel(context.DeadlineExceeded) }
	return ctx, &Watch{
		cancel: func() { cancel(context.Canceled) }, stallTimeout: stallTimeout,
		stallTimer: time.AfterFunc(responseTimeout, expire), totalTimer: time.AfterFunc(responseTimeout+maxTransferTime, expire),
	}
}

// Stop cancels the call's context and stops its timers.
func (w *Watch) Stop() {
	w.stallTimer.Stop()
	w.totalTimer.Stop()
	w.cancel()
}

func (w *Watch) restartStallTimer() { w.stallTimer.Reset(w.stallTimeout) }

// ReadAll reads at most limit bytes of a response body. Its error states the number of bytes received,
// which distinguishes an unresponsive peer from a slow link.
func (w *Watch) ReadAll(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	w.restartStallTimer()
	data, err := io.ReadAll(io.LimitReader(NewReader(body, w.restartStallTimer), limit))
	if err != nil {
		return data, eris.Wrapf(Cause(ctx, err), "transfer: %d bytes of the answer received", len(data))
	}
	return data, nil
}

// Cause returns the context's cause if err is context.Canceled and the context has ended, and err
// otherwise.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && errors.Is(err, context.Canceled) {
		return cause
	}
	return err
}
