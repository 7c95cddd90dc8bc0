package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// TestTerminationDetector checks whether a failed connection is counted as a crash of its server.
func TestTerminationDetector(t *testing.T) {
	key := quarantine.KeyOf(quarantine.Request{Target: "/t"})
	server := backend.Server{ID: "s", Service: "app", Addr: "10.0.0.1:1"}
	tests := map[string]struct {
		// dial is the result of a connection attempt to the server's address.
		dial error
		// before and after change the list of servers before and after the connection failed.
		before, after func(r *backend.Registry, now time.Time)
		paused        bool
		dials, want   int
	}{
		"nobody listens":        {dial: syscall.ECONNREFUSED, dials: 1, want: 1},
		"it listens":            {dials: wire.ConnectAttempts},
		"its machine is silent": {dial: context.DeadlineExceeded, dials: wire.ConnectAttempts},
		"nobody listens, and it had said that it leaves": {
			dial:   syscall.ECONNREFUSED,
			before: func(r *backend.Registry, now time.Time) { s := server; s.Leaving = true; r.Update(s, now) },
		},
		"nobody listens, and it was off the list": {
			dial:   syscall.ECONNREFUSED,
			before: func(r *backend.Registry, now time.Time) { r.Remove(server.ID, now.Add(-time.Minute)); r.Expire(now) },
		},
		"nobody listens, and this process was paused": {dial: syscall.ECONNREFUSED, paused: true},
		"silent, then off the list": {
			dial: context.DeadlineExceeded, dials: wire.ConnectAttempts, want: 1,
			after: func(r *backend.Registry, now time.Time) { r.Remove(server.ID, now); r.Expire(now.Add(time.Minute)) },
		},
		"silent, then it says that it leaves": {
			dial: context.DeadlineExceeded, dials: wire.ConnectAttempts,
			after: func(r *backend.Registry, now time.Time) { s := server; s.Leaving = true; r.Update(s, now) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(1000, 0))
			registry := &backend.Registry{}
			// The service has other servers, since the registry retains those of a service that lost more than half.
			registry.Replace([]backend.Server{server, {ID: "other", Service: "app"}, {ID: "third", Service: "app"}}, c.Now())
			if test.before != nil {
				test.before(registry, c.Now())
			}
			dialed := make(chan struct{}, wire.ConnectAttempts)
			d := &crashDetector{
				ctx: t.Context(), clock: clocktest.Real{}, table: quarantine.New(quarantine.Options{Clock: c, CrashThreshold: 3, Duration: time.Minute}),
				servers: registry, wasPaused: func(time.Time) bool { return test.paused }, onCrash: func() {},
				log: zap.NewNop(), metrics: noMetrics{}, failed: make(map[string]*failedServer),
				dial: func(context.Context, string) error {
					dialed <- struct{}{}
					return test.dial
				},
			}
			d.connFailed(&server, contentSuspects(key))
			for range test.dials {
				<-dialed
			}
			if test.after != nil {
				test.after(registry, c.Now())
			}
			d.check(d.clock.Now())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := d.table.Crashes(key); got != test.want {
					return poll.Continue("%d ends", got)
				}
				return poll.Success()
			})
			assert.Equal(t, len(dialed), 0, "more attempts to connect than expected")
		})
	}
}

// TestTerminationAfterConnFailure checks that a crash is attributed only to requests whose connection failed
// after the last successful probe.
func TestTerminationAfterConnFailure(t *testing.T) {
	first, second := quarantine.KeyOf(quarantine.Request{Target: "/1"}), quarantine.KeyOf(quarantine.Request{Target: "/2"})
	server := backend.Server{ID: "s", Service: "app", Addr: "10.0.0.1:1"}
	registry := &backend.Registry{}
	registry.Replace([]backend.Server{server}, time.Now())
	var ended atomic.Bool
	dialed := make(chan struct{}, 3*wire.ConnectAttempts)
	d := &crashDetector{
		ctx: t.Context(), clock: clocktest.Real{}, servers: registry, wasPaused: func(time.Time) bool { return false },
		table: quarantine.New(quarantine.Options{Clock: clocktest.Real{}, CrashThreshold: 3, Duration: time.Minute}), onCrash: func() {},
		log: zap.NewNop(), metrics: noMetrics{}, failed: make(map[string]*failedServer),
		dial: func(context.Context, string) error {
			dialed <- struct{}{}
			if ended.Load() {
				return syscall.ECONNREFUSED
			}
			return nil
		},
	}
	d.connFailed(&server, contentSuspects(first))
	awaitProbe(t, d, server.ID)
	ended.Store(true)
	d.connFailed(&server, contentSuspects(second))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.table.Crashes(second) == 0 {
			return poll.Continue("the end is not charged")
		}
		return poll.Success()
	})
	assert.Equal(t, d.table.Crashes(first), 0)
	d.connFailed(&server, contentSuspects(first))
	assert.Equal(t, d.table.Crashes(first), 1, "it broke off after the end was known")
}

