package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
	"rockcleat/relay"
)

const (
	// feedFleetMaxAge is the maximum age of a view on the first level of a simulated tree.
	feedFleetMaxAge = 2500 * time.Millisecond
	feedFleetPrefix = "servers/"
	// feedFleetHalls is the number of data halls that the gateways are in.
	feedFleetHalls = 5
	// feedFleetHop is the time of a message between gateways or to the store.
	feedFleetHop = 2 * time.Millisecond
	// feedFleetEntryTime is the time that a small VM takes to receive and decode one entry of a list.
	feedFleetEntryTime = 150 * time.Microsecond
)

// A feedFleet simulates the tree of gateways that follow a prefix of the store, without processes and network. The
// gateway at index 0 leads at first.
type feedFleet struct {
	t        *testing.T
	store    *kvtest.Store
	gateways []*feedGateway
	byAddr   map[string]*feedGateway
	// leader is the address of the leader; empty if there is none.
	leader atomic.Value
	// calls counts the calls to the store, lists those of them that list the prefix.
	calls, lists atomic.Int64
	// polls counts the polls between gateways.
	polls atomic.Int64
}

// A feedGateway is one gateway of a feedFleet.
type feedGateway struct {
	fleet   *feedFleet
	addr    string
	dir     *directory
	fanout  *kv.Fanout
	breaker *kv.Breaker
	source  feedSource
	// refused makes the store refuse this gateway's calls.
	refused atomic.Bool
	seen    seenKeys
}

// newFeedFleet starts n gateways that know each other.
func newFeedFleet(t *testing.T, n int) *feedFleet {
	f, list := newIdleFeedFleet(t, n)
	for _, g := range f.gateways {
		g.dir.set(list)
		g.start(t.Context())
	}
	return f
}

// newIdleFeedFleet returns n gateways that are not started and do not know each other, and their list.
func newIdleFeedFleet(t *testing.T, n int) (f *feedFleet, list []placer.Gateway) {
	f = &feedFleet{t: t, store: kvtest.New(clocktest.Real{}), byAddr: make(map[string]*feedGateway)}
	f.store.Set(feedFleetPrefix+"a", []byte("1"))
	for i := range n {
		addr := fmt.Sprint("g", i)
		list = append(list, placer.Gateway{Gateway: dispatch.Gateway{ID: addr, Hall: fmt.Sprint("hall-", i%feedFleetHalls)}, Addr: addr})
	}
	f.leader.Store(list[0].Addr)
	for _, member := range list {
		g := f.newGateway(member.Addr)
		f.gateways = append(f.gateways, g)
		f.byAddr[g.addr] = g
	}
	return f, list
}

func (f *feedFleet) newGateway(addr string) *feedGateway {
	g := &feedGateway{fleet: f, addr: addr, dir: newDirectory(addr, 1, []string{"g1", "g2", "g3"}, false)}
	g.fanout = kv.NewFanout(kv.FanoutOptions{
		Clock: clocktest.Real{}, MaxAge: feedFleetMaxAge, IsWatcher: g.leads, ListWait: func() time.Duration { return g.dir.prefixListWait(f.leaderAddr()) },
		FallbackDelay: func() time.Duration { return g.dir.fallbackDelay(f.leaderAddr(), feedFleetMaxAge) },
		IsRelay:       func() bool { return g.dir.isRelay(f.leaderAddr()) },
	})
	g.breaker = kv.NewBreaker(kv.BreakerOptions{Clock: clocktest.Real{}, Cooldown: func() time.Duration { return g.dir.probeBackoff(f.leaderAddr()) }})
	g.source = feedSource{fanout: g.fanout, configs: noConfigs{}, clock: clocktest.Real{}, storeFailed: g.breaker.IsOpen}
	return g
}

func (f *feedFleet) leaderAddr() string { return f.leader.Load().(string) }

func (g *feedGateway) leads() bool { return g.fleet.leaderAddr() == g.addr }

// start follows the prefix and polls other gateways until ctx ends.
func (g *feedGateway) start(ctx context.Context) {
	go kv.Follow(ctx, kv.FollowOptions{
		Store: g.fanout.View(g.breaker.View(g), false), Prefix: feedFleetPrefix, WatchTimeout: 2 * feedFleetMaxAge, Clock: clocktest.Real{}, Follower: &g.seen,
	})
	f := &feed{
		self: g.addr, gateways: g.dir, fanout: g.fanout, configs: noConfigs{}, peers: g, isLeader: g.leads, leader: g.fleet.leaderAddr,
		clock: clocktest.Real{}, log: zap.NewNop(), backoffUntil: make(map[string]time.Time),
	}
	go f.run(ctx)
}

