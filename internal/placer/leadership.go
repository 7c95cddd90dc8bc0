package placer

import (
	"time"

	"rockcleat/lease"
)

// firstLeaderDelay is how long the first leader of the first start waits before its first
// order, so that servers have listed themselves and their models do not count as missing:
// three heartbeats.
const firstLeaderDelay = 4 * time.Second

// nonLeaderReplyMaxAge is how old the last leader's word may be that it no longer leads:
// some six reports of a gateway.
const nonLeaderReplyMaxAge = 500 * time.Millisecond

// A leadership is a placer's hold of the lease and when it may issue orders under it.
type leadership struct {
	// token is the fencing token; 0 while this process does not lead.
	token lease.Token
	since time.Time
	// settleTime is how long this leader waits before its first order.
	settleTime time.Duration
	// fenced is the token that an engine refused; no order is issued under it any more.
	fenced lease.Token
	// former is what the last leader has replied since this process does not lead.
	former nonLeaderReplies
}

// mayOrder reports whether orders may be issued: the leader has settled, so that the last
// leader's orders are over, and no engine has seen a newer leader.
func (l *leadership) mayOrder(now time.Time) bool {
	return l.token != l.fenced && now.Sub(l.since) >= l.settleTime
}

// nonLeaderReplies is the time in which a process has replied, without a break, that it
// does not lead.
type nonLeaderReplies struct {
	addr        string
	first, last time.Time
}

// note notes what the process at an address replied; notLeader is false if it leads or did
// not reply.
func (n *nonLeaderReplies) note(addr string, notLeader bool, now time.Time) {
	switch {
	case !notLeader:
		*n = nonLeaderReplies{}
	case n.addr == addr:
		n.last = now
	default:
		*n = nonLeaderReplies{addr: addr, first: now, last: now}
	}
}

// duration returns for how long the process at an address has replied that it does not lead.
func (n *nonLeaderReplies) duration(addr string, now time.Time) time.Duration {
	if addr == "" || n.addr != addr || now.Sub(n.last) > nonLeaderReplyMaxAge {
		return 0
	}
	return n.last.Sub(n.first)
}

// settleTime returns how long a new leader waits before its first order: the lease's
// length, since orders of the last leader may be under way for so long, less the time in
// which that one has replied that it does not lead.
func (p *Placer) settleTime(now time.Time) time.Duration {
	if p.isFirst() {
		return firstLeaderDelay
	}
	quiet := p.leadership.former.duration(p.opts.Lease.OtherHolder().Addr, now)
	return max(p.opts.SettleTime-quiet, 0)
}

// isFirst reports whether there was no leader before this one.
func (p *Placer) isFirst() bool { return p.opts.FirstStart && !p.opts.Lease.HasSeenOther() }

// NotePeerReply notes whether the process at an address replied that it does not lead;
// notLeader is false if it leads or did not reply.
func (p *Placer) NotePeerReply(addr string, notLeader bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadership.former.note(addr, notLeader, p.opts.Clock.Now())
}
