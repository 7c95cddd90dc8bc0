package gateway

import (
	"context"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/quota"
	"rockcleat/serverlimit"
)

// permitRetryDelay is how long to wait before a permit is requested again from the owner of a server's rate limit,
// after the owner did not reply or did not know how much it may grant.
const permitRetryDelay = 200 * time.Millisecond

// serverLimits enforces the rate limits that backend servers announce, together with the other gateways. It implements
// dispatch.Permits.
//
// A server announces its limit in a response to one gateway, but the limit applies to all gateways. The table
// distributes it with each report to the leader and each request for a permit. The limiter assigns each limit an
// owner, a gateway that grants permits to all others.
//
// A server that is warming up has a limit as well, which each gateway derives from the list of servers. The lower of
// the two limits applies.
type serverLimits struct {
	*serverlimit.Table
	warmup  warmupLimits
	limiter *quota.Limiter
	metrics Metrics
}

// newServerLimits returns the rate limits of backend servers. A change that a server announces to this gateway triggers
// an immediate report to the leader.
func (p *components) newServerLimits(o Options) *serverLimits {
	l := &serverLimits{metrics: o.Metrics}
	l.warmup = warmupLimits{
		servers: func() *backend.Snapshot { return p.servers.registry.Snapshot() }, rate: p.config.warmupRate,
		bound: serverlimit.WarmupBound(o.Settings.Warmup), clock: o.Clock,
	}
	l.Table = serverlimit.New(serverlimit.Options{Clock: o.Clock, OnChange: func(c serverlimit.Change) {
		p.requestLog.serverLimitChanged(c)
		p.dispatcher.RateLimitChanged(c.Server)
		if c.Origin == serverlimit.OriginLocal {
			p.urgent.send()
		}
	}})
	l.limiter = quota.New(quota.Options{
		Self: o.Settings.ID, Clock: o.Clock, GrantClient: &permitRequester{peers: p.peers, limits: l.Table},
		Tolerance: serverlimit.Tolerance(), Limit: l.quota, OnOwnerUnresponsive: p.requestLog.permitFailed,
	})
	return l
}

// isThrottled reports whether a server's rate limit has been too low to use its slots for some time.
func (l *serverLimits) isThrottled(s *backend.Server) bool {
	status, ok := l.Status(s.ID)
	return ok && serverlimit.IsThrottled(status, s.Slots)
}

// Any implements dispatch.Permits.
func (l *serverLimits) Any() bool { return l.Table.Any() || l.warmup.any() }

// Limit implements dispatch.Permits.
func (l *serverLimits) Limit(server string) (perSecond float64, ok bool) {
	q, ok := l.quota(server)
	return q.Rate, ok
}

// Knows reports whether a limit of a server, or its removal, is known.
func (l *serverLimits) Knows(server string) bool {
	_, warmingUp := l.warmup.limit(server)
	return warmingUp || l.Table.Knows(server)
}

// quota returns a server's rate limit in the form that the limiter takes.
func (l *serverLimits) quota(server string) (quota.Limit, bool) {
	warmup, warmingUp := l.warmup.limit(server)
	announced, limited := l.Table.Limit(server)
	if !limited {
		return warmup, warmingUp
	}
	limit := serverlimit.Quota(announced)
	if warmingUp && warmup.Rate < limit.Rate {
		limit = warmup
	}
	return limit, true
}

// statuses returns this gateway's state of all servers' rate limits, in no particular order.
func (l *serverLimits) statuses() []quota.Status {
	var list []quota.Status
	for _, s := range l.List() {
		if status, ok := l.limiter.Status(s.Server); ok {
			list = append(list, status)
		}
	}
	return list
}

// Take implements dispatch.Permits.
func (l *serverLimits) Take(ctx context.Context, server string) (p dispatch.Permit, wait time.Duration) {
	d := l.limiter.Take(ctx, server, 1)
	_, limited := l.Limit(server)
	switch {
	case d.Outcome == quota.WithinLimit, !limited:
		// If the server has no limit any more, its owner has replied so.
		p = permit{limiter: l.limiter, charge: d.Charge}
	case d.Outcome == quota.OverLimit:
		wait = d.RetryAfter
	default:
		wait = permitRetryDelay
	}
	l.metrics.PermitRequested(d.Outcome.String())
	return p, wait
}

// A permit implements dispatch.Permit.
type permit struct {
	limiter *quota.Limiter
	charge  quota.Charge
}

// Release implements dispatch.Permit.
func (p permit) Release() { p.limiter.Refund(p.charge) }

// subscribe starts the periodic work and returns the function that stops it.
func (l *serverLimits) subscribe(c clock.Service) (stop func()) {
	return c.Subscribe(sweepInterval, func(time.Time) {
		l.Expire()
		l.limiter.Retain(l.Knows)
	})
}

// A permitMessage requests a permit from the owner of a server's rate limit, and contains the sender's record of that
// limit.
type permitMessage struct {
	quota.Request
	Limit serverlimit.Record `json:"limit"`
}

// A permitReply is the reply to a permitMessage, and contains the owner's record of the limit.
type permitReply struct {
	quota.Reply
	Limit serverlimit.Record `json:"limit"`
}

// A permitRequester requests permits from the owners of servers' rate limits. It implements quota.GrantClient.
type permitRequester struct {
	peers  *peerClient
	limits *serverlimit.Table
}

// RequestGrant implements quota.GrantClient.
func (a *permitRequester) RequestGrant(ctx context.Context, gateway string, r quota.Request) (quota.Reply, error) {
	m := permitMessage{Request: r}
	m.Limit, _ = a.limits.Record(r.Key)
	reply, err := a.peers.requestPermit(ctx, gateway, m)
	if err == nil {
		a.limits.Merge([]serverlimit.Record{reply.Limit})
	}
	return reply.Reply, err
}

// grantPermit handles a request for a permit.
func (l *serverLimits) grantPermit(m permitMessage) permitReply {
	l.Merge([]serverlimit.Record{m.Limit})
	reply := permitReply{Reply: l.limiter.Grant(m.Request)}
	reply.Limit, _ = l.Record(m.Key)
	return reply
}

// limiters are the rate limiters of a gateway. All use the same list of gateways.
type limiters []*quota.Limiter

// leaderReplied calls quota.Limiter.RecordLeaderReply on each limiter.
func (q limiters) leaderReplied(requestedAt time.Time, a quota.AbsentGateways) {
	for _, l := range q {
		l.RecordLeaderReply(requestedAt, a)
	}
}

func (q limiters) setGateways(ids []string) {
	for _, l := range q {
		l.SetGateways(ids)
	}
}

// addFormer adds gateways that existed before this one started.
func (q limiters) addFormer(ids []string) {
	for _, l := range q {
		l.AddFormerGateways(ids)
	}
}

// removedCount returns the number of gateways that recently left the leader's list.
func (q limiters) removedCount() int { return q[0].CountRemoved() }
