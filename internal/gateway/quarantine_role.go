package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"rockcleat/clock"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// Timing of how a starting gateway learns the quarantine.
const (
	// informTime is the time after which the store is read, if no other gateway has sent the quarantine.
	informTime = 300 * time.Millisecond
	// maxInformTime is the time after which the gateway is ready even if it does not know the quarantine.
	maxInformTime = time.Second
)

// A quarantineRole holds the components that a gateway needs to refuse requests under which servers have terminated.
type quarantineRole struct {
	table *quarantine.Table
	// informed says that the gateway knows the quarantine from before its start. It is set from the beginning if the
	// whole system is started for the first time.
	informed  *atomic.Bool
	ends      *endDetector
	startedAt time.Time
}

// newQuarantineRole returns the role. The termination of a server triggers an immediate report to the leader.
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

// isInformed reports whether the gateway knows the quarantine or has waited for it for maxInformTime.
func (r *quarantineRole) isInformed(now time.Time) bool {
	return r.informed.Load() || now.Sub(r.startedAt) > maxInformTime
}

// subscribe starts the periodic work and returns the functions that stop it.
func (r *quarantineRole) subscribe(c clock.Service, keeper *quarantineKeeper) (stops []func()) {
	return []func(){
		c.Subscribe(expireInterval, r.ends.check),
		c.Subscribe(sweepInterval, func(time.Time) { r.table.Expire() }),
		c.Subscribe(keepInterval, keeper.step),
	}
}
