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
	storedListTime = quota.AloneTime + 2*time.Second
)

// A fleet is a set of simulated gateways, one of them the leader, connected without a network.
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
	// listed is when each last was.
	stored     []string
	lastListed map[string]time.Time
	// spends lists the requests that were let through.
	spends []spend
}

type spend struct {
	at     time.Time
	amount float64
}

// A member is a simulated gateway. It implements quota.Asker for its own limiter.
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
	f := &gatewaySet{clock: clocktest.New(time.Unix(0, 0)), limit: limit, tolerance: t, reported: make(map[string]time.Time), lastListed: make(map[string]time.Time)}
	for i := range size {
		f.gateways = append(f.gateways, &testGateway{set: f, id: fmt.Sprint("g", i)})
		f.restart(i)
	}
	f.leader = f.gateways[0]
	return f
}

// restart replaces a gateway's limiter by one without state.
func (f *gatewaySet) restart(i int) {
	m := f.gateways[i]
	if f.leader == m {
		f.loseLeader()
	}
	m.ids = nil
	m.limiter = quota.New(quota.Options{
		Self: m.id, Clock: f.clock, Asker: m, Tolerance: f.tolerance,
		Limit: func(string) (quota.Limit, bool) { return f.limit, true },
	})
	if len(f.stored) > 0 {
		m.applyList(f.stored)
	}
}

// loseLeader removes the leader until the lease has expired.
func (f *gatewaySet) loseLeader() {
	f.leader, f.leadFrom = nil, f.clock.Now().Add(leaderlessTime)
}

// elect makes the first running gateway of partition 0 the leader if there is none and the lease has expired.
func (f *gatewaySet) elect() {
	if f.leader != nil || f.clock.Now().Before(f.leadFrom) {
		return
	}
	for _, m := range f.gateways {
		if m.partition == 0 && !m.paused {
			f.leader = m
			f.seedReports()
			return
		}
	}
}

// seedReports starts a leader's term with the gateways that it knew, as if they had just reported.
func (f *gatewaySet) seedReports() {
	f.reported, f.awaited = make(map[string]time.Time), make(map[string]bool)
	for _, id := range f.leader.ids {
		f.reported[id], f.awaited[id] = f.clock.Now(), true
	}
}

// report makes all gateways that can reach the leader report to it.
func (f *gatewaySet) report() {
	f.elect()
	if f.leader == nil {
		return
	}
	now := f.clock.Now()
	for _, m := range f.gateways {
		if f.reaches(m, f.leader) {
			f.reported[m.id] = now
			delete(f.awaited, m.id)
		}
	}
	var ids []string
	for _, m := range f.gateways {
		if at, ok := f.reported[m.id]; ok && now.Sub(at) < listTimeout {
			ids = append(ids, m.id)
			continue
		}
		delete(f.awaited, m.id)
	}
	f.storeList(ids)
	for _, m := range f.gateways {
		if f.reaches(m, f.leader) {
			m.limiter.Heard(now, quota.Absence{Lapsed: f.leader.limiter.Lapsed(), Awaited: len(f.awaited)})
			m.applyList(ids)
		}
	}
}

// storeList writes the leader's list to the store.
func (f *gatewaySet) storeList(ids []string) {
	now := f.clock.Now()
	for _, id := range ids {
		f.lastListed[id] = now
	}
	maps.DeleteFunc(f.lastListed, func(_ string, at time.Time) bool { return now.Sub(at) > storedListTime })
	f.stored = slices.Sorted(maps.Keys(f.lastListed))
}

func (f *gatewaySet) reaches(a, b *testGateway) bool {
	return a.partition == b.partition && !a.paused && !b.paused
}

func (m *testGateway) applyList(ids []string) {
	if slices.Equal(m.ids, ids) {
		return
	}
	m.ids = ids
	m.limiter.SetGateways(ids)
}

// step advances the clock, with reports at their interval.
func (f *gatewaySet) step(d time.Duration) {
	for d > 0 {
		next := min(d, reportInterval)
		f.clock.Advance(next)
		f.report()
		d -= next
	}
}

// request sends a request to a gateway and records it if it is let through.
func (f *gatewaySet) request(i int, amount float64) quota.Outcome {
	m := f.gateways[i]
	if m.paused {
		return quota.Unknown
	}
	d := m.limiter.Take(context.Background(), testOrganisation, amount)
	if d.Outcome == quota.Inside {
		f.spends = append(f.spends, spend{at: f.clock.Now(), amount: amount})
	}
	return d.Outcome
}

// maxSpentIn returns the maximum amount spent in any window of the given length.
func (f *gatewaySet) maxSpentIn(window time.Duration) (most float64) {
	sum, first := 0.0, 0
	for _, s := range f.spends {
		sum += s.amount
		for s.at.Sub(f.spends[first].at) >= window {
			sum -= f.spends[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// owner returns the index of the gateway that owns the organisation.
func (f *gatewaySet) owner() int {
	for i, m := range f.gateways {
		if s, _ := m.limiter.Status(testOrganisation); s.Owner == m.id {
			return i
		}
	}
	return 0
}

// AskGrant implements quota.Asker.
func (m *testGateway) AskGrant(_ context.Context, gateway string, r quota.Request) (quota.Reply, error) {
	for _, other := range m.set.gateways {
		if other.id == gateway && m.set.reaches(m, other) {
			return other.limiter.Grant(r), nil
		}
	}
	return quota.Reply{}, errUnreachable
}
