package placer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rockcleat/internal/telemetry"
	"rockcleat/lease"
)

// firstLeaderDelay is how long the first leader of a new system waits before its first order. Servers
// register within three heartbeats; models held by an unregistered server would count as missing.
const firstLeaderDelay = 4 * time.Second

// nonLeaderReplyMaxAge is how old the previous leader's last reply may be for its earlier replies to count.
// Gateways normally report several times within this time.
const nonLeaderReplyMaxAge = 500 * time.Millisecond

// A leadership holds the state of the current term and decides whether orders may be issued in it.
type leadership struct {
	// token is the fencing token, or 0 while this process does not lead.
	token lease.Token
	since time.Time
	// settleTime is how long this leader waits before its first order.
	settleTime time.Duration
	// fencedToken is the last token that an engine rejected. No order is issued under it any more.
	fencedToken lease.Token
	// resigning is set from the start of a resignation until its end.
	resigning bool
	// previousLeader tracks the previous leader's replies.
	previousLeader nonLeaderReplies
}

// hasSettled reports whether the settle time has passed, so that no order of the previous leader is in progress.
func (l *leadership) hasSettled(now time.Time) bool { return now.Sub(l.since) >= l.settleTime }

// isFenced reports whether an engine has rejected the token of this term.
func (l *leadership) isFenced() bool { return l.token == l.fencedToken }

// nonLeaderReplies tracks how long the process at an address has replied, without interruption, that it does
// not lead.
type nonLeaderReplies struct {
	addr        string
	first, last time.Time
}

// record records a reply of the process at an address. notLeader is false if the process leads or did not
// reply.
func (n *nonLeaderReplies) record(addr string, notLeader bool, now time.Time) {
	switch {
	case !notLeader:
		*n = nonLeaderReplies{}
	case n.addr == addr:
		n.last = now
	default:
		*n = nonLeaderReplies{addr: addr, first: now, last: now}
	}
}

// duration returns how long the process at an address has replied, without interruption, that it does not
// lead.
func (n *nonLeaderReplies) duration(addr string, now time.Time) time.Duration {
	if addr == "" || n.addr != addr || now.Sub(n.last) > nonLeaderReplyMaxAge {
		return 0
	}
	return n.last.Sub(n.first)
}

// settleTime returns how long a new leader waits before its first order. Orders of the previous leader can be
// in progress for as long as a lease lasts. The time in which that leader has already replied that it does
// not lead is deducted.
func (p *Placer) settleTime(now time.Time) time.Duration {
	if p.isFirst() {
		return firstLeaderDelay
	}
	notLeading := p.leadership.previousLeader.duration(p.opts.Lease.LastRecord().Addr, now)
	return max(p.opts.SettleTime-notLeading, 0)
}

// isFirst reports whether there was no earlier leader.
func (p *Placer) isFirst() bool { return p.opts.FirstStart && !p.opts.Lease.HasSeenOther() }

// resign gives up the lease of a leader that may issue no orders, so that there is one that may. p.mu must be held.
func (p *Placer) resign() {
	if p.leadership.resigning {
		return
	}
	p.leadership.resigning = true
	p.opts.Log.Warn("resigning: an engine has seen a later token", zap.Int64("token", int64(p.leadership.token)))
	if p.opts.OnResign != nil {
		p.opts.OnResign()
	}
	go func() {
		p.releaseLease(p.ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.leadership.resigning = false
	}()
}

// releaseLease ends the lease, so that another process can acquire it at once.
func (p *Placer) releaseLease(ctx context.Context) {
	if err := p.opts.Lease.Release(ctx); err != nil {
		p.opts.Log.Warn("lease not released; it expires after its TTL", telemetry.Error(err))
	}
}

// RecordPeerReply records whether the process at an address replied that it does not lead. notLeader is false
// if the process leads or did not reply.
func (p *Placer) RecordPeerReply(addr string, notLeader bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadership.previousLeader.record(addr, notLeader, p.opts.Clock.Now())
}