// feed implements feedPeers.
func (g *feedGateway) feed(ctx context.Context, addr string, _ time.Duration, r feedRequest) (feedReply, error) {
	g.fleet.polls.Add(1)
	clock.Sleep(ctx, clocktest.Real{}, feedFleetHop)
	source := g.fleet.byAddr[addr].source
	requestedAt := time.Now()
	source.awaitChanges(ctx, r, requestedAt)
	return source.reply(r, requestedAt), ctx.Err()
}

// list implements feedPeers.
func (g *feedGateway) list(ctx context.Context, addr, prefix string) (kv.Batch, error) {
	b, _ := g.fleet.byAddr[addr].fanout.List(prefix)
	clock.Sleep(ctx, clocktest.Real{}, listTimeOf(len(b.Events)))
	return b, ctx.Err()
}

// listTimeOf returns the time that a small VM takes to receive and decode a list.
func listTimeOf(entries int) time.Duration { return time.Duration(entries) * feedFleetEntryTime }

// ListPrefix implements kv.PrefixStore.
func (g *feedGateway) ListPrefix(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	g.fleet.lists.Add(1)
	if err := g.call(ctx); err != nil {
		return nil, 0, err
	}
	entries, at, err := g.fleet.store.ListPrefix(ctx, prefix)
	clock.Sleep(ctx, clocktest.Real{}, listTimeOf(len(entries)))
	return entries, at, err
}

// WatchPrefix implements kv.PrefixStore.
func (g *feedGateway) WatchPrefix(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	if err := g.call(ctx); err != nil {
		return nil, 0, err
	}
	return g.fleet.store.WatchPrefix(ctx, prefix, after, wait)
}

// call counts a call to the store and returns its error.
func (g *feedGateway) call(ctx context.Context) error {
	g.fleet.calls.Add(1)
	clock.Sleep(ctx, clocktest.Real{}, feedFleetHop)
	if g.refused.Load() {
		return kv.ErrRateLimited
	}
	return ctx.Err()
}

// seenKeys is a follower that counts the entries that it knows.
type seenKeys struct{ count atomic.Int64 }

func (s *seenKeys) Replace(entries []kv.Entry) { s.count.Store(int64(len(entries))) }
func (s *seenKeys) Apply(events []kv.Event) {
	for _, e := range events {
		if e.Deleted {
			s.count.Add(-1)
		} else {
			s.count.Add(1)
		}
	}
}
func (s *seenKeys) Unreachable(error) {}
func (s *seenKeys) Reachable()        {}

// noConfigs is an announcer without a configuration.
type noConfigs struct{}

func (noConfigs) Announcement() configsync.Announcement                         { return configsync.Announcement{} }
func (noConfigs) HandleAnnouncement(configsync.Announcement, string, time.Time) {}

// wait advances the test's clock by d.
func (f *feedFleet) wait(d time.Duration) {
	clock.Sleep(f.t.Context(), clocktest.Real{}, d)
	synctest.Wait()
}

// refuse makes the store refuse the calls of the leader and a share of the other gateways, and returns their number.
func (f *feedFleet) refuse(share float64, r *rand.Rand) (refused int) {
	for i, g := range f.gateways {
		if i == 0 || r.Float64() < share {
			g.refused.Store(true)
			refused++
		}
	}
	return refused
}

// countUnaware returns the number of gateways that do not know the given number of entries.
func (f *feedFleet) countUnaware(entries int64) (unaware int) {
	for _, g := range f.gateways {
		if g.seen.count.Load() != entries {
			unaware++
		}
	}
	return unaware
}

// TestStoreCallsWhenTheLeaderIsRefused refuses the leader and a third of the gateways the store. The others must learn
// of a change in time, and the calls to the store must not grow with the number of gateways, beyond those of the first
// level and of the few below it that find no gateway with a fresh view.
func TestStoreCallsWhenTheLeaderIsRefused(t *testing.T) {
	const (
		refusedShare = 0.35
		// leaseTime is how long the refused leader stays the leader.
		leaseTime = 3 * time.Second
		// inForce is the time within which a change must be known to all gateways.
		inForce = 5 * time.Second
	)
	calls := make(map[int]int64)
	for _, n := range []int{24, 103, 356, 712} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(n, " gateways, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFeedFleet(t, n)
					f.wait(5 * time.Second)
					refused := f.refuse(refusedShare, rand.New(rand.NewPCG(seed, uint64(n))))
					f.calls.Store(0)
					f.wait(leaseTime)
					f.leader.Store("")
					f.wait(feedFleetMaxAge)
					f.store.Set(feedFleetPrefix+"b", []byte("1"))
					f.wait(inForce)
					assert.Equal(t, f.countUnaware(2), 0, "of %d gateways, %d without the store", n, refused)
					calls[n] += f.calls.Load()
				})
			})
		}
	}
	t.Logf("calls to the store: %v", calls)
	// Growth is compared from 103 gateways on, where the tree has as many levels as at 356. A few seeds turn most of the
	// first level away.
	for _, n := range []int{356, 712} {
		growth := float64(calls[n]) / float64(calls[103])
		assert.Assert(t, growth <= float64(n)/103/2, "%d gateways make %.1f times the calls of 103", n, growth)
	}
}

