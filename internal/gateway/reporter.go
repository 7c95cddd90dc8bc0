package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/departure"
	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
	"rockcleat/quarantine"
	"rockcleat/quota"
	"rockcleat/serverlimit"
)

// minReportInterval is the time between reports when there is something urgent.
const minReportInterval = 40 * time.Millisecond

// A signal wakes a goroutine. Sending never blocks; signals sent before it wakes are merged.
type signal chan struct{}

func (s signal) send() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// A sender identifies this gateway in its reports.
type sender struct {
	id, addr, hall string
	cores          float64
}

// A reporter reports to the leader and applies its replies. Its state belongs to the goroutine of run.
type reporter struct {
	self       sender
	dispatcher *dispatch.Dispatcher
	configs    *configsync.Syncer
	servers    *serverList
	gateways   *directory
	placer     *placer.Placer
	fanout     *kv.Fanout
	peers      *peerClient
	clock      clock.Service
	log        *zap.Logger
	// quarantine exchanges the quarantine with the gateway that receives the reports.
	quarantine *quarantine.Link
	// serverLimits exchanges the rate limits of backend servers with the same gateway.
	serverLimits *serverlimit.Link
	// departures exchanges the announcements of servers that they are leaving with the same gateway.
	departures *departure.Link
	// intake decides about new connections; fleet knows how many of theirs the other gateways turn away.
	intake *connIntake
	fleet  *fleetLoad
	// endedServers returns the IDs of the listed servers that have crashed, or none if the leader does not use them.
	endedServers func() []string
	// limiters are notified when the leader has replied. applyGateways applies the leader's list of gateways.
	limiters      limiters
	applyGateways func([]placer.Gateway)
	// synced reports whether this gateway knows the quarantine from before its start.
	synced *atomic.Bool
	// urgent triggers an immediate report: a request waits for a model that no server has loaded, a server has
	// crashed, or one has announced a changed rate limit or that it is leaving.
	urgent signal

	// failing reports whether the last report failed.
	failing bool
	// wasLeader reports whether this gateway was the leader at the time of the last report.
	wasLeader bool
	// leader is the leader's address according to the last reply; empty if it is not known.
	leader string
	// leaseAddr is the leader's address in the lease's record. staleLeaseAddr is an address from that record whose
	// gateway has replied that it is not the leader.
	leaseAddr, staleLeaseAddr string
	// term is the token of the leader that replied last. The fields below hold what was exchanged with that leader.
	term             int64
	gatewaysVersion  uint64
	residencyVersion int64
	speedsVersion    int64
	stepsVersion     int64
	// factorsVersion is the version of the servers' factors; 0 if this gateway does not use them.
	factorsVersion int64
	reported       map[string]dispatch.Demand
}

// run reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		started := r.clock.Now()
		r.report(ctx)
		r.wait(ctx, started)
	}
}

// wait returns when the next report is due: after the report interval less the duration of the last report, or as
// soon as a report is urgent, but not before minReportInterval.
func (r *reporter) wait(ctx context.Context, started time.Time) {
	interval := placer.ReportInterval(r.gateways.count())
	total := max(interval-r.clock.Now().Sub(started), minReportInterval)
	clock.Sleep(ctx, r.clock, minReportInterval)
	if ctx.Err() == nil {
		clock.Await(ctx, r.clock, r.urgent, total-minReportInterval)
	}
}

// report sends one report to the leader and applies its reply.
func (r *reporter) report(ctx context.Context) {
	record, own := r.placer.Leader()
	r.leaseAddr = record
	if own != r.wasLeader {
		r.wasLeader = own
		r.fanout.RecheckWatcher()
		r.configs.Recheck()
	}
	if own {
		m, demands := r.message()
		now := r.clock.Now()
		reply := r.placer.Report(m)
		if reply.IsLeader {
			r.limiters.leaderReplied(now, quota.AbsentGateways{Removed: r.limiters.removedCount(), Awaited: reply.Awaited})
		}
		r.apply(reply, demands)
		r.placer.Wake()
		return
	}
	if addr := r.target(); addr != "" {
		r.reportTo(ctx, addr)
	}
}

// reportTo reports to the gateway at addr, which is presumed to be the leader.
func (r *reporter) reportTo(ctx context.Context, addr string) {
	m, demands := r.message()
	requested := r.clock.Now()
	reply, err := r.peers.report(ctx, addr, reportMessage{
		Report: m, ConfigVersion: r.configs.Announcement().Version, Quarantine: r.quarantine.Message(addr),
		ServerLimits:      r.serverLimits.Message(addr),
		Departures:        r.departures.Message(addr),
		QuarantineUnknown: !r.synced.Load(),
	})
	if err != nil {
		r.reportFailed(addr, err)
		r.placer.RecordPeerReply(addr, false)
		return
	}
	r.reportSucceeded(addr)
	r.quarantine.ApplyReply(reply.Quarantine)
	r.serverLimits.ApplyReply(reply.ServerLimits)
	r.departures.ApplyReply(reply.Departures)
	if reply.QuarantineKnown {
		r.synced.Store(true)
	}
	r.placer.RecordPeerReply(addr, !reply.IsLeader)
	if reply.IsLeader {
		r.limiters.leaderReplied(requested, quota.AbsentGateways{Removed: reply.RemovedGateways, Awaited: reply.Awaited})
	}
	r.configs.HandleAnnouncement(reply.Config, addr, requested)
	r.updateLeader(addr, reply)
	if !reply.IsLeader && r.gateways.depth(r.leader) <= 1 {
		// The gateway at addr is no longer the leader. The first level looks for the new leader in the store; the
		// other levels learn of it from the first.
		r.fanout.Invalidate()
	}
	r.apply(reply.Reply, demands)
}

