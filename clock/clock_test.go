package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
)

func TestAwait(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		ctx context.Context
		// ready adds a closed channel, silent an open one; otherwise the channel is nil.
		ready, silent bool
		d, want       time.Duration
	}{
		"the time":         {ctx: context.Background(), d: time.Second, want: time.Second},
		"no time":          {ctx: context.Background()},
		"negative time":    {ctx: context.Background(), d: -time.Second},
		"the channel":      {ctx: context.Background(), ready: true, d: time.Second},
		"the context":      {ctx: ended, d: time.Second},
		"a silent channel": {ctx: context.Background(), silent: true, d: time.Second, want: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var c chan struct{}
				if test.ready || test.silent {
					c = make(chan struct{})
				}
				if test.ready {
					close(c)
				}
				start := time.Now()
				clock.Await(test.ctx, clocktest.Real{}, c, test.d)
				assert.Equal(t, time.Since(start), test.want)
			})
		})
	}
}

func TestAfterFuncOfATestClock(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	calls := 0
	timer := c.AfterFunc(time.Second, func() { calls++ })
	c.Advance(2 * time.Second)
	assert.Equal(t, calls, 1, "one call, however far the time moves")
	assert.Assert(t, !timer.Stop(), "it has been made")
	assert.Assert(t, !timer.Reset(time.Second))
	assert.Assert(t, timer.Stop())
	c.Advance(time.Minute)
	assert.Equal(t, calls, 1)
}
