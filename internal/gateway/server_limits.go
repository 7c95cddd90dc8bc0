package gateway

import (
	"context"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/quota"
	"rockcleat/serverlimit"
)

// unknownPermitWait is the time after which the owner of a server's limit is asked again that did not answer, or
// does not know yet how much it may grant.
const unknownPermitWait = 200 * time.Millisecond

// serverLimits keeps the limits that backend servers name for themselves, together with the other gateways; it is a
// dispatch.Permits.
//
// What a server says reaches one gateway with one answer, and its limit holds for all of them: the table spreads the
// word, with each report to the leader and each request for a permit, and the limiter has one gateway, the limit's
// owner, grant for all.
type serverLimits struct {
	*serverlimit.Table
	limiter *quota.Limiter
	metrics Metrics
}

// newServerLimits returns the limits of backend servers. A word of a server is reported to the leader at once.
func (p *parts) newServerLimits(o Options) *serverLimits {
	l := &serverLimits{metrics: o.Metrics}
	l.Table = serverlimit.New(serverlimit.Options{Clock: o.Clock, OnChange: func(c serverlimit.Change) {
		p.lines.serverLimitChanged(c)
		p.dispatcher.LimitChanged(c.Server)
		if c.Origin == serverlimit.Own {
			p.urgent.send()
		}
	}})
	l.limiter = quota.New(quota.Options{
		Self: o.Settings.ID, Clock: o.Clock, Asker: &permitAsker{peers: p.peers, limits: l.Table},
		Tolerance: serverlimit.Tolerance(), Limit: l.quota, OnOwnerSilent: p.lines.permitOwnerSilent,
	})
	return l
}

// isInNeed reports whether a server takes too few requests for its slots to be of use, and has for some time.
func (l *serverLimits) isInNeed(s *backend.Server) bool {
	status, ok := l.Status(s.ID)
	return ok && serverlimit.IsInNeed(status, s.Slots)
}

// quota returns a server's limit as the limiter needs it.
func (l *serverLimits) quota(server string) (quota.Limit, bool) {
	perSecond, ok := l.Limit(server)
	return serverlimit.Quota(perSecond), ok
}

// statuses returns what this gateway knows of all limits of servers, in no order.
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
func (l *serverLimits) Take(ctx context.Context, server string) (granted bool, wait time.Duration) {
	d := l.limiter.Take(ctx, server, 1)
	_, limited := l.Limit(server)
	switch {
	case d.Outcome == quota.Inside:
		granted = true
	case !limited:
		// The owner knows that the server's limit has ended.
		granted = true
	case d.Outcome == quota.Over:
		wait = d.RetryAfter
	default:
		wait = unknownPermitWait
	}
	l.metrics.Permit(d.Outcome.String())
	return granted, wait
}

// GiveBack implements dispatch.Permits.
func (l *serverLimits) GiveBack(server string) { l.limiter.GiveBack(server, 1) }

// subscribe starts the regular work and returns what ends it.
func (l *serverLimits) subscribe(c clock.Service) (stop func()) {
	return c.Subscribe(sweepInterval, func(time.Time) {
		l.Expire()
		l.limiter.Keep(l.Knows)
	})
}

// A permitMessage asks the owner of a server's limit for a permit, and tells it what the server said.
type permitMessage struct {
	quota.Request
	Limit serverlimit.Record `json:"limit"`
}

// A permitReply is its answer, with what the owner knows of the server.
type permitReply struct {
	quota.Reply
	Limit serverlimit.Record `json:"limit"`
}

// A permitAsker asks the owners of servers' limits for permits; it is a quota.Asker.
type permitAsker struct {
	peers  *peerClient
	limits *serverlimit.Table
}

// AskGrant implements quota.Asker.
func (a *permitAsker) AskGrant(ctx context.Context, gateway string, r quota.Request) (quota.Reply, error) {
	m := permitMessage{Request: r}
	m.Limit, _ = a.limits.Record(r.Key)
	reply, err := a.peers.askPermit(ctx, gateway, m)
	if err == nil {
		a.limits.Merge([]serverlimit.Record{reply.Limit})
	}
	return reply.Reply, err
}

// grantPermit answers a gateway that asks for a permit.
func (l *serverLimits) grantPermit(m permitMessage) permitReply {
	l.Merge([]serverlimit.Record{m.Limit})
	reply := permitReply{Reply: l.limiter.Grant(m.Request)}
	reply.Limit, _ = l.Record(m.Key)
	return reply
}

// quotas are the limiters of a gateway; all rest on the same gateways.
type quotas []*quota.Limiter

// heard notes that a leader replied, as quota.Limiter.Heard does.
func (q quotas) heard(asked time.Time, a quota.Absence) {
	for _, l := range q {
		l.Heard(asked, a)
	}
}

// setGateways sets the list of gateways.
func (q quotas) setGateways(ids []string) {
	for _, l := range q {
		l.SetGateways(ids)
	}
}

// noteFormer tells of gateways that were there before this one started.
func (q quotas) noteFormer(ids []string) {
	for _, l := range q {
		l.NoteFormer(ids)
	}
}

// lapsed returns the number of gateways that went off the leader's list lately.
func (q quotas) lapsed() int { return q[0].Lapsed() }