// updateLeader updates the known leader from the reply of the gateway at addr.
func (r *reporter) updateLeader(addr string, reply replyMessage) {
	r.gateways.recordLeader(addr, reply.IsLeader)
	switch {
	case reply.IsLeader:
		r.leader, r.staleLeaseAddr = addr, ""
		return
	case reply.Leader != r.self.addr && reply.Leader != addr:
		r.leader = reply.Leader
	default:
		r.leader = ""
	}
	if addr == r.leaseAddr {
		r.staleLeaseAddr = addr
	}
}

// target returns the address to report to: the leader according to the last reply, the leader according to the lease's
// record, or any other gateway, which replies with the leader's address. It ignores a record whose gateway has replied
// that it is not the leader, because the record may be outdated while the store is unreachable.
func (r *reporter) target() string {
	switch {
	case r.leader != "":
		return r.leader
	case r.leaseAddr != "" && r.leaseAddr != r.self.addr && r.leaseAddr != r.staleLeaseAddr:
		return r.leaseAddr
	}
	if addr := r.gateways.random(r.staleLeaseAddr); addr != "" {
		return addr
	}
	// No other gateway is known. The gateway in the record may have become the leader since its last reply, so it is
	// tried again.
	if r.leaseAddr != r.self.addr {
		return r.leaseAddr
	}
	return ""
}

// reportFailed forgets a leader that did not reply. With probability 1/2 it selects a random other gateway as the
// next target, because the lease's record may not show a new leader yet.
func (r *reporter) reportFailed(addr string, err error) {
	if !r.failing {
		r.failing = true
		r.log.Warn("report unanswered", zap.String("addr", addr), telemetry.Error(err))
	}
	r.gateways.recordLeader(addr, false)
	r.leader = ""
	if rand.IntN(2) == 0 {
		r.leader = r.gateways.random(addr)
	}
}

// reportSucceeded records that a gateway replied to a report.
func (r *reporter) reportSucceeded(addr string) {
	if r.failing {
		r.failing = false
		r.log.Info("report answered again", zap.String("addr", addr))
	}
}

// message returns the next report, and the complete demand that it is based on.
func (r *reporter) message() (placer.Report, map[string]dispatch.Demand) {
	demands := r.dispatcher.Demands()
	if !r.servers.registry.HasResidency() {
		r.residencyVersion = 0
	}
	changed := make(map[string]dispatch.Demand)
	for name, demand := range demands {
		if r.reported[name] != demand {
			changed[name] = demand
		}
	}
	return placer.Report{
		GatewayID: r.self.id, Addr: r.self.addr, Hall: r.self.hall, Cores: r.self.cores, ResidencyVersion: r.residencyVersion,
		GatewaysVersion: r.gatewaysVersion, Loads: r.dispatcher.Loads(), Demands: changed, Full: r.reported == nil,
		Samples: r.dispatcher.TakePrefillSamples(), SpeedsVersion: r.speedsVersion,
		StepSamples: r.dispatcher.TakeStepSamples(), StepsVersion: r.stepsVersion, Ended: r.endedServers(),
		ServerSamples: r.dispatcher.TakeServerSamples(), FactorsVersion: r.factorsVersion, ExcessPercent: int(100 * r.intake.limiter.ExcessShare(r.clock.Now())),
	}, demands
}

// apply applies the leader's reply. demands is the demand at the time of the report.
func (r *reporter) apply(reply placer.Reply, demands map[string]dispatch.Demand) {
	if !reply.IsLeader {
		return
	}
	r.servers.setResidency(reply)
	r.fleet.setExcess(float64(reply.ExcessPercent)/100, r.clock.Now())
	r.recordSent(reply, demands)
	if reply.Gateways != nil {
		r.applyGateways(reply.Gateways)
	}
	r.servers.refresh()
	r.dispatcher.SetPrefillSpeeds(reply.Speeds)
	r.dispatcher.SetStepTimes(reply.StepTimes)
	r.applyFactors(reply)
	r.dispatcher.SetRemoteLoads(reply.Loads, reply.BusiestOnly)
}

// applyFactors applies the servers' factors of a reply. A leader that does not learn them leaves them as they are.
func (r *reporter) applyFactors(reply placer.Reply) {
	if r.factorsVersion == 0 || reply.FactorsVersion == 0 {
		return
	}
	r.dispatcher.SetServerFactors(reply.Factors, !placer.IsSameTerm(r.factorsVersion, reply.FactorsVersion))
	r.factorsVersion = reply.FactorsVersion
}

// recordSent records what the leader now knows. A new leader has received only changes relative to its predecessor's
// last reply, so the next report is complete.
func (r *reporter) recordSent(reply placer.Reply, demands map[string]dispatch.Demand) {
	r.residencyVersion = reply.ResidencyVersion
	r.gatewaysVersion = reply.GatewaysVersion
	r.speedsVersion = reply.SpeedsVersion
	r.stepsVersion = reply.StepsVersion
	r.reported = demands
	if reply.Term != r.term {
		r.term, r.reported = reply.Term, nil
	}
}
