package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"rockcleat/clock"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// Timing of the initial synchronisation of the quarantine in a starting gateway.
const (
	// quarantineReadDelay is the time after which the store is read, if no other gateway has sent the quarantine.
	quarantineReadDelay = 300 * time.Millisecond
	// syncTimeout is the time after which the gateway is ready even if it does not know the quarantine.
	syncTimeout = time.Second
)

// A quarantineRole holds the components that a gateway needs to refuse requests under which servers have crashed.
type quarantineRole struct {
	table *quarantine.Table
	// synced reports whether the gateway knows the quarantine from before its start. It is set from the beginning if the
	// whole system is being started for the first time.
	synced    *atomic.Bool
	detector  *crashDetector
	trials    *trials
	startedAt time.Time
}

// newQuarantineRole returns the role. The crash of a server triggers an immediate report to the leader.
func (p *components) newQuarantineRole(ctx context.Context, o Options) quarantineRole {
	s := o.Settings.Quarantine
	r := quarantineRole{
		table: quarantine.New(quarantine.Options{
			Clock: o.Clock, CrashThreshold: s.Threshold, Duration: s.Hold.Std(), OnChange: p.requestLog.quarantineChanged,
		}),
		synced: &atomic.Bool{}, startedAt: o.Clock.Now(),
	}
	r.synced.Store(o.Settings.FirstStart)
	r.detector = &crashDetector{
		ctx: ctx, clock: o.Clock, table: r.table, servers: &p.servers.registry, dial: wire.TryConnect,
		wasPaused: p.pauses.wasPaused, onCrash: p.urgent.send, log: o.Log, metrics: o.Metrics,
		failed: make(map[string]*failedServer),
	}
	r.trials = newTrials(ctx, o.Settings.ID, r.table, o.Clock)
	r.trials.peers, r.trials.gateways = p.peers, p.gateways.ids
	r.trials.retryDelay = func() time.Duration { return placer.ReportInterval(p.gateways.count()) }
	return r
}

// isSynced reports whether the gateway knows the quarantine or has waited for it for syncTimeout.
func (r *quarantineRole) isSynced(now time.Time) bool {
	return r.synced.Load() || now.Sub(r.startedAt) > syncTimeout
}

// subscribe starts the periodic work and returns the functions that stop it.
func (r *quarantineRole) subscribe(c clock.Service, store *quarantineStore) (stops []func()) {
	return []func(){
		c.Subscribe(expireInterval, r.detector.check),
		c.Subscribe(sweepInterval, func(now time.Time) {
			r.table.Expire()
			r.trials.expire(now)
		}),
		c.Subscribe(quarantineStepInterval, store.step),
	}
}
