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

// A Watchdog cancels the context of one call when its response does not begin in time or stalls.
type Watchdog struct {
	cancel       context.CancelFunc
	stallTimeout time.Duration
	stallTimer   *time.Timer
	totalTimer   *time.Timer
}

// StartWatchdog returns a context for a call and the call's Watchdog. The context is canceled if ReadAll has not
// been called within responseTimeout, if ReadAll then receives no data for stallTimeout, or if the call
// exceeds the maximum total time. Its cause is then context.DeadlineExceeded. The caller must call Stop
// when the call is over.
func StartWatchdog(ctx context.Context, responseTimeout, stallTimeout time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	expire := func() { cancel(context.DeadlineExceeded) }
	return ctx, &Watchdog{
		cancel: func() { cancel(context.Canceled) }, stallTimeout: stallTimeout,
		stallTimer: time.AfterFunc(responseTimeout, expire), totalTimer: time.AfterFunc(responseTimeout+maxTransferTime, expire),
	}
}

// Stop cancels the call's context and stops its timers.
func (w *Watchdog) Stop() {
	w.stallTimer.Stop()
	w.totalTimer.Stop()
	w.cancel()
}

func (w *Watchdog) restartStallTimer() { w.stallTimer.Reset(w.stallTimeout) }

// ReadAll reads at most limit bytes of a response body. Its error states the number of bytes received,
// which distinguishes an unresponsive peer from a slow link.
func (w *Watchdog) ReadAll(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	w.restartStallTimer()
	data, err := ReadAll(NewProgressReader(body, w.restartStallTimer), limit)
	if err != nil {
		return data, eris.Wrapf(Cause(ctx, err), "transfer: %d bytes of the answer received", len(data))
	}
	return data, nil
}

// ErrTooLarge is returned by ReadAll if there are more bytes than allowed.
var ErrTooLarge = errors.New("transfer: input exceeds its maximum size")

// ReadAll reads until EOF, at most limit bytes. If there are more, it returns the first ones and ErrTooLarge.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return data[:limit], ErrTooLarge
	}
	return data, err
}

// Cause returns the context's cause if err is context.Canceled and the context has ended, and err
// otherwise.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && errors.Is(err, context.Canceled) {
		return cause
	}
	return err
}
