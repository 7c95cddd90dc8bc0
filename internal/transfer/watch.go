package transfer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// maxTime bounds a whole transfer, so that a peer that sends a byte now and then does not hold
// its caller for ever: 12 MB through a link of 10 Mbit/s, more than any answer that is read.
const maxTime = 10 * time.Second

// A Watch ends a call that makes no progress.
type Watch struct {
	cancel context.CancelFunc
	stall  time.Duration
	timer  *time.Timer
	last   *time.Timer
}

// Start returns a context for a call, whose answer must begin within a time, and the call's
// Watch; Stop must be called when the call is over. Once ReadAll is called, each further read
// must bring something within stall.
func Start(ctx context.Context, begin, stall time.Duration) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := func() { cancel(context.DeadlineExceeded) }
	return ctx, &Watch{
		cancel: func() { cancel(context.Canceled) }, stall: stall,
		timer: time.AfterFunc(begin, end), last: time.AfterFunc(begin+maxTime, end),
	}
}

// Stop ends the call's context and releases its timers.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.last.Stop()
	w.cancel()
}

// progress starts the time anew in which more must arrive.
func (w *Watch) progress() { w.timer.Reset(w.stall) }

// ReadAll reads an answer's body, up to a number of bytes. An error tells how many had arrived:
// that tells a peer that is silent from a link that is slow.
func (w *Watch) ReadAll(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	w.progress()
	data, err := io.ReadAll(io.LimitReader(NewReader(body, w.progress), limit))
	if err != nil {
		return data, eris.Wrapf(Cause(ctx, err), "transfer: %d bytes of the answer received", len(data))
	}
	return data, nil
}

// Cause returns why a call under a context failed: the context's cause if err only says that
// the context has ended, and err otherwise.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && errors.Is(err, context.Canceled) {
		return cause
	}
	return err
}
