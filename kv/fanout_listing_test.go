package kv_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/kv"
)

// TestExtendListWait checks how long a first list waits for another process before it goes to the service.
func TestExtendListWait(t *testing.T) {
	const (
		listWait = 150 * time.Millisecond
		maxAge   = 2500 * time.Millisecond
		// step is the accuracy of a waiting list.
		step = 50 * time.Millisecond
	)
	tests := map[string]struct {
		// extensions are the times until which the list may wait, each set at the time of the one before.
		extensions []time.Duration
		// transfer is how long another process sends the entries, in vain.
		transfer time.Duration
		want     time.Duration
	}{
		"no extension":                      {nil, 0, listWait},
		"one extension":                     {[]time.Duration{500 * time.Millisecond}, 0, 500 * time.Millisecond},
		"two extensions":                    {[]time.Duration{500 * time.Millisecond, time.Second}, 0, time.Second},
		"no longer than the maximum age":    {[]time.Duration{time.Minute}, 0, maxAge},
		"an extension that ends early":      {[]time.Duration{500 * time.Millisecond, 0}, 0, 400 * time.Millisecond},
		"a transfer that fails":             {nil, time.Second, time.Second},
		"a transfer beyond the maximum age": {nil, 10 * time.Second, 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := kv.NewFanout(kv.FanoutOptions{
					Clock: clocktest.Real{}, MaxAge: maxAge, IsWatcher: func() bool { return false },
					ListWait: func() time.Duration { return listWait },
				})
				began := time.Now()
				listed := make(chan time.Duration, 1)
				go func() {
					_, _, err := f.View(&fixedListStore{at: 1}, false).ListPrefix(t.Context(), "a/")
					assert.Check(t, err)
					listed <- time.Since(began)
				}()
				synctest.Wait()
				for _, extension := range test.extensions {
					f.ExtendListWait([]string{"a/"}, began.Add(extension))
					clock.Sleep(t.Context(), clocktest.Real{}, extension-2*step-time.Since(began))
				}
				if test.transfer > 0 {
					f.BeginTransfer("a/")
					clock.Sleep(t.Context(), clocktest.Real{}, test.transfer)
					f.EndTransfers()
				}
				took := <-listed
				assert.Assert(t, took >= test.want && took <= test.want+step, "took %v", took)
			})
		})
	}
}

// TestListing checks when a process tells others that it is about to know a prefix.
func TestListing(t *testing.T) {
	errService := errors.New("the service is away")
	tests := map[string]struct {
		store *slowListStore
		// after is the time from the start of the list to the check.
		after time.Duration
		want  bool
	}{
		"while it waits for another process":    {&slowListStore{}, 100 * time.Millisecond, true},
		"while the service lists":               {&slowListStore{takes: time.Second}, 500 * time.Millisecond, true},
		"not when the service does not respond": {&slowListStore{takes: time.Minute}, 3 * time.Second, false},
		"not after the service has failed":      {&slowListStore{err: errService}, 500 * time.Millisecond, false},
		"not when it knows the prefix":          {&slowListStore{}, 500 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := kv.NewFanout(kv.FanoutOptions{
					Clock: clocktest.Real{}, MaxAge: 2500 * time.Millisecond, IsWatcher: func() bool { return false },
					ListWait: func() time.Duration { return 200 * time.Millisecond },
				})
				go kv.Follow(t.Context(), kv.FollowOptions{
					Store: f.View(test.store, false), Prefix: "a/", WatchTimeout: time.Hour, Clock: clocktest.Real{}, Follower: &mirror{},
				})
				clock.Sleep(t.Context(), clocktest.Real{}, test.after)
				synctest.Wait()
				assert.Equal(t, f.IsListing(), test.want)
			})
		})
	}
}

// A slowListStore is a service whose list takes a given time and then fails with err, if that is not nil. Its watches
// return no changes.
type slowListStore struct {
	takes time.Duration
	err   error
}

// ListPrefix implements kv.PrefixStore.
func (s *slowListStore) ListPrefix(ctx context.Context, _ string) ([]kv.Entry, kv.Revision, error) {
	clock.Sleep(ctx, clocktest.Real{}, s.takes)
	return nil, 1, s.err
}

// WatchPrefix implements kv.PrefixStore.
func (s *slowListStore) WatchPrefix(ctx context.Context, _ string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	clock.Sleep(ctx, clocktest.Real{}, wait)
	return nil, after, ctx.Err()
}
