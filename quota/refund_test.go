package quota_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/clock/clocktest"
	"rockcleat/quota"
)

// A pendingRequest is a request that was within the limit and of which it is not known yet whether it runs.
type pendingRequest struct {
	spend
	charge  quota.Charge
	limiter *quota.Limiter
}

// hold sends a request to a gateway and returns it, unless it is not within the limit.
func (s *gatewaySet) hold(i int, amount float64) (pendingRequest, bool) {
	d := s.take(i, amount)
	return pendingRequest{spend{s.clock.Now(), amount}, d.Charge, s.gateways[i].limiter}, d.Outcome == quota.WithinLimit
}

// holdAll sends requests of the given cost to all gateways until none is within the limit.
func (s *gatewaySet) holdAll(amount float64) (pending []pendingRequest) {
	for i := range s.gateways {
		pending = append(pending, s.holdMost(i, amount)...)
	}
	return pending
}

// holdMost sends requests of the given cost to a gateway until one is not within the limit.
func (s *gatewaySet) holdMost(i int, amount float64) (pending []pendingRequest) {
	for r, ok := s.hold(i, amount); ok; r, ok = s.hold(i, amount) {
		pending = append(pending, r)
	}
	return pending
}

// A fate is what becomes of a pending request.
type fate int

const (
	stays fate = iota
	runs
	refunded
)

// settle ends those pending requests that do not stay, and returns the others. A request whose gateway has restarted runs:
// its charge is not refunded.
func (s *gatewaySet) settle(pending []pendingRequest, fateOf func(pendingRequest) fate) (rest []pendingRequest) {
	for _, r := range pending {
		switch alive := slices.ContainsFunc(s.gateways, func(g *testGateway) bool { return g.limiter == r.limiter && !g.paused }); {
		case !alive, fateOf(r) == runs:
			s.spends = append(s.spends, r.spend)
		case fateOf(r) == refunded:
			r.limiter.Refund(r.charge)
		default:
			rest = append(rest, r)
		}
	}
	return rest
}

// TestRequestsRefundedLateDoNotLiftTheLimit draws periods in which servers hold all requests and then refuse most of them,
// and periods in which they run them, at gateways that are partitioned, restarted and paused. It guards against an
// organisation that exceeds its limit in the window in which charges come back.
func TestRequestsRefundedLateDoNotLiftTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := quota.Limit{Rate: rapid.Float64Range(20_000, 200_000).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.1, 1).Draw(t, "burst")
		s := newGatewaySet(rapid.IntRange(1, 12).Draw(t, "gateways"), limit)
		disturbed := rapid.Bool().Draw(t, "disturbed")
		var pending []pendingRequest
		for range rapid.IntRange(2, 8).Draw(t, "periods") {
			held := rapid.Bool().Draw(t, "held")
			for range rapid.IntRange(3, 16).Draw(t, "steps") {
				s.step(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
				if disturbed {
					s.disturb(t)
				}
				pending = append(pending, s.holdAll(limit.Rate/rapid.Float64Range(20, 100).Draw(t, "requests a second"))...)
				if !held {
					pending = s.settle(pending, func(pendingRequest) fate { return runs })
				}
			}
			staying := rapid.IntRange(2, 5).Draw(t, "one in so many stays")
			n := 0
			pending = s.settle(pending, func(pendingRequest) fate {
				n++
				if n%staying == 0 {
					return stays
				}
				return refunded
			})
			s.step(60 * time.Millisecond)
		}
		s.settle(pending, func(pendingRequest) fate { return runs })
		slices.SortStableFunc(s.spends, func(a, b spend) int { return a.at.Compare(b.at) })
		if most := s.maxSpentIn(tolerance.Window); most > maxAllowed(limit) {
			t.Fatalf("%v ran in a window, limit is %v", most, maxAllowed(limit))
		}
	})
}

// TestRefundedChargeCanBeSpentAgain guards against an organisation that is refused for requests that have not run.
func TestRefundedChargeCanBeSpentAgain(t *testing.T) {
	limit := quota.Limit{Rate: 10, Burst: 1000}
	const cost = 100
	tests := map[string]struct {
		held time.Duration
		// isolated reports whether the gateway reaches no other one, and spends its own share.
		isolated bool
	}{
		"soon":                         {held: 100 * time.Millisecond},
		"late":                         {held: 20 * time.Second},
		"from the gateway's own share": {held: 100 * time.Millisecond, isolated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range 3 {
				s := newGatewaySet(3, limit)
				s.step(2 * time.Minute)
				amount := float64(cost)
				if test.isolated {
					if i == s.owner() {
						continue
					}
					s.gateways[i].partition = 1
					if s.leader == s.gateways[i] {
						s.loseLeader()
					}
					// Its own share of one second is saved up.
					s.clock.Advance(6 * time.Second)
					amount = limit.Rate / 12
				}
				pending := s.holdMost(i, amount)
				assert.Assert(t, len(pending) > 2, "gateway %d: %d requests", i, len(pending))
				s.step(test.held)
				s.settle(pending, func(pendingRequest) fate { return refunded })
				// Returns to another gateway are on their way.
				s.step(60 * time.Millisecond)
				for range pending {
					_, ok := s.hold(i, amount)
					assert.Assert(t, ok, "gateway %d: over the limit after %d requests were refunded", i, len(pending))
				}
			}
		})
	}
}

// A silentOwner is a quota.GrantClient whose requests time out.
type silentOwner struct{}

// RequestGrant implements quota.GrantClient.
func (silentOwner) RequestGrant(ctx context.Context, _ string, _ quota.Request) (quota.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return quota.Reply{}, context.Cause(ctx)
}

// TestOwnerIsNotBlamedForCallersThatLeave guards against a gateway that reports an owner as unresponsive, or spends its own
// share beside the owner's grant, because a caller has left.
func TestOwnerIsNotBlamedForCallersThatLeave(t *testing.T) {
	tests := map[string]struct {
		leaves    bool
		outcome   quota.Outcome
		reports   int
		contacted time.Duration
	}{
		"left, in contact with the leader":     {leaves: true, outcome: quota.Unknown, contacted: time.Second},
		"left, without a leader":               {leaves: true, outcome: quota.Unknown, contacted: 5 * time.Second},
		"no reply, in contact with the leader": {outcome: quota.Unknown, reports: 1, contacted: time.Second},
		"no reply, without a leader":           {outcome: quota.WithinLimit, reports: 1, contacted: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(0, 0))
			reports := 0
			self := "g0"
			limiter := quota.New(quota.Options{
				Self: self, Clock: c, GrantClient: silentOwner{}, Tolerance: tolerance,
				Limit:               func(string) (quota.Limit, bool) { return quota.Limit{Rate: 1000, Burst: 1000}, true },
				OnOwnerUnresponsive: func(string, string, error) { reports++ },
			})
			limiter.RecordLeaderReply(c.Now(), quota.AbsentGateways{})
			limiter.SetGateways([]string{self, "g1", "g2", "g3"})
			status, _ := limiter.Status(testOrganisation)
			assert.Assert(t, status.Owner != self)
			c.Advance(test.contacted)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if test.leaves {
				leave()
			}
			assert.Equal(t, limiter.Take(ctx, testOrganisation, 10).Outcome, test.outcome)
			assert.Equal(t, reports, test.reports)
		})
	}
}
