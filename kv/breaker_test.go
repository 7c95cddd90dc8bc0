package kv_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
)

// A scriptedStore returns errs in order, one per call; the last one repeats.
type scriptedStore struct {
	errs  []error
	calls int
}

func (s *scriptedStore) next() error {
	err := s.errs[min(s.calls, len(s.errs)-1)]
	s.calls++
	return err
}

// ListPrefix implements kv.PrefixStore.
func (s *scriptedStore) ListPrefix(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	return nil, 1, s.next()
}

// WatchPrefix implements kv.PrefixStore.
func (s *scriptedStore) WatchPrefix(
	_ context.Context, _ string, after kv.Revision, _ time.Duration,
) ([]kv.Event, kv.Revision, error) {
	return nil, after, s.next()
}

// TestBreaker counts the calls that reach the service out of 40 made 100 ms apart.
func TestBreaker(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		errs  []error
		calls int
	}{
		"a service that answers":       {pause: time.Second, errs: []error{nil}, calls: 40},
		"one that always fails":        {pause: time.Second, errs: []error{kv.ErrUnavailable}, calls: 4},
		"one that fails without pause": {errs: []error{kv.ErrUnavailable}, calls: 40},
		"one that fails once":          {pause: time.Second, errs: []error{kv.ErrUnknown, nil}, calls: 31},
		"one that forgets its history": {pause: time.Second, errs: []error{kv.ErrCompacted}, calls: 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(1000, 0))
			s := &scriptedStore{errs: test.errs}
			b := kv.NewBreaker(kv.BreakerOptions{Clock: c, Pause: func() time.Duration { return test.pause }})
			lists, watches := b.View(s), b.View(s)
			for i := range 40 {
				before := s.calls
				var err error
				if i%2 == 0 {
					_, _, err = lists.ListPrefix(t.Context(), "a/")
				} else {
					_, _, err = watches.WatchPrefix(t.Context(), "b/", 1, time.Second)
				}
				if s.calls == before {
					assert.Assert(t, errors.Is(err, kv.ErrUnavailable))
				}
				c.Advance(100 * time.Millisecond)
			}
			assert.Equal(t, s.calls, test.calls)
		})
	}
}

// TestBreakerLetsOneCallProbe checks that an open breaker refuses calls while a probe is in
// progress, and that a probe canceled by its caller does not count as a failure.
func TestBreakerLetsOneCallProbe(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	b := kv.NewBreaker(kv.BreakerOptions{Clock: c, Pause: func() time.Duration { return time.Second }})
	s := &scriptedStore{errs: []error{kv.ErrUnavailable, nil}}
	_, _, _ = b.View(s).ListPrefix(t.Context(), "a/")
	c.Advance(2 * time.Second)
	probe := &hookStore{during: func() {
		_, _, err := b.View(s).ListPrefix(t.Context(), "a/")
		assert.Assert(t, errors.Is(err, kv.ErrUnavailable))
	}}
	ctx, cancel := context.WithCancel(t.Context())
	probe.after = cancel
	_, _, err := b.View(probe).ListPrefix(ctx, "a/")
	assert.Assert(t, errors.Is(err, context.Canceled))
	_, _, err = b.View(s).ListPrefix(t.Context(), "a/")
	assert.NilError(t, err)
}

// A hookStore runs during and then after in each call, and returns the context's error.
type hookStore struct {
	kv.PrefixStore
	during, after func()
}

// ListPrefix implements kv.PrefixStore.
func (s *hookStore) ListPrefix(ctx context.Context, _ string) ([]kv.Entry, kv.Revision, error) {
	s.during()
	s.after()
	return nil, 0, ctx.Err()
}
