package transfer_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/internal/transfer"
)

// A pacedBody returns one byte after each of its pauses until ctx ends.
type pacedBody struct {
	ctx    context.Context
	pauses []time.Duration
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	clock.Sleep(b.ctx, clocktest.Real{}, b.pauses[0])
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	b.pauses = b.pauses[1:]
	return copy(p[:1], "x"), nil
}

// repeat returns a slice of n times d.
func repeat(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}

// TestStalledCallsAreCanceled checks that a slow response is read completely, and that a response is
// canceled if it stalls or exceeds the total time.
func TestStalledCallsAreCanceled(t *testing.T) {
	const begin, stall = time.Second, 200 * time.Millisecond
	tests := map[string]struct {
		pauses []time.Duration
		// took is the duration of the call.
		took time.Duration
		// read is the number of bytes received.
		read int
		done bool
	}{
		"at once":                      {pauses: repeat(0, 3), read: 3, done: true},
		"slow and steady":              {pauses: repeat(150*time.Millisecond, 20), took: 3 * time.Second, read: 20, done: true},
		"stops":                        {pauses: append(repeat(150*time.Millisecond, 4), time.Minute), took: 800 * time.Millisecond, read: 4},
		"goes on beyond every measure": {pauses: repeat(150*time.Millisecond, 200), took: 11 * time.Second, read: 73},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, watch := transfer.Start(t.Context(), begin, stall)
				defer watch.Stop()
				data, err := watch.ReadAll(ctx, &pacedBody{ctx: ctx, pauses: test.pauses}, 1<<20)
				assert.Equal(t, time.Since(start), test.took)
				assert.Equal(t, len(data), test.read)
				assert.Equal(t, err == nil, test.done, "%v", err)
				if !test.done {
					assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
					assert.Assert(t, strings.Contains(err.Error(), "bytes of the answer received"), "%v", err)
				}
			})
		})
	}
}

// TestCallIsCanceledWithoutResponse guards against a call that waits forever for a response.
func TestCallIsCanceledWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, watch := transfer.Start(t.Context(), time.Second, time.Minute)
		defer watch.Stop()
		<-ctx.Done()
		assert.Equal(t, time.Since(start), time.Second)
		assert.Assert(t, errors.Is(transfer.Cause(ctx, ctx.Err()), context.DeadlineExceeded))
	})
}
