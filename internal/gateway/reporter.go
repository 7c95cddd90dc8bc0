package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
	"rockcleat/quarantine"
	"rockcleat/quota"
	"rockcleat/serverlimit"
)

// minReportInterval is the time between two reports when something is urgent, such as a request that
// waits for a model that no server holds.
const minReportInterval = 40 * time.Millisecond

// A signal wakes a loop; sending never blocks, and signals that come together are one.
type signal chan struct{}

func (s signal) send() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// A sender identifies a gateway in its reports.
type sender struct{ id, addr, hall string }

// A reporter reports to the leader and applies its replies. All of its state belongs to the
// goroutine of run.
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
	// quarantine exchanges with whoever is reported to.
	quarantine *quarantine.Link
	// serverLimits exchanges with the same, what backend servers said of their limits.
	serverLimits *serverlimit.Link
	// quotas are to know when the leader was heard, useGateways takes over its list of gateways.
	quotas      quotas
	useGateways func([]placer.Gateway)
	// informed says that this gateway knows what was in quarantine before its start.
	informed *atomic.Bool
	// urgent is sent when a report should not wait: a request waits for a model that no server holds,
	// a server has ended, or one has named another limit than before.
	urgent signal

	// unanswered says that the last report got no reply.
	unanswered bool
	// wasLeader says that this gateway led at the last report.
	wasLeader bool
	// leader is where the leader takes messages, as the last reply shows; empty if it does not.
	leader string
	// record is where the lease's record says that it does; oldRecord is the same if the
	// gateway there has replied that it does not lead.
	record, oldRecord string
	// term is the token of the leader that replied last; the rest is what that leader
	// has been sent and has sent.
	term             int64
	gatewaysVersion  uint64
	residencyVersion int64
	speedsVersion    int64
	reported         map[string]dispatch.Demand
}

// run reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		started := r.clock.Now()
		r.report(ctx)
		r.rest(ctx, started)
	}
}

// rest waits for the next report: for the interval between reports, less what the last one
// took, or until there is something urgent, but for minReportInterval at least.
func (r *reporter) rest(ctx context.Context, started time.Time) {
	interval := placer.ReportInterval(r.gateways.count())
	total := max(interval-r.clock.Now().Sub(started), minReportInterval)
	clock.Sleep(ctx, r.clock, minReportInterval)
	if ctx.Err() == nil {
		clock.Await(ctx, r.clock, r.urgent, total-minReportInterval)
	}
}

// report reports to the leader and applies its reply.
func (r *reporter) report(ctx context.Context) {
	record, own := r.placer.Leader()
	r.record = record
	if own != r.wasLeader {
		r.wasLeader = own
		r.fanout.Recheck()
		r.configs.Recheck()
	}
	if own {
		m, demands := r.message()
		now := r.clock.Now()
		reply := r.placer.Report(m)
		if reply.IsLeader {
			r.quotas.heard(now, quota.Absence{Lapsed: r.quotas.lapsed(), Awaited: reply.Awaited})
		}
		r.apply(reply, demands)
		r.placer.Wake()
		return
	}
	if addr := r.target(); addr != "" {
		r.reportTo(ctx, addr)
	}
}

// reportTo reports to the gateway at an address, which should lead.
func (r *reporter) reportTo(ctx context.Context, addr string) {
	m, demands := r.message()
	requested := r.clock.Now()
	reply, err := r.peers.report(ctx, addr, reportMessage{
		Report: m, ConfigVersion: r.configs.News().Version, Quarantine: r.quarantine.Message(addr),
		ServerLimits: r.serverLimits.Message(addr),
		Uninformed:   !r.informed.Load(),
	})
	if err != nil {
		r.noReply(addr, err)
		r.placer.NotePeerReply(addr, false)
		return
	}
	r.answered(addr)
	r.quarantine.Apply(reply.Quarantine)
	r.serverLimits.Apply(reply.ServerLimits)
	if reply.Informed {
		r.informed.Store(true)
	}
	r.placer.NotePeerReply(addr, !reply.IsLeader)
	if reply.IsLeader {
		r.quotas.heard(requested, quota.Absence{Lapsed: reply.Lapsed, Awaited: reply.Awaited})
	}
	r.configs.Heard(reply.Config, addr, requested)
	r.noteLeader(addr, reply)
	if !reply.IsLeader && r.gateways.depth(r.leader) <= 1 {
		// The leader that this gateway followed is none any more. The first level looks for the next
		// one at the store; the others hear of it from there.
		r.fanout.Invalidate()
	}
	r.apply(reply.Reply, demands)
}

