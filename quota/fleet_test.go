package quota_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"rockcleat/clock/clocktest"
	"rockcleat/quota"
)

// errUnreachable is the error of a call to an unreachable gateway.
var errUnreachable = errors.New("gateway is unreachable")

// testOrganisation is the only organisation in these tests.
const testOrganisation = "guild"

// Timing of the simulated leader.
const (
	// reportInterval is the interval between two reports of a gateway. listTimeout is how long the leader lists
	// a gateway without a report.
	reportInterval = 160 * time.Millisecond
	listTimeout    = 2 * time.Second
	// leaderlessTime is the time without a leader after the loss of one.
	leaderlessTime = 3 * time.Second
	// storedListTime is how long the store lists a gateway that the leader no longer lists.
	storedListTime = quota.LeaderlessTTL + 2*time.Second
)

// A gatewaySet is a set of simulated gateways, one of them the leader, connected without a network.
type gatewaySet struct {
	clock *clocktest.Clock
	limit quota.Limit
	// tolerance is the permitted excess over the limit.
	tolerance quota.Tolerance
	gateways  []*testGateway
	// leader is the current leader, or nil until leadFrom.
	leader   *testGateway
	leadFrom time.Time
	// reported is when each gateway last reported to the leader.
	reported map[string]time.Time
	// awaited holds the gateways that the leader knew before its term and that have not reported in it.
	awaited map[string]bool
	// stored is the list in the store: every gateway that was on the leader's list within storedListTime.
	// lastListed holds when each last was.
	stored     []string
	lastListed map[string]time.Time
	// spends lists the requests that were within the limit.
	spends []spend
}

type spend struct {
	at     time.Time
	amount float64
}

// A testGateway is a simulated gateway. It implements quota.GrantClient for its own limiter.
type testGateway struct {
	set     *gatewaySet
	id      string
	limiter *quota.Limiter
	// partition is the network partition of the gateway. Gateways in different partitions cannot reach each
	// other.
	partition int
	// paused is set while the process is paused.
	paused bool
	// ids is the last list of gateways passed to the limiter.
	ids []string
}

func newGatewaySet(size int, limit quota.Limit) *gatewaySet {
	return newGatewaySetWithin(size, limit, tolerance)
}

func newGatewaySetWithin(size int, limit quota.Limit, t quota.Tolerance) *gatewaySet {
	s := &gatewaySet{clock: clocktest.New(time.Unix(0, 0)), limit: limit, tolerance: t, reported: make(map[string]time.Time), lastListed: make(map[string]time.Time)}
	for i := range size {
		s.gateways = append(s.gateways, &testGateway{set: s, id: fmt.Sprint("g", i)})
		s.restart(i)
	}
	s.leader = s.gateways[0]
	return s
}

// restart replaces a gateway's limiter by one without state.
func (s *gatewaySet) restart(i int) {
	g := s.gateways[i]
	if s.leader == g {
		s.loseLeader()
	}
	g.ids = nil
	g.limiter = quota.New(quota.Options{
		Self: g.id, Clock: s.clock, GrantClient: g, Tolerance: s.tolerance,
		Limit: func(string) (quota.Limit, bool) { return s.limit, true },
	})
	if len(s.stored) > 0 {
		g.applyList(s.stored)
	}
}

// loseLeader removes the leader until the lease has expired.
func (s *gatewaySet) loseLeader() {
	s.leader, s.leadFrom = nil, s.clock.Now().Add(leaderlessTime)
}

// elect makes the first running gateway of partition 0 the leader if there is none and the lease has expired.
func (s *gatewaySet) elect() {
	if s.leader != nil || s.clock.Now().Before(s.leadFrom) {
		return
	}
	for _, g := range s.gateways {
		if g.partition == 0 && !g.paused {
			s.leader = g
			s.seedReports()
			return
		}
	}
}

// seedReports starts a leader's term with the gateways that it knew, as if they had just reported.
func (s *gatewaySet) seedReports() {
	s.reported, s.awaited = make(map[string]time.Time), make(map[string]bool)
	for _, id := range s.leader.ids {
		s.reported[id], s.awaited[id] = s.clock.Now(), true
	}
}

// report makes all gateways that can reach the leader report to it.
func (s *gatewaySet) report() {
	s.elect()
	if s.leader == nil {
		return
	}
	now := s.clock.Now()
	for _, g := range s.gateways {
		if s.reaches(g, s.leader) {
			s.reported[g.id] = now
			delete(s.awaited, g.id)
		}
	}
	var ids []string
	for _, g := range s.gateways {
		if at, ok := s.reported[g.id]; ok && now.Sub(at) < listTimeout {
			ids = append(ids, g.id)
			continue
		}
		delete(s.awaited, g.id)
	}
	s.storeList(ids)
	for _, g := range s.gateways {
		if s.reaches(g, s.leader) {
			g.limiter.RecordLeaderReply(now, quota.AbsentGateways{Removed: s.leader.limiter.CountRemoved(), Awaited: len(s.awaited)})
			g.applyList(ids)
		}
	}
}

// storeList writes the leader's list to the store.
func (s *gatewaySet) storeList(ids []string) {
	now := s.clock.Now()
	for _, id := range ids {
		s.lastListed[id] = now
	}
	maps.DeleteFunc(s.lastListed, func(_ string, at time.Time) bool { return now.Sub(at) > storedListTime })
	s.stored = slices.Sorted(maps.Keys(s.lastListed))
}

func (s *gatewaySet) reaches(a, b *testGateway) bool {
	return a.partition == b.partition && !a.paused && !b.paused
}

func (g *testGateway) applyList(ids []string) {
	if slices.Equal(g.ids, ids) {
		return
	}
	g.ids = ids
	g.limiter.SetGateways(ids)
}

// step advances the clock, with reports at their interval.
func (s *gatewaySet) step(d time.Duration) {
	for d > 0 {
		next := min(d, reportInterval)
		s.clock.Advance(next)
		s.report()
		d -= next
	}
}

// take asks a gateway whether a request may run. A paused one does not know.
func (s *gatewaySet) take(i int, amount float64) quota.Decision {
	g := s.gateways[i]
	if g.paused {
		return quota.Decision{Outcome: quota.Unknown}
	}
	return g.limiter.Take(context.Background(), testOrganisation, amount)
}

// request sends a request to a gateway and records it if it is within the limit.
func (s *gatewaySet) request(i int, amount float64) quota.Outcome {
	d := s.take(i, amount)
	if d.Outcome == quota.WithinLimit {
		s.spends = append(s.spends, spend{at: s.clock.Now(), amount: amount})
	}
	return d.Outcome
}

// maxSpentIn returns the maximum amount spent in any window of the given length.
func (s *gatewaySet) maxSpentIn(window time.Duration) (most float64) {
	sum, first := 0.0, 0
	for _, x := range s.spends {
		sum += x.amount
		for x.at.Sub(s.spends[first].at) >= window {
			sum -= s.spends[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// owner returns the index of the gateway that owns the organisation.
func (s *gatewaySet) owner() int {
	for i, g := range s.gateways {
		if status, _ := g.limiter.Status(testOrganisation); status.Owner == g.id {
			return i
		}
	}
	return 0
}

// RequestGrant implements quota.GrantClient.
func (g *testGateway) RequestGrant(_ context.Context, gateway string, r quota.Request) (quota.Reply, error) {
	for _, other := range g.set.gateways {
		if other.id == gateway && g.set.reaches(g, other) {
			return other.limiter.Grant(r), nil
		}
	}
	return quota.Reply{}, errUnreachable
}
