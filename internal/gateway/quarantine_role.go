package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"rockcleat/clock"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// Learning after a start what is in quarantine.
const (
	// informTime is after which time without one that knows the store is read.
	informTime = 300 * time.Millisecond
	// maxInformTime is after which time the gateway calls itself ready all the same.
	maxInformTime = time.Second
)

// A quarantineRole is what a gateway needs to refuse requests under which servers have ended.
type quarantineRole struct {
	table *quarantine.Table
	// informed says that the gateway knows what was in quarantine before its start: at the first start
	// of the whole system nothing was.
	informed *atomic.Bool
	ends     *endDetector
	// startedAt is when the gateway was made.
	startedAt time.Time
}

// newQuarantineRole returns the role. An end is reported to the leader at once.
func (p *parts) newQuarantineRole(ctx context.Context, o Options) quarantineRole {
	s := o.Settings.Quarantine
	r := quarantineRole{
		table: quarantine.New(quarantine.Options{
			Clock: o.Clock, Ends: s.Ends, Hold: s.Hold.Std(), OnChange: p.lines.quarantineChanged,
		}),
		informed: &atomic.Bool{}, startedAt: o.Clock.Now(),
	}
	r.informed.Store(o.Settings.FirstStart)
	r.ends = &endDetector{
		ctx: ctx, clock: o.Clock, table: r.table, servers: &p.servers.registry, dial: wire.TryConnect,
		isPaused: p.pauses.isOverdue, onEnd: p.urgent.send, log: o.Log, metrics: o.Metrics,
		broken: make(map[string]*brokenServer),
	}
	return r
}

// isInformed reports whether the gateway may believe that it knows what is in quarantine.
func (r *quarantineRole) isInformed(now time.Time) bool {
	return r.informed.Load() || now.Sub(r.startedAt) > maxInformTime
}

// subscribe starts the role's regular work and returns what ends it.
func (r *quarantineRole) subscribe(c clock.Service, keeper *quarantineKeeper) (stops []func()) {
	return []func(){
		c.Subscribe(expireInterval, r.ends.check),
		c.Subscribe(sweepInterval, func(time.Time) { r.table.Expire() }),
		c.Subscribe(keepInterval, keeper.step),
	}
}