// noteLeader notes what the reply of the gateway at an address shows of who leads: that one, the
// one that it takes for the leader, or nobody.
func (r *reporter) noteLeader(addr string, reply replyMessage) {
	r.gateways.noteLeader(addr, reply.IsLeader)
	switch {
	case reply.IsLeader:
		r.leader, r.oldRecord = addr, ""
		return
	case reply.Leader != r.self.addr && reply.Leader != addr:
		r.leader = reply.Leader
	default:
		r.leader = ""
	}
	if addr == r.record {
		r.oldRecord = addr
	}
}

// target returns where to report: to the leader, as the last reply or the lease's record says, or
// to any gateway, which says who leads. A record that names a gateway which said that it does not
// lead is old; asking that one on kept gateways from the leader for ten seconds while the one that
// had led did not reach the store (TestLeaderIsFoundDespiteAnOldRecord).
func (r *reporter) target() string {
	switch {
	case r.leader != "":
		return r.leader
	case r.record != "" && r.record != r.self.addr && r.record != r.oldRecord:
		return r.record
	}
	if addr := r.gateways.random(r.oldRecord); addr != "" {
		return addr
	}
	// Nobody else is known: the gateway of the record may have become the leader again. After a
	// restart of all gateways those that knew no other never reported to it, for they had asked it
	// before it led.
	if r.record != r.self.addr {
		return r.record
	}
	return ""
}

// noReply forgets a leader that did not reply, and asks another gateway next every other
// time, since the store may not know a new leader yet.
func (r *reporter) noReply(addr string, err error) {
	if !r.unanswered {
		r.unanswered = true
		r.log.Warn("report unanswered", zap.String("addr", addr), telemetry.Error(err))
	}
	r.gateways.noteLeader(addr, false)
	r.leader = ""
	if rand.IntN(2) == 0 {
		r.leader = r.gateways.random(addr)
	}
}

// answered notes that a report got a reply.
func (r *reporter) answered(addr string) {
	if r.unanswered {
		r.unanswered = false
		r.log.Info("report answered again", zap.String("addr", addr))
	}
}

// message returns the next report, and all demand as it stands with it.
func (r *reporter) message() (placer.Report, map[string]dispatch.Demand) {
	demands := r.dispatcher.Demands()
	if !r.servers.registry.HasResidency() {
		r.residencyVersion = 0
	}
	changed := make(map[string]dispatch.Demand)
	for name, x := range demands {
		if r.reported[name] != x {
			changed[name] = x
		}
	}
	return placer.Report{
		GatewayID: r.self.id, Addr: r.self.addr, Hall: r.self.hall, ResidencyVersion: r.residencyVersion,
		GatewaysVersion: r.gatewaysVersion, Loads: r.dispatcher.Loads(), Demands: changed, Full: r.reported == nil,
		Samples: r.dispatcher.TakePrefillSamples(), SpeedsVersion: r.speedsVersion,
	}, demands
}

// apply applies the leader's reply to a report that was made when demand stood at demands.
func (r *reporter) apply(a placer.Reply, demands map[string]dispatch.Demand) {
	if !a.IsLeader {
		return
	}
	r.servers.setResidency(a.Residency, a.Full)
	r.remember(a, demands)
	if a.Gateways != nil {
		r.useGateways(a.Gateways)
	}
	r.servers.refresh()
	r.dispatcher.SetPrefillSpeeds(a.Speeds)
	r.dispatcher.SetRemote(a.Loads, a.BusiestOnly)
}

// remember keeps what the leader knows now. A new leader was sent only what has changed
// since the last one's reply, so it is sent everything next.
func (r *reporter) remember(a placer.Reply, demands map[string]dispatch.Demand) {
	r.residencyVersion = a.ResidencyVersion
	r.gatewaysVersion = a.GatewaysVersion
	r.speedsVersion = a.SpeedsVersion
	r.reported = demands
	if a.Term != r.term {
		r.term, r.reported = a.Term, nil
	}
}