// TestPollsWhileTheStoreIsAway refuses all gateways the store. None can have a fresh view then, so they must not poll
// each other more often than they do while all is well.
func TestPollsWhileTheStoreIsAway(t *testing.T) {
	const away = 30 * time.Second
	for _, n := range []int{24, 103, 356} {
		t.Run(fmt.Sprint(n, " gateways"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFeedFleet(t, n)
				f.wait(5 * time.Second)
				pollsIn := func(d time.Duration) float64 {
					f.polls.Store(0)
					f.wait(d)
					return float64(f.polls.Load()) / float64(n) / d.Seconds()
				}
				before := pollsIn(10 * time.Second)
				f.refuse(1, rand.New(rand.NewPCG(1, 1)))
				f.leader.Store("")
				during := pollsIn(away)
				t.Logf("%.2f polls a second and gateway, before %.2f", during, before)
				assert.Assert(t, during <= before)
				for _, g := range f.gateways {
					g.refused.Store(false)
				}
				f.store.Set(feedFleetPrefix+"b", []byte("1"))
				f.wait(2 * feedFleetMaxAge)
				assert.Equal(t, f.countUnaware(2), 0)
			})
		})
	}
}

// TestStoreCallsWhenAllStart starts all gateways at once after all have stopped: no gateway leads, and each reads the
// list of gateways from the store. All must know the servers soon, and the number of lists of the servers must grow
// neither with the number of gateways nor with the number of servers.
func TestStoreCallsWhenAllStart(t *testing.T) {
	const (
		// allKnow is the time within which all gateways must know the servers, in addition to maxListsInTurn times the
		// time that one list takes.
		allKnow = 1200 * time.Millisecond
		// maxListsInTurn is the number of levels of the largest tree, each of which reads the list from the one above or,
		// on the first level, from the store.
		maxListsInTurn = 3
	)
	lists := make(map[int]map[int]int64)
	for _, servers := range []int{640, 3200} {
		lists[servers] = make(map[int]int64)
		for _, n := range []int{24, 103, 356, 712} {
			t.Run(fmt.Sprint(n, " gateways, ", servers, " servers"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startAll(t, n, servers)
					f.wait(allKnow + maxListsInTurn*listTimeOf(servers))
					assert.Equal(t, f.countUnaware(int64(servers)), 0)
					lists[servers][n] = f.lists.Load()
				})
			})
		}
	}
	t.Logf("lists of the servers, by servers and gateways: %v", lists)
	for servers, byGateways := range lists {
		// From 103 gateways on there are two levels below the first, and some of their gateways start before their parents.
		assert.Check(t, byGateways[712] <= byGateways[103]+relay.Fanout, "%d servers", servers)
		assert.Check(t, byGateways[103] <= byGateways[24]+2*relay.Fanout, "%d servers", servers)
		for n, count := range byGateways {
			assert.Check(t, count <= lists[640][n]+relay.Fanout, "%d servers, %d gateways", servers, n)
		}
	}
}

// startAll starts n gateways that do not know each other, within a short time, and sets the given number of servers in
// the store. The record of the last leader is still in the store, but no gateway leads.
func startAll(t *testing.T, n, servers int) *feedFleet {
	const (
		// startSpread is the time within which all gateways start.
		startSpread = 300 * time.Millisecond
		// listReadTime is when a gateway has read the list of gateways after its start.
		listReadTime = fleetLoadDelay + fleetStepInterval
	)
	f, list := newIdleFeedFleet(t, n)
	for i := range servers - 1 {
		f.store.Set(fmt.Sprint(feedFleetPrefix, "s", i), []byte("1"))
	}
	f.leader.Store("")
	r := rand.New(rand.NewPCG(1, uint64(n)))
	for _, g := range f.gateways {
		startsAfter := time.Duration(r.Int64N(int64(startSpread)))
		go func() {
			clock.Sleep(t.Context(), clocktest.Real{}, startsAfter)
			g.start(t.Context())
			clock.Sleep(t.Context(), clocktest.Real{}, listReadTime)
			g.dir.set(list)
		}()
	}
	return f
}