// awaitProbe waits until no probe of a server is running.
func awaitProbe(t *testing.T, d *crashDetector, server string) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.failed[server].probing {
			return poll.Continue("the probe is under way")
		}
		return poll.Success()
	})
}

// TestRestartOfServer checks which requests are charged with a crash when the platform lists a restarted server, although
// something accepts connections at its address, and that each of them is logged.
func TestRestartOfServer(t *testing.T) {
	server := backend.Server{ID: "s", Service: "app", Addr: "10.0.0.1:1"}
	early, late := quarantine.KeyOf(quarantine.Request{Target: "/early"}), quarantine.KeyOf(quarantine.Request{Target: "/late"})
	tests := map[string]struct {
		leaving bool
		// since is the time between the probe and the listing.
		since time.Duration
		// wantEarly and wantLate are the crashes charged to requests that failed before and after the listing.
		wantEarly, wantLate int
	}{
		"at once":                  {wantEarly: 1, wantLate: 1},
		"within the window":        {since: restartWindow - time.Second, wantEarly: 1, wantLate: 1},
		"after the window":         {since: restartWindow + time.Second, wantLate: 1},
		"it said that it would go": {leaving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			registry := &backend.Registry{}
			registry.Replace([]backend.Server{server, {ID: "other", Service: "app"}, {ID: "third", Service: "app"}}, time.Now())
			core, logs := observer.New(zap.InfoLevel)
			d := &crashDetector{
				ctx: t.Context(), clock: clocktest.Real{}, servers: registry, wasPaused: func(time.Time) bool { return false },
				table:   quarantine.New(quarantine.Options{Clock: clocktest.Real{}, CrashThreshold: 3, Duration: time.Minute}),
				onCrash: func() {}, log: zap.New(core), metrics: noMetrics{}, failed: make(map[string]*failedServer),
				dial: func(context.Context, string) error { return nil },
			}
			d.connFailed(&server, contentSuspects(early))
			awaitProbe(t, d, server.ID)
			assert.Equal(t, d.table.Crashes(early), 0)
			for i := range d.failed[server.ID].answered {
				d.failed[server.ID].answered[i].at = time.Now().Add(-test.since)
			}
			d.restarted(server, test.leaving)
			registry.Remove(server.ID, time.Now().Add(-time.Minute))
			registry.Expire(time.Now())
			d.connFailed(&server, contentSuspects(late))
			assert.Equal(t, d.table.Crashes(early), test.wantEarly)
			assert.Equal(t, d.table.Crashes(late), test.wantLate)
			assert.Equal(t, logs.FilterMessage(msgServerCrashed).Len(), test.wantEarly+test.wantLate)
		})
	}
}

// TestIsConnFailure checks which errors of a send indicate a failed connection.
func TestIsConnFailure(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"end of the connection":      {err: io.EOF, want: true},
		"end within an answer":       {err: io.ErrUnexpectedEOF, want: true},
		"reset":                      {err: syscall.ECONNRESET, want: true},
		"the caller's time is over":  {err: context.DeadlineExceeded},
		"the caller has left":        {err: context.Canceled},
		"the server stalled":         {err: errStalled},
		"an event that is too long":  {err: errEventTooLong},
		"the request is quarantined": {err: errors.Join(errQuarantined)},
		"no bytes in time":           {err: timeoutError{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, isConnFailure(test.err), test.want) })
	}
}

// A timeoutError is a net.Error that reports a timeout.
type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }
